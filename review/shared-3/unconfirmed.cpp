// OWNER: a node is killed between taking back its lapsed lease and giving up its keys.

#include "fleet.h"

using namespace review;

namespace {

constexpr const char* leaseKind = "persimmonfield-leases";
constexpr Milliseconds cutLimit { 12'000 };
// How late the store carries out the planner's writes of the key table, at most; the first one as soon as the
// upstream of the restarted node holds its keys again.
constexpr Milliseconds leastLateness { 1'000 };
constexpr Milliseconds writeLateness { 4'000 };
constexpr Milliseconds restartDelay { 600 };
constexpr Milliseconds allowedOverlap { 500 };
// Between the heartbeats of the two upstreams.
constexpr Milliseconds heartbeatGap { 200 };
constexpr int sampledKeys = 64;
constexpr int keyStep = 1'024;

// The way of one node to the store.
class StorePath {
public:
    // Whether the store carries the call out late and does not answer it: `isDue` tells when.
    using Due = std::function<bool()>;
    using Rule = std::function<Due(const HttpRequest&)>;
    using Observer = std::function<bool(const HttpRequest&, const HttpResponse&)>;

    StorePath(asio::io_context& loop, const Address& address, const Address& store)
        : loop_(loop)
        , client_(loop, optionsFor(store))
        , server_(loop, [this](const auto& exchange) { handle(exchange); })
    {
        if (!server_.listen(address).ok())
            throw CannotRun { "the way to the store cannot listen" };
    }

    void setRule(Rule rule) { rule_ = std::move(rule); }
    // Called with each answer; the answer is lost if it returns false.
    void setObserver(Observer observer) { observer_ = std::move(observer); }
    // What is on its way while the path is cut arrives once it is whole again.
    void setCut(bool isCut)
    {
        isCut_ = isCut;
        if (!isCut) {
            for (const auto& exchange : std::exchange(held_, {}))
                forward(exchange);
        }
    }

private:
    static HttpClientOptions optionsFor(const Address& store)
    {
        HttpClientOptions options;
        options.address = store;
        return options;
    }

    void handle(const std::shared_ptr<HttpExchange>& exchange)
    {
        if (isCut_)
            held_.push_back(exchange);
        else
            forward(exchange);
    }

    void forward(const std::shared_ptr<HttpExchange>& exchange)
    {
        Due isDue = rule_ ? rule_(exchange->request()) : nullptr;
        if (isDue)
            awaitDue(exchange, std::move(isDue));
        else
            call(exchange, true);
    }

    void awaitDue(const std::shared_ptr<HttpExchange>& exchange, Due isDue)
    {
        const auto timer = std::make_shared<asio::steady_timer>(loop_, Milliseconds(5));
        timer->async_wait([this, timer, exchange, isDue = std::move(isDue)](std::error_code) {
            if (isDue())
                call(exchange, false);
            else
                awaitDue(exchange, isDue);
        });
    }

    void call(const std::shared_ptr<HttpExchange>& exchange, bool answers)
    {
        HttpRequest request = exchange->request();
        client_.call(std::move(request), Milliseconds(31'000), [this, exchange, answers](const CallResult& result) {
            if (result.outcome != CallOutcome::Answered)
                return;
            const bool isKept = !observer_ || observer_(exchange->request(), result.response);
            if (!isKept || !answers) {
                unanswered_.push_back(exchange);
                return;
            }
            HttpResponse response = result.response;
            exchange->respond(std::move(response));
        });
    }

    asio::io_context& loop_;
    HttpClient client_;
    HttpServer server_;
    Rule rule_;
    Observer observer_;
    bool isCut_ = false;
    std::vector<std::shared_ptr<HttpExchange>> held_;
    std::vector<std::shared_ptr<HttpExchange>> unanswered_;
};

bool play(const std::string& recordPath)
{
    Fleet fleet(recordPath);
    const std::string service = "gallery";
    Machine& planner = fleet.addMachine("zone-a", service); // The first by name plans the key table.
    Machine& victim = fleet.addMachine("zone-b", service);
    json config = configuration({ rule("cards", "idempotent", "/cards/", service) }, { service });
    config["clusters"][0]["sharded"] = true;
    fleet.store->put("config", "main", config);

    // All ways of the second machine to others can be cut.
    std::map<std::string, std::pair<Address, std::unique_ptr<FaultProxy>>> peers;
    std::map<std::string, std::unique_ptr<StorePath>> paths;
    for (const auto& machine : fleet.machines) {
        const Address proxied = newAddress();
        auto proxy = std::make_unique<FaultProxy>(fleet.loop, proxied, Address { host, machine->firstPort });
        peers["instance." + machine->name] = { proxied, std::move(proxy) };
        machine->store = newAddress();
        paths[machine->name] = std::make_unique<StorePath>(fleet.loop, machine->store, fleet.storeAddress());
    }
    fleet.store->setView([&peers](const std::string&, const std::string& name, json value) {
        const auto peer = peers.find(name);
        if (peer != peers.end() && value.is_object())
            value["peerAddress"] = peer->second.first.text();
        return value;
    });
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (const auto& machine : fleet.machines)
        fleet.startNode(*machine);
    upstreams.resize(fleet.machines.size());
    for (size_t i : { size_t { 1 }, size_t { 0 } }) {
        const Machine& machine = *fleet.machines[i];
        upstreams[i] = std::make_unique<Upstream>(fleet.loop,
            Upstream::Options { "i-" + machine.name, service, machine.zone, machine.upstream, machine.upstream, machine.control, true },
            fleet.record);
        fleet.runFor(heartbeatGap);
    }
    const int lastKey = (sampledKeys - 1) * keyStep;
    if (!fleet.runUntil([&] { return upstreams[0]->holds(0) && upstreams[1]->holds(lastKey); }, Milliseconds(20'000)))
        throw CannotRun { "the upstreams get no keys" };
    fleet.runFor(Milliseconds(5'000));

    // Watches for keys that two upstreams hold, and for the requests that they begin on them meanwhile.
    Duration longest { 0 };
    std::map<std::string, int> runsOnShared;
    std::map<int, TimePoint> sharedSince;
    bool isWatching = true;
    asio::steady_timer watch(fleet.loop);
    std::function<void()> look = [&] {
        const TimePoint now = BootClock::now();
        for (int i = 0; i < sampledKeys; ++i) {
            const int key = i * keyStep;
            if (upstreams[0]->holds(key) && upstreams[1]->holds(key)) {
                const bool isNew = sharedSince.emplace(key, now).second;
                if (isNew && sharedSince.size() == 1)
                    fleet.record.add(fmt::format("key {} is held by both upstreams", key));
                longest = std::max(longest, now - sharedSince.at(key));
            } else if (sharedSince.erase(key) > 0 && sharedSince.empty()) {
                fleet.record.add("no key is held by two upstreams any more");
            }
        }
        watch.expires_after(Milliseconds(5));
        watch.async_wait([&](std::error_code error) {
            if (!error && isWatching)
                look();
        });
    };
    look();

    for (const auto& upstream : upstreams) {
        upstream->setRunHandler([&, own = upstream.get()](const HttpRequest& request) {
            const int key = std::atoi(request.header("Persimmonfield-Shard-Key")->c_str());
            if (!upstreams[0]->holds(key) || !upstreams[1]->holds(key))
                return;
            ++runsOnShared[own->id()];
            fleet.record.add(fmt::format("upstream {} runs {} on key {}, which both hold", own->id(), *request.header("Persimmonfield-Request-Id"), key));
        });
    }
    asio::steady_timer traffic(fleet.loop);
    int number = 0;
    std::function<void()> send = [&] {
        for (const auto& machine : fleet.machines) {
            HttpRequest request = fleet.request("GET", "/cards/1");
            request.headers.push_back({ "Persimmonfield-Shard-Key", std::to_string(++number % sampledKeys * keyStep) });
            machine->client->call(std::move(request), Milliseconds(2'500), [](const CallResult&) {});
        }
        traffic.expires_after(Milliseconds(10));
        traffic.async_wait([&](std::error_code error) {
            if (!error && isWatching)
                send();
        });
    };
    send();

    const auto setCut = [&](bool isCut) {
        fleet.record.add(fmt::format("{} is {}", victim.name, isCut ? "cut off" : "in touch again"));
        paths[victim.name]->setCut(isCut);
        for (const auto& [name, peer] : peers)
            peer.second->setBlocked(isCut, isCut);
    };
    bool isTableSent = false;
    bool wasKilled = false;
    int tableWrites = 0;
    const auto tableRule = [&](const HttpRequest& request) -> StorePath::Due {
        const bool isTable = request.method == "PUT" && request.target.find("/keys.") != std::string::npos;
        if (!isTable || !hasTrouble())
            return nullptr;
        const bool isFirst = ++tableWrites == 1;
        const TimePoint sentAt = BootClock::now();
        fleet.record.add(fmt::format("write {} of the key table is sent", tableWrites));
        return [&, isFirst, sentAt, write = tableWrites] {
            const Duration late = BootClock::now() - sentAt;
            const bool isDue = isFirst ? late >= leastLateness && upstreams[1]->holds(lastKey) : late >= writeLateness;
            if (isDue)
                fleet.record.add(fmt::format("the store carries out write {}, {:.3f} s late", write, std::chrono::duration<double>(late).count()));
            return isDue;
        };
    };
    for (const auto& [name, path] : paths)
        path->setRule([&, isPlanner = name == planner.name](const HttpRequest& request) {
            const bool isTable = request.method == "PUT" && request.target.find("/keys.") != std::string::npos;
            isTableSent = isTableSent || (isPlanner && isTable);
            return tableRule(request);
        });
    paths[victim.name]->setObserver([&](const HttpRequest& request, const HttpResponse& response) {
        const bool isRenewal = isTableSent && request.method == "PUT" && response.status == 200
            && request.target.find(leaseKind) != std::string::npos;
        if (!isRenewal || wasKilled)
            return true;
        wasKilled = true;
        fleet.record.add(victim.name + " has its lease again" + (hasTrouble() ? "; it is killed" : ""));
        if (!hasTrouble())
            return true;
        victim.process->kill();
        return false;
    });
    setCut(true);
    const bool wasGivenAway = fleet.runUntil([&] { return isTableSent; }, cutLimit);
    setCut(false);
    if (!wasGivenAway)
        throw CannotRun { "the keys of the node that was cut off were not given away in time" };
    if (!fleet.runUntil([&] { return wasKilled; }, Milliseconds(4'000)))
        throw CannotRun { "the node does not take its lease again" };
    if (hasTrouble()) {
        fleet.runFor(restartDelay);
        fleet.startNode(victim);
    }
    fleet.runFor(Milliseconds(10'000));
    isWatching = false;
    const auto milliseconds = std::chrono::duration_cast<Milliseconds>(longest).count();
    std::string result = fmt::format("the longest time for which two upstreams held a key: {} ms, {} ms allowed; requests begun on such keys:", milliseconds, allowedOverlap.count());
    for (const auto& upstream : upstreams)
        result += fmt::format(" {} at {},", runsOnShared[upstream->id()], upstream->id());
    result.pop_back();
    fleet.record.add(result);
    std::printf("%s\n", result.c_str());
    const bool haveBothBegun = std::all_of(upstreams.begin(), upstreams.end(), [&](const auto& upstream) { return runsOnShared[upstream->id()] > 0; });
    return longest <= allowedOverlap && !haveBothBegun;
}

}

int main(int, char** argv)
{
    return runCase([argv] { return play(argv[1]); });
}
