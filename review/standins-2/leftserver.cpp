// An upstream leaves with DELETE. Its machine loses power right after the acknowledgement and starts again. A
// status report from before the DELETE arrives late.
#include "harness.h"

using namespace review;

namespace {

constexpr double drainSeconds = 2;
constexpr double contactSeconds = 3;
constexpr double linkSeconds = 0.0014; // To the store, in each direction.
constexpr double reportDelay = 3;
constexpr double serveAfterLeave = 5.3;

std::mutex mutex;
std::map<std::string, int> statuses; // By request; 0 if the connection ended.

void sendRequest(int port)
{
    const std::string id = newRequestId();
    int status = 0;
    if (const auto connection = connectTo(port)) {
        connection->send(requestText("POST", "/fulfilment/write/order",
            { { "Host", host }, { "Persimmonfield-Request-Id", id }, { "Persimmonfield-Deadline-Ms", "1500" },
                { "Authorization", std::string("Token ") + callerKey } },
            "an order"));
        if (const auto answer = connection->read(now() + 1.6))
            status = answer->status();
    }
    std::lock_guard lock(mutex);
    statuses[id] = status;
}

}

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    const int storePort = freePorts(4);
    Store store(storePort);
    store.put("config", "main", configuration({ "gallery", "fulfilment" }, 1'500));
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<std::unique_ptr<DelayProxy>> storeLinks;
    std::vector<Machine*> all;
    for (int i = 0; i < 3; ++i) {
        const std::string zone = std::string("zone-") + static_cast<char>('a' + i);
        storeLinks.push_back(std::make_unique<DelayProxy>(storePort + 1 + i, storePort, linkSeconds));
        machines.push_back(std::make_unique<Machine>("auxiliary-" + std::to_string(i + 1), zone,
            i < 1 ? "gallery" : "fulfilment", storePort + 1 + i, 260));
        Machine& machine = *machines.back();
        machine.start();
        upstreams.push_back(std::make_unique<Upstream>("i-" + std::to_string(i + 1), machine.service(), zone,
            machine.serverPort(), machine.reportPort(), 0.1, 12));
        all.push_back(&machine);
    }
    if (!waitUntilReady(all, 10)) {
        record("the machines are not ready");
        finish(2);
    }
    sleepFor(3);
    Upstream& leaving = *upstreams[1];
    leaving.stopReports();
    sleepFor(0.9);
    const int64_t lateSequence = leaving.lastSequence() + 1;
    record("i-2 sends the status report " + std::to_string(lateSequence) + ", which is held up");
    sleepFor(0.3);
    if (!leaving.leave()) {
        record("DELETE was not acknowledged");
        finish(2);
    }
    const double acknowledgedAt = now();
    if (hasTrouble()) {
        storeLinks[1]->cut();
        machines[1]->kill();
    }
    record("auxiliary-2 has acknowledged DELETE of i-2");
    double startedAt = -contactSeconds;
    if (hasTrouble()) {
        record("auxiliary-2 has lost its power");
        sleepFor(0.5);
        machines[1]->start();
        startedAt = now();
        record("auxiliary-2 starts again");
    }
    sleepFor(acknowledgedAt + 1 - now());
    std::atomic<bool> isOver { false };
    std::thread clients([&] {
        while (!isOver) {
            std::thread(sendRequest, machines[0]->outboundPort()).detach();
            sleepFor(0.02);
        }
    });
    sleepFor(acknowledgedAt + reportDelay - now());
    const bool isTaken = leaving.sendReport(lateSequence);
    record(std::string("the status report arrives late; it is ")
        + (isTaken ? "acknowledged" : "not acknowledged"));
    sleepFor(acknowledgedAt + serveAfterLeave - now());
    leaving.end();
    record("i-2 exits");
    sleepFor(2);
    isOver = true;
    clients.join();
    sleepFor(1.8);
    int late = 0;
    int failed = 0;
    for (const Run& run : leaving.runs()) {
        const bool isInTouch = run.at >= startedAt + contactSeconds;
        if (run.at <= acknowledgedAt + drainSeconds || !isInTouch)
            continue;
        std::lock_guard lock(mutex);
        ++late;
        failed += statuses[run.requestId] == 200 ? 0 : 1;
        record("order " + run.requestId + " reaches i-2 " + std::to_string(run.at - acknowledgedAt)
            + " s after the acknowledgement; answered " + std::to_string(statuses[run.requestId]));
    }
    std::map<int, int> counts;
    {
        std::lock_guard lock(mutex);
        for (const auto& [id, status] : statuses)
            ++counts[status];
    }
    for (const auto& [status, count] : counts)
        record("answered " + std::to_string(status) + ": " + std::to_string(count));
    record("orders that reach i-2 later than drain, by machines in touch: " + std::to_string(late)
        + ", of these without a success: " + std::to_string(failed));
    finish(late > 0 ? 1 : 0);
}
