#include "soak/responsecorrupter.h"

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

    std::string makeRejection(const std::string& requestId)
    {
        return fmt::format("HTTP/1.1 503 Service Unavailable\r\nPersimmonfield-Request-Id: {}\r\n"
                           "Persimmonfield-Not-Executed: full\r\nContent-Length: 0\r\n\r\n",
            requestId);
    }

}

bool ResponseCorrupter::corrupt(std::string& bytes)
{
    const std::string requestId = requestIdIn(bytes);
    const std::string previousId = std::exchange(lastId_, requestId);
    const TimePoint now = BootClock::now();
    const size_t headSize = bytes.find(headEnd);
    if (now < next_ || headSize == std::string::npos || requestId.empty() || previousId.empty()
        || requestId == previousId)
        return true;
    next_ = now + Milliseconds(200 + random_() % 1'000);
    ++count_;
    if (random_() % 2 == 0) {
        bytes.resize(1 + random_() % headSize);
        return false;
    }
    bytes = random_() % 2 == 0 ? makeRejection(previousId) + bytes : bytes + makeRejection(previousId);
    return true;
}

}
