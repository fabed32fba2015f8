#include "sidecar/farewell.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {
namespace {

    // Links that are not closed by then are cut.
    constexpr Milliseconds longestFarewell { 300 };

}

Farewell::Farewell(asio::io_context& loop, PeerNetwork& network, ServerGate& gate, std::string instance,
    std::string incarnation)
    : network_(network)
    , gate_(gate)
    , instance_(std::move(instance))
    , incarnation_(std::move(incarnation))
    , timer_(loop)
{
}

void Farewell::announce()
{
    isAnnounced_ = true;
    for (const LinkId link : network_.openLinks())
        tell(link);
}

void Farewell::begin(std::function<void()> done)
{
    isLast_ = true;
    done_ = std::move(done);
    gate_.stopBy(BootClock::now());
    if (!network_.isStarted())
        return finish();
    network_.refuseLinks();
    for (const LinkId link : network_.acceptedLinks())
        tellLast(link);
    if (closing_.empty())
        return finish();
    timer_.expires_after(longestFarewell);
    timer_.async_wait([this](std::error_code error) {
        if (!error)
            finish();
    });
}

void Farewell::onAccepted(LinkId link)
{
    if (isLast_)
        tellLast(link);
    else if (isAnnounced_)
        tell(link);
}

void Farewell::onAck(LinkId link)
{
    if (closing_.count(link) > 0)
        network_.close(link);
}

void Farewell::onClosed(LinkId link)
{
    if (closing_.erase(link) > 0 && closing_.empty())
        finish();
}

void Farewell::tell(LinkId link)
{
    peer::PeerMessage message;
    message.departure = peer::Departure { incarnation_, instance_, isLast_ };
    network_.send(link, { message, {} });
}

void Farewell::tellLast(LinkId link)
{
    closing_.insert(link);
    tell(link);
}

void Farewell::finish()
{
    const auto done = std::exchange(done_, nullptr);
    if (!done)
        return;
    timer_.cancel();
    log(LogLevel::Info, "farewell", { { "unclosed", closing_.size() } });
    done();
}

}
