#include "bench/benches.h"
#include "bench/load.h"
#include "fleet/traffic.h"

#include <algorithm>

namespace persimmonfield::bench {
namespace {

    using testing::Fleet;

    constexpr int firstPort = 29'000;
    constexpr int portsPerFleet = 300;
    constexpr double inForceBoundSeconds = 9;
    constexpr double withdrawnBoundSeconds = 3;
    constexpr int changes = 5;
    constexpr int slowStoreMs = 200;

    std::string configuration(int change, bool withKey)
    {
        return "[service cards]\npartitions = 16\n"
               "[route cards]\nservice = cards\npath = /cards/{key}\naccess = team\nidempotent = yes\n"
               "[team large]\nrate = 1000000\nburst = "
            + std::to_string(1'000 + change) + "\n" + (withKey ? testing::keySection("large") : "");
    }

    // Seconds from the acceptance of a change to its being in force in every daemon.
    double applyAndWait(Fleet& fleet, int change, int version)
    {
        fleet.apply(configuration(change, true));
        const TimePoint accepted = BootClock::now();
        Fleet::waitUntil([&] {
            for (size_t i = 0; i < fleet.size(); ++i) {
                const auto state = fleet.status(i);
                if (state.is_null() || state["configVersion"].get<int>() < version)
                    return false;
            }
            return true;
        });
        return std::chrono::duration<double>(BootClock::now() - accepted).count();
    }

    void start(Fleet& fleet, int instances)
    {
        fleet.startPlatform();
        for (int i = 0; i < instances; ++i)
            fleet.addInstance({ "i" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)),
                "cards", {}, false, 4, 16 });
        fleet.apply(configuration(0, true));
        fleet.waitUntilOwned("cards", 16);
    }

    double worstOfChanges(Fleet& fleet, int& version)
    {
        double worst = 0;
        for (int change = 1; change <= changes; ++change)
            worst = std::max(worst, applyAndWait(fleet, change, ++version));
        return worst;
    }

    void measureWithdrawal(Fleet& fleet, Report& report)
    {
        testing::TrafficSpec spec;
        spec.method = "GET";
        spec.pathPrefix = "/cards/";
        spec.ingressInstances = testing::instancesExcept(fleet, {});
        testing::Traffic traffic(fleet, spec);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        fleet.apply(configuration(0, false));
        const TimePoint accepted = BootClock::now();
        std::this_thread::sleep_for(std::chrono::seconds(5));
        Duration last { 0 };
        for (const testing::SentRequest& request : traffic.stop()) {
            if (request.outcome == testing::CallOutcome::Answered)
                last = std::max(last, request.ended - accepted);
        }
        report.atMost("config.withdrawn-key.last-success", std::chrono::duration<double>(last).count(), "s",
            withdrawnBoundSeconds);
    }

    void measureFleet(const Environment& environment, int instances, int port, Report& report)
    {
        Fleet fleet(environment.binaryDirectory, port);
        start(fleet, instances);
        const std::string prefix = "config." + std::to_string(instances) + "-daemons.";
        int version = 1;
        report.atMost(prefix + "in-force", worstOfChanges(fleet, version), "s", inForceBoundSeconds);
        fleet.commandPlatform({ { "delayMs", slowStoreMs } });
        report.atMost(
            prefix + "in-force.slow-store", worstOfChanges(fleet, version), "s", inForceBoundSeconds);
        fleet.commandPlatform({ { "delayMs", 0 } });
        measureWithdrawal(fleet, report);
    }

}

void benchConfig(const Environment& environment, Report& report)
{
    measureFleet(environment, 12, firstPort, report);
    measureFleet(environment, 48, firstPort + portsPerFleet, report);
}

}
