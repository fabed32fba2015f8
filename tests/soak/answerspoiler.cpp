#include "soak/answerspoiler.h"

#include <fmt/format.h>

#include <utility>

namespace persimmonfield::soak {
namespace {

    constexpr const char* headEnd = "\r\n\r\n";

    std::string requestIdIn(const std::string& bytes)
    {
        const std::string name = "Persimmonfield-Request-Id: ";
        const size_t at = bytes.find(name);
        if (at == std::string::npos)
            return {};
        return bytes.substr(at + name.size(), bytes.find('\r', at) - at - name.size());
    }

    std::string refusalOf(const std::string& requestId)
    {
        return fmt::format("HTTP/1.1 503 Service Unavailable\r\nPersimmonfield-Request-Id: {}\r\n"
                           "Persimmonfield-Not-Executed: full\r\nContent-Length: 0\r\n\r\n",
            requestId);
    }

}

bool AnswerSpoiler::spoil(std::string& bytes)
{
    const std::string id = requestIdIn(bytes);
    const std::string earlier = std::exchange(lastId_, id);
    const TimePoint now = BootClock::now();
    const size_t head = bytes.find(headEnd);
    if (now < next_ || head == std::string::npos || id.empty() || earlier.empty() || id == earlier)
        return true;
    next_ = now + Milliseconds(200 + random_() % 1'000);
    ++count_;
    if (random_() % 2 == 0) {
        bytes.resize(1 + random_() % head);
        return false;
    }
    bytes = random_() % 2 == 0 ? refusalOf(earlier) + bytes : bytes + refusalOf(earlier);
    return true;
}

}
