// An upstream becomes cold again between two of its status reports. From that moment its health answers, and
// from its next report on its reports, say how long it stays cold. Judged: FAILBACK, the requests that were
// sent and arrived at the cold upstream inside any span of one second.

#include "../standins/fleet.h"

#include <algorithm>
#include <cstdio>

using namespace review;

namespace {

constexpr double warmupPerS = 23;
constexpr double warmupOverload = 1.5;
constexpr double warmupSlack = 5;
constexpr Milliseconds warmup { 3'000 };
constexpr Milliseconds deadline { 1'500 };
constexpr int machineCount = 3;
// 63 requests a second for each machine: the sheet of cairnloch-mesh has 192 a second for the three upstreams
// of `fulfilment` (76.1 print-order, 0.7 x 166 roster-check).
constexpr int clientsPerMachine = 12;
constexpr Milliseconds sendInterval { 190 };
constexpr int rounds = 6;
constexpr Milliseconds roundInterval { 6'500 };

json configuration()
{
    const json rule { { "name", "r-check" }, { "type", "idempotent" }, { "targetLatency", "400ms" },
        { "priority", 1 }, { "allowAnonymous", false }, { "match", { { "pathPrefix", "/roster/" } } },
        { "action", { { "service", "fulfilment" }, { "timeout", "1500ms" }, { "maxAttempts", 2 } } } };
    return {
        { "version", "r7" },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 67108864 }, { "headerTimeout", "3000ms" },
                { "idleTimeout", "15000ms" } } },
        { "tenants",
            { { { "name", "team" }, { "apiKeys", { "key" } }, { "priority", 1 }, { "ratePerS", 0 },
                { "burst", 0 } } } },
        { "listeners", { { { "host", "cards.example" }, { "routingRules", { rule } } } } },
        { "clusters",
            { { { "name", "fulfilment" }, { "healthPath", "/healthz" }, { "maxConnections", 110 },
                { "protocol", "h1" }, { "tls", false }, { "warmup", "3s" }, { "warmupPerS", warmupPerS } } } }
    };
}

struct Cold {
    double from = 0;
    double until = 0;
    size_t upstream = 0;
};

}

int main(int argc, char** argv)
{
    const std::string directory = argv[1];
    Record record(argc > 2 ? argv[2] : "record.txt");
    Store store;
    store.put("config", "main", configuration());
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int i = 0; i < machineCount; ++i) {
        machines.push_back(std::make_unique<Machine>(MachineOptions { "auxiliary-" + std::to_string(i),
            std::string("zone-") + "abc"[i], "fulfilment", store.port(), Milliseconds(870), directory }));
        machines.back()->start();
    }
    for (const auto& machine : machines) {
        upstreams.push_back(std::make_unique<Upstream>(record, *machine, "i-" + machine->options().name, 12));
        upstreams.back()->setWork(Milliseconds(60));
    }
    const auto areAllReady = [&] {
        return std::all_of(machines.begin(), machines.end(), [](auto& each) { return each->isReady(); });
    };
    if (!waitFor(Milliseconds(15'000), areAllReady))
        return 2;
    std::this_thread::sleep_for(Milliseconds(3'000));

    std::atomic<bool> isOver { false };
    std::mutex mutex;
    std::map<std::string, double> sentAt;
    int served = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < machineCount * clientsPerMachine; ++i) {
        clients.emplace_back([&, i] {
            Client client(record, *machines[i % machineCount], "cards.example", "key");
            auto next = Clock::now() + sendInterval * (i / machineCount) / clientsPerMachine;
            while (!isOver) {
                std::this_thread::sleep_until(next);
                next += sendInterval;
                const double at = record.seconds();
                const Answer answer = client.send("GET", "/roster/1", deadline);
                std::lock_guard lock(mutex);
                sentAt[answer.id] = at;
                served += answer.status == 200 ? 1 : 0;
            }
        });
    }
    std::this_thread::sleep_for(Milliseconds(4'000));
    std::vector<Cold> colds;
    for (int round = 0; round < rounds; ++round) {
        const size_t index = static_cast<size_t>(round % machineCount);
        Upstream& upstream = *upstreams[index];
        if (hasTrouble()) {
            // Shortly after a report, so that the next one is most of a heartbeat away.
            const double before = upstream.lastReportAt();
            waitFor(Milliseconds(2'000), [&] { return upstream.lastReportAt() > before; });
            upstream.becomeCold(warmup);
            const double from = record.seconds();
            record.line("cold " + upstream.id());
            colds.push_back({ from, from + std::chrono::duration<double>(warmup).count(), index });
        }
        std::this_thread::sleep_for(roundInterval);
    }
    isOver = true;
    for (std::thread& client : clients)
        client.join();

    const double bound = warmupPerS * warmupOverload + warmupSlack;
    size_t most = 0;
    for (const Cold& cold : colds) {
        std::vector<std::pair<double, double>> arrived; // Arrival and sending.
        for (const Upstream::Run& run : upstreams[cold.upstream]->runs()) {
            if (run.at >= cold.from && run.at <= cold.until && sentAt.count(run.requestId) > 0)
                arrived.emplace_back(run.at, sentAt[run.requestId]);
        }
        std::sort(arrived.begin(), arrived.end());
        size_t mostHere = 0;
        for (const auto& [start, ignored] : arrived) {
            const double first = start;
            mostHere = std::max(mostHere,
                static_cast<size_t>(std::count_if(arrived.begin(), arrived.end(), [first](const auto& each) {
                    return each.first >= first && each.first < first + 1 && each.second >= first - 0.001;
                })));
        }
        record.line("cold at " + std::to_string(cold.from) + ": most requests in a second "
            + std::to_string(mostHere));
        most = std::max(most, mostHere);
    }
    const std::string summary = "served " + std::to_string(served)
        + ", most requests of a cold upstream in a second " + std::to_string(most) + " (allowed "
        + std::to_string(bound) + ")";
    record.line(summary);
    std::printf("%s\n", summary.c_str());
    if (served < 1'000)
        return 2;
    return static_cast<double>(most) > bound ? 1 : 0;
}
