#include "bench/benches.h"
#include "bench/load.h"
#include "fleet/traffic.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace persimmonfield::bench {
namespace {

    using nlohmann::json;
    using testing::CallOutcome;
    using testing::Fleet;
    using testing::SentRequest;
    using testing::Traffic;
    using testing::TrafficSpec;

    constexpr int firstPort = 26'000;
    constexpr int portsPerFleet = 100;
    constexpr int partitions = 64;
    constexpr double recoveryBoundSeconds = 3;
    constexpr double movesBound = 1.1;
    constexpr double imbalanceBound = 1.25;
    constexpr double idleCoresBound = 0.022;
    constexpr double idleMemoryBoundMb = 32;
    constexpr double idleReceivedBoundKb = 24;
    constexpr std::chrono::seconds idleTime { 10 };
    constexpr std::chrono::seconds takeoverTimeout { 30 };
    // A takeover that does not finish within this time is reported with at least this duration.
    constexpr std::chrono::seconds storeDownTakeoverTimeout { 5 };

    // The size of a target deployment. Only the keyed service runs, since the other services own no
    // partitions.
    struct Deployment {
        std::string name;
        size_t instances = 0;
    };

    std::string configuration(const std::string& extra)
    {
        return "[service cards]\npartitions = 64\n"
               "[route cards]\nservice = cards\npath = /cards/{key}\naccess = team\nidempotent = yes\n"
               "[route signatures]\nservice = cards\npath = /signatures/{key}\naccess = team\n"
               "[team large]\nrate = 1000000\nburst = 1000000\n"
            + testing::keySection("large") + extra;
    }

    std::string zoneOf(size_t index)
    {
        return std::string(1, static_cast<char>('a' + index % 3));
    }

    json partitionsByOwner(const Fleet& fleet, size_t observer)
    {
        const json state = fleet.status(observer);
        return state.is_null() ? json::object() : state["services"]["cards"]["partitionsByOwner"];
    }

    // Returns the number of partitions that the instance owns, including those of team homes.
    int ownedPartitions(const Fleet& fleet, const std::string& name)
    {
        const json state = fleet.status(0);
        int owned = 0;
        for (const char* service : { "cards", "team-homes" })
            owned += state["services"][service]["partitionsByOwner"].value(name, 0);
        return owned;
    }

    double metricValue(const Fleet& fleet, size_t index, const std::string& metricName)
    {
        std::istringstream lines(fleet.metrics(index));
        std::string name;
        for (double value = 0; lines >> name >> value;) {
            if (name == metricName)
                return value;
        }
        return 0;
    }

    double plannedMoves(const Fleet& fleet)
    {
        double moves = 0;
        for (size_t i = 0; i < fleet.size(); ++i)
            moves += metricValue(fleet, i, "persimmonfield_partition_moves_planned_total");
        return moves;
    }

    double imbalance(const json& owners, size_t instances)
    {
        int maxCount = 0;
        for (const auto& [owner, count] : owners.items())
            maxCount = std::max(maxCount, count.get<int>());
        return maxCount / (static_cast<double>(partitions) / static_cast<double>(instances));
    }

    double refusals(const std::vector<SentRequest>& requests)
    {
        return static_cast<double>(std::count_if(requests.begin(), requests.end(),
            [](const SentRequest& request) { return request.outcome != CallOutcome::Answered; }));
    }

    double longestCallSeconds(const std::vector<SentRequest>& requests)
    {
        Duration longest { 0 };
        for (const SentRequest& request : requests)
            longest = std::max(longest, request.ended - request.began);
        return std::chrono::duration<double>(longest).count();
    }

