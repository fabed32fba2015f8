// Planned work only: a machine is stopped by SIGTERM while requests that it has taken run at three upstreams,
// and one of these upstreams leaves; it sends DELETE first and continues to serve. Judged: LOST, requests
// that are given up after the SIGTERM although their upstream is at work.

#include "../standins/fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr int machineCount = 3;
constexpr int requestCount = 12;
// As quote-history in kerbrat-lagging: a deadline of 5 s; at most 2.4 s of work, on a server of speed 1.4.
constexpr Milliseconds deadline { 5'000 };
constexpr Milliseconds work { 3'400 };
// From the requests to the DELETE, and from that to the SIGTERM.
constexpr Milliseconds leaveDelay { 200 };
constexpr Milliseconds stopDelay { 100 };
constexpr double grace = 6;

json configuration()
{
    const json rule { { "name", "r-book" }, { "type", "non_idempotent" }, { "targetLatency", "4000ms" },
        { "priority", 1 }, { "allowAnonymous", false }, { "match", { { "pathPrefix", "/book/" } } },
        { "action", { { "service", "logistics" }, { "timeout", "5000ms" }, { "maxAttempts", 2 } } } };
    return { { "version", "r7" },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 67108864 }, { "headerTimeout", "3000ms" },
                { "idleTimeout", "15000ms" } } },
        { "tenants",
            { { { "name", "team" }, { "apiKeys", { "key" } }, { "priority", 1 }, { "ratePerS", 0 },
                { "burst", 0 } } } },
        { "listeners", { { { "host", "cards.example" }, { "routingRules", { rule } } } } },
        { "clusters",
            { { { "name", "logistics" }, { "healthPath", "/healthz" }, { "maxConnections", 130 },
                { "protocol", "h1" }, { "tls", false }, { "warmup", "3s" }, { "warmupPerS", 9.8 } } } } };
}

struct Outcome {
    Answer answer;
    double answeredAt = 0;
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
            std::string("zone-") + "abc"[i], "logistics", store.port(), Milliseconds(870), directory }));
        machines.back()->start();
    }
    for (const auto& machine : machines) {
        upstreams.push_back(std::make_unique<Upstream>(record, *machine, "i-" + machine->options().name, 9));
        upstreams.back()->setWork(work);
    }
    const auto areAllReady = [&] {
        return std::all_of(machines.begin(), machines.end(), [](auto& each) { return each->isReady(); });
    };
    if (!waitFor(Milliseconds(15'000), areAllReady))
        return 2;
    std::this_thread::sleep_for(Milliseconds(5'000));

    std::vector<Outcome> outcomes(requestCount);
    std::vector<std::thread> clients;
    for (int i = 0; i < requestCount; ++i) {
        clients.emplace_back([&, i] {
            std::this_thread::sleep_for(Milliseconds(10) * i);
            Client client(record, *machines[0], "cards.example", "key");
            outcomes[static_cast<size_t>(i)].answer = client.send("POST", "/book/1", deadline, "a delivery");
            outcomes[static_cast<size_t>(i)].answeredAt = record.seconds();
        });
    }
    std::this_thread::sleep_for(Milliseconds(10) * requestCount + leaveDelay);
    bool isLeaveAcknowledged = true;
    if (hasTrouble())
        isLeaveAcknowledged = upstreams[1]->leave();
    std::this_thread::sleep_for(stopDelay);
    const double stoppedAt = record.seconds();
    record.line("SIGTERM to " + machines[0]->options().name);
    machines[0]->signal(SIGTERM);
    for (std::thread& client : clients)
        client.join();
    std::this_thread::sleep_for(Milliseconds(1'000));

    std::map<std::string, Upstream::Run> runs;
    for (const auto& upstream : upstreams) {
        for (const Upstream::Run& run : upstream->runs())
            runs[run.requestId] = run;
    }
    int served = 0;
    int lost = 0;
    for (const Outcome& outcome : outcomes) {
        const bool isServed = outcome.answer.status == 200 && !outcome.answer.signature.empty();
        served += isServed ? 1 : 0;
        const auto run = runs.find(outcome.answer.id);
        if (isServed || run == runs.end())
            continue;
        const bool isAtWork = outcome.answeredAt < run->second.until;
        const bool isInGrace = outcome.answeredAt > stoppedAt && outcome.answeredAt < stoppedAt + grace;
        if (!isAtWork || !isInGrace)
            continue;
        ++lost;
        record.line("given up: " + outcome.answer.id + " with " + std::to_string(outcome.answer.status) + " "
            + std::to_string(outcome.answeredAt - stoppedAt) + " s after the SIGTERM, "
            + std::to_string(run->second.until - outcome.answeredAt) + " s before its run would have ended");
    }
    const std::string summary = "sent " + std::to_string(requestCount) + ", served " + std::to_string(served)
        + ", given up after the SIGTERM while their upstream was at work " + std::to_string(lost)
        + " (allowed 0)";
    record.line(summary);
    std::printf("%s\n", summary.c_str());
    if (!isLeaveAcknowledged || runs.size() < requestCount / 2)
        return 2;
    return lost > 0 ? 1 : 0;
}
