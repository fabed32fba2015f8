#pragma once

#include "sidecarfleet.h"

#include <string>

namespace persimmonfield::testing {

// A fleet whose first instance can end as in a loss of power and start again.
struct RestartedFleet : public SidecarFleet {
    void setup() override
    {
        SidecarFleet::setup();
        canAllEnd = true;
    }

    void endFirst() { instances[0]->endProcess(); }
    void startFirst() { instances[0]->startProcess(); }

    std::string incarnationOfFirst() const
    {
        return store->value(fleetKind, instanceObjectName("i0")).value("incarnation", "");
    }

    std::string readinessOfFirst() const
    {
        const auto entry = store->value(fleetKind, instanceObjectName("i0"));
        const bool hasServer = entry.contains("server") && entry.at("server").is_object();
        return hasServer ? entry.at("server").value("readiness", "") : "";
    }

    // Waits until the first instance has written its entry after a restart.
    void awaitNewEntry(const std::string& before)
    {
        CHECK(runUntil([&] { return incarnationOfFirst() != before && !readinessOfFirst().empty(); }));
    }
};

}
