#include "sidecar/farewell.h"

#include <utility>

namespace persimmonfield {

Farewell::Farewell(PeerNetwork& network, std::string instance, std::string incarnation)
    : network_(network)
    , instance_(std::move(instance))
    , incarnation_(std::move(incarnation))
{
}

void Farewell::announce()
{
    isAnnounced_ = true;
    for (const LinkId link : network_.openLinks())
        tell(link);
}

void Farewell::onAccepted(LinkId link)
{
    if (isAnnounced_)
        tell(link);
}

void Farewell::tell(LinkId link)
{
    peer::PeerMessage message;
    message.departure = peer::Departure { incarnation_, instance_, false };
    network_.send(link, { message, {} });
}

}
