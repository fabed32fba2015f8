#pragma once

#include "sidecar/fleetdirectory.h"
#include "transport/peernetwork.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace persimmonfield {

// Tells other instances of changes in the store that concern them, before they learn of them by a watch or
// from the instance that they follow.
class ChangeNotifier {
public:
    // `random` returns uniformly distributed numbers.
    ChangeNotifier(std::string self, std::string service, const FleetDirectory& directory,
        PeerNetwork& network, std::function<uint64_t()> random);

    // Tells an instance that objects of the kind have changed. If they are passed along, it need not read
    // them from the store.
    void tell(const std::string& instance, const std::string& kind, int64_t revision,
        const std::vector<StoreObject>& objects = {});

    // Tells some random other instances of a change made by the operator. Each instance that learns of one
    // does so, so that an instance whose own watch has stopped delivering changes learns of it as well.
    void gossip(const std::string& kind, int64_t revision);

    // Tells the instances that plan the service's key table of this instance's entry: the server next to it
    // has started or is leaving.
    void tellPlanners();

    // Sends the message to the other instances next to servers of the service.
    void tellService(const peer::PeerMessage& message);

private:
    std::string self_;
    std::string service_;
    const FleetDirectory& directory_;
    PeerNetwork& network_;
    std::function<uint64_t()> random_;
};

}
