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
    constexpr double servedAgainBoundSeconds = 3;
    constexpr double movesBound = 1.1;
    constexpr double imbalanceBound = 1.25;
    constexpr double controlCoreBound = 0.022;
    constexpr double controlMemoryBoundMb = 32;
    constexpr double controlBytesBoundKb = 24;
    constexpr std::chrono::seconds idleTime { 10 };
    constexpr std::chrono::seconds lossPatience { 30 };
    // A loss not made good within it counts as long at the least.
    constexpr std::chrono::seconds storeOutPatience { 5 };

    // One deployment of the brief, the keyed service only: the others own nothing by key.
    struct Shape {
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

    json ownersOf(const Fleet& fleet, size_t observer)
    {
        const json state = fleet.status(observer);
        return state.is_null() ? json::object() : state["services"]["cards"]["partitionsByOwner"];
    }

    // Partitions that the instance owns, team homes among them.
    int allOwnedBy(const Fleet& fleet, const std::string& name)
    {
        const json state = fleet.status(0);
        int owned = 0;
        for (const char* service : { "cards", "team-homes" })
            owned += state["services"][service]["partitionsByOwner"].value(name, 0);
        return owned;
    }

    double metricOf(const Fleet& fleet, size_t index, const std::string& wanted)
    {
        std::istringstream lines(fleet.metrics(index));
        std::string name;
        for (double value = 0; lines >> name >> value;) {
            if (name == wanted)
                return value;
        }
        return 0;
    }

    double movesMade(const Fleet& fleet)
    {
        double moves = 0;
        for (size_t i = 0; i < fleet.size(); ++i)
            moves += metricOf(fleet, i, "persimmonfield_partition_moves_planned_total");
        return moves;
    }

    double imbalance(const json& owners, size_t instances)
    {
        int most = 0;
        for (const auto& [owner, count] : owners.items())
            most = std::max(most, count.get<int>());
        return most / (static_cast<double>(partitions) / static_cast<double>(instances));
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

    // Processor seconds that a process has used.
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

    TrafficSpec trafficAround(const Fleet& fleet, size_t victim)
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
        const double bytesBefore = metricOf(fleet, 0, "persimmonfield_peer_bytes_received_total");
        std::this_thread::sleep_for(idleTime);
        const auto seconds = static_cast<double>(idleTime.count());
        report.add(prefix + "idle.store-calls", (storeCalls(fleet) - callsBefore) / seconds, "calls/s");
        report.atMost(prefix + "idle.cpu", (cpuSeconds(fleet.daemon(0).pid()) - cpuBefore) / seconds, "cores",
            controlCoreBound);
        report.atMost(prefix + "idle.memory", residentMb(fleet.daemon(0).pid()), "MB", controlMemoryBoundMb);
        const double bytes = metricOf(fleet, 0, "persimmonfield_peer_bytes_received_total") - bytesBefore;
        report.atMost(prefix + "idle.bytes-received", bytes / seconds / 1e3, "KB/s", controlBytesBoundKb);
    }

    void measureLoss(Fleet& fleet, const std::string& prefix, bool isStoreOut, Report& report)
    {
        const size_t victim = fleet.size() - 1;
        const std::string name = fleet.spec(victim).name;
        const int owned = allOwnedBy(fleet, name);
        const double movesBefore = movesMade(fleet);
        Traffic traffic(fleet, trafficAround(fleet, victim));
        std::this_thread::sleep_for(Milliseconds(500));
        if (isStoreOut)
            fleet.commandPlatform({ { "out", true } });
        fleet.daemon(victim).kill();
        const auto patience = isStoreOut ? storeOutPatience : lossPatience;
        const bool isTaken
            = Fleet::waitUntil([&] { return ownersOf(fleet, 0).value(name, 0) == 0; }, patience);
        std::this_thread::sleep_for(Milliseconds(500));
        const auto requests = traffic.stop();
        if (isStoreOut)
            fleet.commandPlatform({ { "out", false } });
        const std::string kind = prefix + (isStoreOut ? "loss.store-out." : "loss.");
        // The longest request waited for its key to be served again.
        const double served = isTaken ? longestCallSeconds(requests)
                                      : std::max<double>(longestCallSeconds(requests), patience.count());
        report.atMost(kind + "served-again", served, "s", servedAgainBoundSeconds);
        report.add(kind + "refused", refusals(requests), "requests");
        if (!isStoreOut && owned > 0)
            report.atMost(
                kind + "moves-per-least", (movesMade(fleet) - movesBefore) / owned, "ratio", movesBound);
        fleet.startDaemon(victim);
        fleet.waitUntilOwned("cards", partitions);
    }

    void measureZone(Fleet& fleet, const std::string& prefix, Report& report)
    {
        Traffic traffic(fleet, trafficAround(fleet, fleet.size()));
        std::this_thread::sleep_for(Milliseconds(500));
        fleet.apply(configuration("[availability-zone b]\nstate = out\n"));
        const TimePoint accepted = BootClock::now();
        Fleet::waitUntil([&] {
            const json owners = ownersOf(fleet, 0);
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
        Fleet::waitUntil([&] { return ownersOf(fleet, 0).value(fleet.spec(1).name, 0) > 0; });
        Fleet::waitUntil([&] { return imbalance(ownersOf(fleet, 0), fleet.size()) <= imbalanceBound; });
        fleet.waitUntilOwned("cards", partitions);
        report.add(prefix + "zone-back.refilled",
            std::chrono::duration<double>(BootClock::now() - returned).count(), "s");
        const auto requests = traffic.stop();
        report.atMost(prefix + "zone.refused", refusals(requests), "requests", 0);
        report.add(prefix + "zone.longest-request", longestCallSeconds(requests) * 1e3, "ms");
        report.atMost(
            prefix + "imbalance", imbalance(ownersOf(fleet, 0), fleet.size()), "max/mean", imbalanceBound);
    }

    void measureShape(const Environment& environment, const Shape& shape, int port, Report& report)
    {
        Fleet fleet(environment.binaryDirectory, port);
        fleet.startPlatform();
        for (size_t i = 0; i < shape.instances; ++i)
            fleet.addInstance({ "i" + std::to_string(i), zoneOf(i), "cards", {}, i % 2 == 0, 12, 64 });
        fleet.apply(configuration({}));
        fleet.waitUntilOwned("cards", partitions);
        std::this_thread::sleep_for(Milliseconds(2'000));
        const std::string prefix = "ownership." + shape.name + ".";
        measureIdle(fleet, prefix, report);
        measureLoss(fleet, prefix, false, report);
        measureZone(fleet, prefix, report);
        measureLoss(fleet, prefix, true, report);
    }

}

void benchOwnership(const Environment& environment, Report& report)
{
    measureShape(environment, { "cairnloch", 9 }, firstPort, report);
    measureShape(environment, { "kerbrat", 12 }, firstPort + portsPerFleet, report);
}

}
