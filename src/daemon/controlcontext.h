#pragma once

#include "base/counters.h"
#include "base/timeline.h"
#include "daemon/storeworker.h"
#include "membership/leasetiming.h"
#include "membership/storemirror.h"
#include "messages/generated/settings.h"
#include "ownership/authority.h"
#include "ownership/fleetview.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmonfield {

// What the duties of the control thread share. Everything here is touched by that thread alone, but for what
// is thread-safe of itself.
struct ControlContext {
    settings::SettingsSchema settings;
    InstanceId self;
    LeaseTiming timing;
    StoreMirror mirror;
    std::shared_ptr<const FleetView> view = std::make_shared<FleetView>();
    Authority* authority = nullptr;
    Counters* counters = nullptr;
    Timeline* timeline = nullptr;
    StoreWorker* store = nullptr;
    bool isStopping = false; // A planned stop: hand everything over.
    std::function<bool()> isServerUp;
    std::function<bool()> isServerDraining;
    // Sends to a living instance; does nothing when its address is not known.
    std::function<void(const InstanceId& to, peer::PeerMessage message)> send;
    // Notes an object of which a write is known to have taken effect.
    std::function<void(const std::string& name, const std::string& value, int64_t version)> noteWritten;
};

}
