// CONFIG: machines with a sound way to the store go on with an older configuration, because they follow an instance to
// which the store is silent.

#include "base/hashing.h"
#include "fleet.h"

#include <algorithm>

using namespace review;

namespace {

constexpr const char* lostZone = "bzh-west-a";
constexpr Milliseconds configApply { 2'000 };
constexpr Milliseconds requestInterval { 50 };
constexpr Milliseconds outage { 5'000 };

constexpr const char* keptKey = "6wsjnbanfqasnmgkcuyj";
constexpr const char* withdrawnKey = "8pjbvk9m68k7b2ex5wa5";
constexpr const char* addedKey = "q4tz0y7hn2wdc9xk3mpe";

json configurationOf(const std::string& version, const std::vector<std::string>& keys)
{
    json value = configuration({ rule("orders", "idempotent", "/orders/", "orders"), rule("tariffs", "idempotent", "/tariffs/", "logistics") },
        { "orders", "logistics" });
    value["version"] = version;
    value["tenants"] = { { { "name", "pulo780" }, { "apiKeys", keys }, { "priority", 1 }, { "ratePerS", 0 }, { "burst", 0 } } };
    return value;
}

// The machine of the zone that watches the store for the others: see FeedChoice in src/sidecar. All have the same cores.
std::string watcherOf(const Fleet& fleet, const std::string& zone)
{
    std::string watcher;
    for (const auto& machine : fleet.machines) {
        const bool isFirst = watcher.empty() || stableHash(machine->name) < stableHash(watcher);
        if (machine->zone == zone && isFirst)
            watcher = machine->name;
    }
    return watcher;
}

struct Outcome {
    int judged = 0;
    int refusedLate = 0; // With the added key.
    int runLate = 0; // With the withdrawn key.
    double lastOldAnswer = 0; // Seconds after the ack.
};

bool play(const std::string& recordPath)
{
    const char* part = std::getenv("PART"); // One of the two disruptions alone: "loss" or "silence".
    const bool hasLoss = hasTrouble() && (!part || std::string(part) == "loss");
    const bool hasSilence = hasTrouble() && (!part || std::string(part) == "silence");
    const char* size = std::getenv("MACHINES_PER_ZONE");
    const int machinesPerZone = size ? std::atoi(size) : 4; // As at the site.
    Fleet fleet(recordPath);
    for (const char* zone : { lostZone, "bzh-west-b", "bzh-west-c" }) {
        for (int i = 0; i < machinesPerZone; ++i)
            fleet.addMachine(zone, i % 2 == 0 ? "orders" : "logistics");
    }
    fleet.store->put("config", "main", configurationOf("r12", { keptKey, withdrawnKey }));
    // The ways to the store of the two machines that the store will be silent to.
    std::map<std::string, std::unique_ptr<FaultProxy>> ways;
    for (const char* zone : { "bzh-west-b", "bzh-west-c" }) {
        const std::string watcher = watcherOf(fleet, zone);
        for (const auto& machine : fleet.machines) {
            if (machine->name != watcher)
                continue;
            machine->store = newAddress();
            ways[watcher] = std::make_unique<FaultProxy>(fleet.loop, machine->store, fleet.storeAddress());
        }
    }
    std::vector<std::unique_ptr<Upstream>> upstreams;
    const auto startUpstream = [&](Machine& machine) {
        upstreams.push_back(std::make_unique<Upstream>(fleet.loop,
            Upstream::Options { "i-" + machine.name, machine.service, machine.zone, machine.upstreamListen, machine.upstream, machine.control },
            fleet.record));
    };
    Machine& last = *fleet.machines.back(); // Its upstream starts later.
    for (const auto& machine : fleet.machines) {
        if (ways.count(machine->name) > 0)
            continue;
        fleet.startNode(*machine);
        if (machine.get() != &last)
            startUpstream(*machine);
    }
    fleet.runFor(Milliseconds(3'000));
    // These two nodes are the last that start, so that nobody has told them of a newer version yet.
    for (const auto& machine : fleet.machines) {
        if (ways.count(machine->name) == 0)
            continue;
        fleet.startNode(*machine);
        startUpstream(*machine);
        fleet.runFor(Milliseconds(1'500));
    }
    for (const auto& machine : fleet.machines) {
        if (machine.get() != &last)
            fleet.awaitReady(*machine);
    }
    fleet.runFor(Milliseconds(4'000));
    // The store tells both of the new upstream, so that their next probe of the store is nearly a second away.
    startUpstream(last);
    fleet.runFor(Milliseconds(150));

    if (hasLoss) {
        for (size_t i = 0; i < fleet.machines.size(); ++i) {
            if (fleet.machines[i]->zone == lostZone)
                fleet.machines[i]->process->kill();
        }
        for (const auto& upstream : upstreams) {
            if (upstream->id().find(lostZone) != std::string::npos)
                upstream->crash();
        }
        fleet.record.add(fmt::format("zone {} loses power: its nodes and upstreams end", lostZone));
    }
    if (hasSilence) {
        for (const auto& [name, way] : ways) {
            way->setBlocked(true, true);
            fleet.record.add(fmt::format("the store is silent to {} from now on", name));
        }
    }
    fleet.runFor(Milliseconds(50));
    fleet.store->put("config", "main", configurationOf("r13", { keptKey, addedKey }));
    const TimePoint ackedAt = BootClock::now();
    fleet.record.add("the store acknowledges version r13: a key is added, a key is withdrawn");
    const auto sinceAck = [ackedAt] { return std::chrono::duration<double>(BootClock::now() - ackedAt).count(); };

    std::map<std::string, Outcome> outcomes;
    std::map<std::string, std::string> lateRuns; // By request id, the machine.
    int unanswered = 0;
    for (const auto& upstream : upstreams) {
        upstream->setRunHandler([&, id = upstream->id()](const HttpRequest& request) {
            const std::string* requestId = request.header("Persimmonfield-Request-Id");
            if (!requestId || lateRuns.count(*requestId) == 0)
                return;
            ++outcomes[lateRuns[*requestId]].runLate;
            fleet.record.add(fmt::format("request {} with the withdrawn key, at {}, runs at {}", *requestId, lateRuns[*requestId], id));
        });
    }
    const auto send = [&](Machine& machine, const char* key) {
        HttpRequest request = fleet.request("GET", "/orders/1");
        request.headers.push_back({ "Authorization", std::string("Token ") + key });
        const std::string id = *request.header("Persimmonfield-Request-Id");
        const double sentAt = sinceAck();
        const bool isLate = sentAt > std::chrono::duration<double>(configApply).count();
        if (isLate && key == withdrawnKey)
            lateRuns[id] = machine.name;
        ++unanswered;
        machine.client->call(std::move(request), Milliseconds(2'500), [&, id, sentAt, isLate, key, name = machine.name](const CallResult& result) {
            --unanswered;
            const int status = result.outcome == CallOutcome::Answered ? result.response.status : 0;
            Outcome& outcome = outcomes[name];
            outcome.judged += isLate ? 1 : 0;
            const bool isOld = key == addedKey ? status == 401 : status == 200;
            if (!isOld)
                return;
            outcome.lastOldAnswer = std::max(outcome.lastOldAnswer, sentAt);
            if (key != addedKey || !isLate)
                return;
            ++outcome.refusedLate;
            fleet.record.add(fmt::format("request {} with the added key, sent to {} {:.3f} s after the ack, is answered 401", id, name, sentAt));
        });
    };
    // Machines that are in touch: none of their processes, connections and links is harmed.
    const TimePoint end = ackedAt + outage;
    while (BootClock::now() < end) {
        for (const auto& machine : fleet.machines) {
            if (machine->zone == lostZone || ways.count(machine->name) > 0)
                continue;
            send(*machine, addedKey);
            send(*machine, withdrawnKey);
        }
        fleet.runFor(requestInterval);
    }
    fleet.runUntil([&] { return unanswered == 0; }, Milliseconds(3'000));
    int refused = 0;
    int run = 0;
    int judged = 0;
    for (const auto& [name, outcome] : outcomes) {
        refused += outcome.refusedLate;
        run += outcome.runLate;
        judged += outcome.judged;
        const std::string line = fmt::format("{}: the older version until {:.3f} s after the ack; later than 2 s: {} requests with the added key "
                                             "answered 401, {} with the withdrawn key run", name, outcome.lastOldAnswer, outcome.refusedLate, outcome.runLate);
        fleet.record.add(line);
        std::printf("%s\n", line.c_str());
    }
    std::printf("requests sent later than 2 s after the ack: %d; refused with 401: %d, run with the withdrawn key: %d\n", judged, refused, run);
    if (judged < 100)
        throw CannotRun { "too few requests were answered" };
    // Runs with the withdrawn key are recorded, not judged: the pages also name a bound `revoke` of 5000ms.
    return refused == 0;
}

}

int main(int, char** argv)
{
    return runCase([argv] { return play(argv[1]); });
}