    // Returns the CPU time of a process in seconds.
    double cpuSeconds(pid_t pid)
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
        std::string word;
        double ticks = 0;
        for (int field = 1; file >> word; ++field) {
            if (field == 14 || field == 15)
                ticks += std::stod(word);
        }
        return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    }

    double residentMb(pid_t pid)
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }

    double storeCalls(const Fleet& fleet)
    {
        double sum = 0;
        const json counts = fleet.platformCounts();
        for (const auto& [kind, count] : counts.items())
            sum += count.get<double>();
        return sum;
    }

    TrafficSpec trafficExcept(const Fleet& fleet, size_t victim)
    {
        TrafficSpec spec;
        spec.method = "GET";
        spec.pathPrefix = "/cards/";
        spec.ingressInstances = testing::instancesExcept(fleet, { victim });
        spec.threads = 8;
        spec.pause = Milliseconds(1);
        return spec;
    }

    void measureIdle(Fleet& fleet, const std::string& prefix, Report& report)
    {
        const double callsBefore = storeCalls(fleet);
        const double cpuBefore = cpuSeconds(fleet.daemon(0).pid());
        const double bytesBefore = metricValue(fleet, 0, "persimmonfield_peer_bytes_received_total");
        std::this_thread::sleep_for(idleTime);
        const auto seconds = static_cast<double>(idleTime.count());
        report.add(prefix + "idle.store-calls", (storeCalls(fleet) - callsBefore) / seconds, "calls/s");
        report.atMost(prefix + "idle.cpu", (cpuSeconds(fleet.daemon(0).pid()) - cpuBefore) / seconds, "cores",
            idleCoresBound);
        report.atMost(prefix + "idle.memory", residentMb(fleet.daemon(0).pid()), "MB", idleMemoryBoundMb);
        const double bytes = metricValue(fleet, 0, "persimmonfield_peer_bytes_received_total") - bytesBefore;
        report.atMost(prefix + "idle.bytes-received", bytes / seconds / 1e3, "KB/s", idleReceivedBoundKb);
    }

    void measureLoss(Fleet& fleet, const std::string& prefix, bool isStoreDown, Report& report)
    {
        const size_t victim = fleet.size() - 1;
        const std::string name = fleet.spec(victim).name;
        const int owned = ownedPartitions(fleet, name);
        const double movesBefore = plannedMoves(fleet);
        Traffic traffic(fleet, trafficExcept(fleet, victim));
        std::this_thread::sleep_for(Milliseconds(500));
        if (isStoreDown)
            fleet.commandPlatform({ { "out", true } });
        fleet.daemon(victim).kill();
        const auto timeout = isStoreDown ? storeDownTakeoverTimeout : takeoverTimeout;
        const bool isTakenOver
            = Fleet::waitUntil([&] { return partitionsByOwner(fleet, 0).value(name, 0) == 0; }, timeout);
        std::this_thread::sleep_for(Milliseconds(500));
        const auto requests = traffic.stop();
        if (isStoreDown)
            fleet.commandPlatform({ { "out", false } });
        const std::string rowPrefix = prefix + (isStoreDown ? "loss.store-out." : "loss.");
        // The longest request is the one that waited until its key was served again.
        const double recoverySeconds = isTakenOver
            ? longestCallSeconds(requests)
            : std::max<double>(longestCallSeconds(requests), timeout.count());
        report.atMost(rowPrefix + "served-again", recoverySeconds, "s", recoveryBoundSeconds);
        report.add(rowPrefix + "refused", refusals(requests), "requests");
        if (!isStoreDown && owned > 0)
            report.atMost(rowPrefix + "moves-per-least", (plannedMoves(fleet) - movesBefore) / owned, "ratio",
                movesBound);
        fleet.startDaemon(victim);
        fleet.waitUntilOwned("cards", partitions);
    }

    void measureZone(Fleet& fleet, const std::string& prefix, Report& report)
    {
        Traffic traffic(fleet, trafficExcept(fleet, fleet.size()));
        std::this_thread::sleep_for(Milliseconds(500));
        fleet.apply(configuration("[availability-zone b]\nstate = out\n"));
        const TimePoint accepted = BootClock::now();
        Fleet::waitUntil([&] {
            const json owners = partitionsByOwner(fleet, 0);
            for (size_t i = 1; i < fleet.size(); i += 3) {
                if (owners.value(fleet.spec(i).name, 0) > 0)
                    return false;
            }
            return true;
        });
        const double emptied = std::chrono::duration<double>(BootClock::now() - accepted).count();
        report.atMost(prefix + "zone-out.emptied", emptied, "s", 3);
        fleet.apply(configuration("[availability-zone b]\nstate = in\n"));
        const TimePoint returned = BootClock::now();
        Fleet::waitUntil([&] { return partitionsByOwner(fleet, 0).value(fleet.spec(1).name, 0) > 0; });
        Fleet::waitUntil(
            [&] { return imbalance(partitionsByOwner(fleet, 0), fleet.size()) <= imbalanceBound; });
        fleet.waitUntilOwned("cards", partitions);
        report.add(prefix + "zone-back.refilled",
            std::chrono::duration<double>(BootClock::now() - returned).count(), "s");
        const auto requests = traffic.stop();
        report.atMost(prefix + "zone.refused", refusals(requests), "requests", 0);
        report.add(prefix + "zone.longest-request", longestCallSeconds(requests) * 1e3, "ms");
        report.atMost(prefix + "imbalance", imbalance(partitionsByOwner(fleet, 0), fleet.size()), "max/mean",
            imbalanceBound);
    }

    void measureDeployment(
        const Environment& environment, const Deployment& deployment, int port, Report& report)
    {
        Fleet fleet(environment.binaryDirectory, port);
        fleet.startPlatform();
        for (size_t i = 0; i < deployment.instances; ++i)
            fleet.addInstance({ "i" + std::to_string(i), zoneOf(i), "cards", {}, i % 2 == 0, 12, 64 });
        fleet.apply(configuration({}));
        fleet.waitUntilOwned("cards", partitions);
        std::this_thread::sleep_for(Milliseconds(2'000));
        const std::string prefix = "ownership." + deployment.name + ".";
        measureIdle(fleet, prefix, report);
        measureLoss(fleet, prefix, false, report);
        measureZone(fleet, prefix, report);
        measureLoss(fleet, prefix, true, report);
    }

}

void benchOwnership(const Environment& environment, Report& report)
{
    measureDeployment(environment, { "cairnloch", 9 }, firstPort, report);
    measureDeployment(environment, { "kerbrat", 12 }, firstPort + portsPerFleet, report);
}

}
