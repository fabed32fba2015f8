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

// State that the managers of the control thread share. Only that thread accesses it, except for members that
// are thread-safe themselves.
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
    bool isStopping = false; // A planned stop was requested: everything is to be handed over.
    std::function<bool()> isServerUp;
    std::function<bool()> isServerDraining;
    // Sends a message to an instance. Does nothing if its address is not known.
    std::function<void(const InstanceId& to, peer::PeerMessage message)> send;
    // Called when a write of the object is known to have taken effect.
    std::function<void(const std::string& name, const std::string& value, int64_t version)> onWritten;
};

}
