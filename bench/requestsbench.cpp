#include "bench/benches.h"
#include "bench/load.h"

#include <algorithm>
#include <thread>

namespace persimmonfield::bench {
namespace {

    using testing::Fleet;
    using testing::HttpCall;

    constexpr int firstPort = 28'000;
    constexpr int instances = 9;
    constexpr int slots = 12;
    constexpr int serviceMs = 2;
    constexpr int stragglerMs = 20; // Ten times as slow as the others.
    constexpr double rate = 400; // Requests per second, for the whole fleet.
    constexpr double p99BoundMs = 8;
    constexpr double wrongfulRefusalBound = 0.001;
    constexpr double successBound = 0.999;
    constexpr int64_t smallRate = 100;
    constexpr int64_t smallBurst = 50;

    std::string configuration()
    {
        return "[service print]\ndivided-by-key = no\n"
               "[route orders]\nservice = print\npath = /orders/*\naccess = team\nidempotent = yes\n"
               "[team large]\nrate = 100000\nburst = 100000\n"
               "[team small]\nrate = 100\nburst = 50\n"
               "[team greedy]\nrate = 100\nburst = 50\n"
            + testing::keySection("large") + testing::keySection("small") + testing::keySection("greedy");
    }

    LoadSpec makeLoad(
        const Fleet& fleet, const std::string& team, double ratePerSecond, Milliseconds duration)
    {
        LoadSpec load;
        for (size_t i = 0; i < fleet.size(); ++i)
            load.ports.push_back(fleet.callerPort(i));
        load.request = [team](int thread, int number) {
            HttpCall call;
            call.target = "/orders/" + std::to_string(thread) + "-" + std::to_string(number);
            call.headers.emplace("Authorization", "Bearer " + testing::keyOf(team));
            return call;
        };
        load.threads = 18;
        load.ratePerSecond = ratePerSecond;
        load.duration = duration;
        return load;
    }

    // The baseline: sends requests directly to the servers in round-robin order, without load-aware routing.
    LoadResult roundRobin(const Fleet& fleet)
    {
        LoadSpec load = makeLoad(fleet, "large", rate, Milliseconds(5'000));
        load.ports.clear();
        for (size_t i = 0; i < fleet.size(); ++i)
            load.ports.push_back(fleet.serverPort(i));
        return generateLoad(load);
    }

    void measureStraggler(Fleet& fleet, Report& report)
    {
        const LoadSpec load = makeLoad(fleet, "large", rate, Milliseconds(5'000));
        generateLoad(load);
        const LoadResult healthy = generateLoad(load);
        report.add("requests.calm.p99", healthy.percentile(0.99), "ms");
        fleet.commandServer(instances - 1, { { "serviceMs", stragglerMs } });
        const LoadResult baseline = roundRobin(fleet);
        const LoadResult routed = generateLoad(load);
        report.add("requests.straggler.round-robin.p99", baseline.percentile(0.99), "ms");
        report.add("requests.straggler.p50", routed.percentile(0.5), "ms");
        report.atMost("requests.straggler.p99", routed.percentile(0.99), "ms", p99BoundMs);
        report.atMost("requests.straggler.failed",
            static_cast<double>(routed.statuses.size() - routed.latenciesMs.size()), "requests", 0);
        fleet.commandServer(instances - 1, { { "serviceMs", serviceMs } });
    }

    void measureTeams(Fleet& fleet, Report& report)
    {
        const Milliseconds duration { 10'000 };
        const auto seconds = static_cast<double>(duration.count()) / 1e3;
        // Waits until the token buckets of the teams are full.
        std::this_thread::sleep_for(std::chrono::seconds(2));
        LoadResult small;
        LoadResult greedy;
        std::thread greedyThread(
            [&] { greedy = generateLoad(makeLoad(fleet, "greedy", smallRate * 5.0, duration)); });
        small = generateLoad(makeLoad(fleet, "small", smallRate * 0.9, duration));
        greedyThread.join();
        const auto all = static_cast<double>(small.statuses.size());
        report.atMost(
            "requests.teams.wrongful-refusals", small.count(429) / all, "share", wrongfulRefusalBound);
        report.atLeast("requests.teams.worst.success", static_cast<double>(small.latenciesMs.size()) / all,
            "share", successBound);
        report.add("requests.teams.worst.p50", small.percentile(0.5), "ms");
        report.add("requests.teams.worst.p95", small.percentile(0.95), "ms");
        report.atMost("requests.teams.worst.p99", small.percentile(0.99), "ms", p99BoundMs);
        const double allowed
            = static_cast<double>(smallBurst) + static_cast<double>(smallRate) * greedy.seconds;
        report.add("requests.teams.greedy.admitted", static_cast<double>(greedy.latenciesMs.size()) / seconds,
            "req/s");
        report.atMost("requests.teams.over-rate-and-burst",
            std::max(0.0, static_cast<double>(greedy.latenciesMs.size()) - allowed), "requests", 0);
    }

    void measureColdServer(Fleet& fleet, Report& report)
    {
        constexpr int coldCapacity = 2;
        constexpr size_t cold = 0;
        fleet.server(cold).kill();
        fleet.startServer(cold, { "--cold-slots=" + std::to_string(coldCapacity) });
        generateLoad(makeLoad(fleet, "large", 0, Milliseconds(3'000)));
        const auto runs = fleet.runs(cold);
        report.atMost(
            "requests.cold.most-at-once", runs["mostAtOnce"].get<double>(), "requests", coldCapacity);
        report.add("requests.cold.shed", runs["shed"].get<double>(), "requests");
    }

}

void benchRequests(const Environment& environment, Report& report)
{
    Fleet fleet(environment.binaryDirectory, firstPort);
    fleet.startPlatform();
    for (int i = 0; i < instances; ++i)
        fleet.addInstance({ "i" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)), "print",
            { "--service-ms=" + std::to_string(serviceMs) }, false, slots, 64 });
    fleet.apply(configuration());
    Fleet::waitUntil([&] {
        const auto state = fleet.status(0);
        return !state.is_null() && state["services"].contains("team-homes") && state["configVersion"] == 1
            && state["instances"].size() == instances;
    });
    std::this_thread::sleep_for(std::chrono::seconds(3));
    measureStraggler(fleet, report);
    measureTeams(fleet, report);
    measureColdServer(fleet, report);
}

}
