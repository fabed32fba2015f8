#pragma once

#include "transport/peernetwork.h"

#include <string>

namespace persimmonfield {

// Tells other instances on their links that this one stops, so that they choose others without the store's
// help. Runs on the loop's thread.
class Farewell {
public:
    Farewell(PeerNetwork& network, std::string instance, std::string incarnation);

    // Tells all that have a link, and from now on all that open one.
    void announce();

    void onAccepted(LinkId link);

private:
    void tell(LinkId link);

    PeerNetwork& network_;
    std::string instance_;
    std::string incarnation_;
    bool isAnnounced_ = false;
};

}
