// Requests run at two upstreams. The machine that took them is stopped as planned. Meanwhile a status report
// of another writer, without an address, arrives at the machine beside one of the upstreams.
#include "harness.h"

#include <chrono>

using namespace review;

namespace {

constexpr double workSeconds = 3;
constexpr int requests = 12;

std::mutex mutex;
std::map<std::string, int> statuses; // Of the node's own answers; 0 if the connection ended.
std::map<std::string, int> signedStatuses; // Of the upstreams' answers.

void sendRequest(int port)
{
    const std::string id = newRequestId();
    const auto connection = connectTo(port);
    if (!connection)
        return;
    connection->send(requestText("POST", "/fulfilment/write/order",
        { { "Host", host }, { "Persimmonfield-Request-Id", id }, { "Persimmonfield-Deadline-Ms", "5000" },
            { "Authorization", std::string("Token ") + callerKey } },
        "an order"));
    const auto answer = connection->read(now() + 5.5);
    std::lock_guard lock(mutex);
    const bool isSigned = answer && answer->has("Persimmonfield-Response-Signature");
    (isSigned ? signedStatuses : statuses)[id] = answer ? answer->status() : 0;
    record("order " + id + " is answered " + std::to_string(answer ? answer->status() : 0)
        + (isSigned ? " by its upstream" : " by the node"));
}

}

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    const int storePort = freePorts(1);
    Store store(storePort);
    store.put("config", "main", configuration({ "gallery", "fulfilment" }, 5'000));
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<Machine*> all;
    for (int i = 0; i < 3; ++i) {
        const std::string zone = std::string("zone-") + static_cast<char>('a' + i);
        machines.push_back(std::make_unique<Machine>(
            "auxiliary-" + std::to_string(i + 1), zone, i < 1 ? "gallery" : "fulfilment", storePort, 260));
        Machine& machine = *machines.back();
        machine.start();
        upstreams.push_back(std::make_unique<Upstream>("i-" + std::to_string(i + 1), machine.service(), zone,
            machine.serverPort(), machine.reportPort(), workSeconds, 12));
        all.push_back(&machine);
    }
    if (!waitUntilReady(all, 10)) {
        record("the machines are not ready");
        finish(2);
    }
    sleepFor(4);
    std::vector<std::thread> clients;
    for (int i = 0; i < requests; ++i) {
        clients.emplace_back(sendRequest, machines[0]->outboundPort());
        sleepFor(0.02);
    }
    sleepFor(0.5);
    machines[0]->terminate();
    record("auxiliary-1 gets SIGTERM");
    sleepFor(0.1);
    const size_t atFirst = upstreams[1]->runs().size();
    record("orders at i-2: " + std::to_string(atFirst)
        + ", at i-3: " + std::to_string(upstreams[2]->runs().size()));
    if (hasTrouble()) {
        const auto startedMs = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
                                   .count();
        const json report { { "service", "fulfilment" }, { "slots", 8 }, { "state", "ready" },
            { "sequence", 1 }, { "born", startedMs } };
        const auto connection = connectTo(machines[1]->reportPort());
        connection->send(requestText("PUT", "/instances/i-77aa01f3",
            { { "Host", "control" }, { "Content-Type", "application/json" } }, report.dump()));
        const auto answer = connection->read(now() + 1);
        record("auxiliary-2 answers " + std::to_string(answer ? answer->status() : 0)
            + " to a status report of another writer: " + report.dump());
    }
    for (std::thread& client : clients)
        client.join();
    int lost = 0;
    std::set<std::string> ran;
    for (const auto& upstream : upstreams) {
        for (const Run& run : upstream->runs())
            ran.insert(run.requestId);
    }
    for (const auto& [id, status] : statuses)
        lost += ran.count(id) > 0 ? 1 : 0;
    record("orders answered by their upstreams: " + std::to_string(signedStatuses.size())
        + "; given up by a node while an upstream was at work: " + std::to_string(lost));
    // Whether the upstream is in use afterwards, through a machine that runs on.
    sleepFor(3);
    const size_t before = upstreams[1]->runs().size();
    std::vector<std::thread> later;
    for (int i = 0; i < 20; ++i)
        later.emplace_back(sendRequest, machines[2]->outboundPort());
    for (std::thread& client : later)
        client.join();
    record("of 20 more orders, i-2 has run " + std::to_string(upstreams[1]->runs().size() - before)
        + " (observed only)");
    const bool couldRun = atFirst > 0 && (hasTrouble() || signedStatuses.size() >= requests);
    finish(lost > 0 ? 1 : couldRun ? 0 : 2);
}
