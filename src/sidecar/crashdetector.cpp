#include "sidecar/crashdetector.h"

#include "base/time.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <utility>

namespace persimmonfield {
namespace {

    // The server is on the same machine: it accepts or refuses a connection at once, unless it is
    // unreachable.
    constexpr Milliseconds connectTimeout { 100 };

}

struct CrashDetector::Attempt {
    Attempt(asio::io_context& loop, Done whenDone)
        : socket(loop)
        , timer(loop)
        , done(std::move(whenDone))
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    Done done; // Null once the detector no longer exists.
};

CrashDetector::CrashDetector(asio::io_context& loop, Address serverAddress)
    : loop_(loop)
    , serverAddress_(std::move(serverAddress))
{
}

CrashDetector::~CrashDetector()
{
    if (attempt_)
        attempt_->done = nullptr;
}

void CrashDetector::check(Done done)
{
    attempt_ = std::make_shared<Attempt>(loop_, std::move(done));
    std::error_code invalid;
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(serverAddress_.host, invalid), static_cast<uint16_t>(serverAddress_.port));
    attempt_->timer.expires_after(connectTimeout);
    attempt_->timer.async_wait([attempt = attempt_](std::error_code error) {
        std::error_code ignored;
        if (!error)
            attempt->socket.close(ignored);
    });
    attempt_->socket.async_connect(endpoint, [attempt = attempt_](std::error_code error) {
        attempt->timer.cancel();
        std::error_code ignored;
        attempt->socket.close(ignored);
        if (const auto whenDone = std::exchange(attempt->done, nullptr))
            whenDone(error == asio::error::connection_refused);
    });
}

}
