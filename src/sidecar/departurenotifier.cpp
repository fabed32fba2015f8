#include "sidecar/departurenotifier.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {
namespace {

    // Links that are not closed within this time are cut.
    constexpr Milliseconds linkCloseTimeout { 300 };

}

DepartureNotifier::DepartureNotifier(asio::io_context& loop, PeerNetwork& network, ServerGate& gate,
    std::string instance, std::string incarnation)
    : network_(network)
    , gate_(gate)
    , instance_(std::move(instance))
    , incarnation_(std::move(incarnation))
    , timer_(loop)
{
}

void DepartureNotifier::announce()
{
    isAnnounced_ = true;
    for (const LinkId link : network_.openLinks())
        sendDeparture(link);
}

void DepartureNotifier::closeLinks(std::function<void()> done)
{
    isClosingLinks_ = true;
    done_ = std::move(done);
    gate_.setProcessEnd(BootClock::now());
    if (!network_.isStarted())
        return finish();
    network_.refuseLinks();
    for (const LinkId link : network_.acceptedLinks())
        startClosing(link);
    if (closingLinks_.empty())
        return finish();
    timer_.expires_after(linkCloseTimeout);
    timer_.async_wait([this](std::error_code error) {
        if (!error)
            finish();
    });
}

void DepartureNotifier::onAccepted(LinkId link)
{
    if (isClosingLinks_)
        startClosing(link);
    else if (isAnnounced_)
        sendDeparture(link);
}

void DepartureNotifier::onAck(LinkId link)
{
    if (closingLinks_.count(link) > 0)
        network_.close(link);
}

void DepartureNotifier::onClosed(LinkId link)
{
    if (closingLinks_.erase(link) > 0 && closingLinks_.empty())
        finish();
}

void DepartureNotifier::sendDeparture(LinkId link)
{
    peer::PeerMessage message;
    message.departure = peer::Departure { incarnation_, instance_, isClosingLinks_ };
    network_.send(link, { message, {} });
}

void DepartureNotifier::startClosing(LinkId link)
{
    closingLinks_.insert(link);
    sendDeparture(link);
}

void DepartureNotifier::finish()
{
    const auto done = std::exchange(done_, nullptr);
    if (!done)
        return;
    timer_.cancel();
    log(LogLevel::Info, "farewell", { { "unclosed", closingLinks_.size() } });
    done();
}

}
