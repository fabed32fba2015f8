#pragma once

#include "platformprotocol.h"
#include "sidecar/sidecar.h"
#include "standins/loopback.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace persimmonfield::testing {

inline constexpr Milliseconds longTime { 20'000 };
inline constexpr int firstPort = 18'800;
inline constexpr int portsPerInstance = 10;
inline const Address storeAddress { "127.0.0.1", 18'799 };
// Address of a proxy to the store that can be cut off, used by the third instance.
inline const Address proxiedStoreAddress { "127.0.0.1", 18'797 };
// Address of a proxy to the first instance's peer port that can delay its traffic.
inline const Address proxiedPeerAddress { "127.0.0.1", 18'796 };

inline nlohmann::json configuration(int version, bool hasOrders = true)
{
    nlohmann::json rules = nlohmann::json::array();
    const auto addRule
        = [&rules](const char* name, const char* type, const char* prefix, const char* service) {
              rules.push_back({ { "name", name }, { "type", type }, { "targetLatency", "2s" },
                  { "priority", 1 }, { "match", { { "pathPrefix", prefix } } },
                  { "action", { { "service", service }, { "timeout", "4s" }, { "maxAttempts", 2 } } } });
          };
    addRule("cards", "idempotent", "/cards/", "gallery");
    addRule("calls", "idempotent", "/calls/", "orders");
    rules.back()["allowAnonymous"] = true;
    addRule("albums", "non_idempotent", "/albums/", "gallery");
    addRule("lookups", "idempotent", "/lookups/", "orders");
    if (hasOrders)
        addRule("orders", "non_idempotent", "/orders/", "orders");
    return { { "version", "r" + std::to_string(version) },
        { "tenants", { { { "name", "team" }, { "apiKeys", { "key" } }, { "ratePerS", 0 } } } },
        { "listeners", { { { "host", "h" }, { "routingRules", rules } } } },
        { "clusters", { { { "name", "gallery" }, { "sharded", true } }, { { "name", "orders" } } } } };
}

inline SidecarSettings settingsOf(
    int index, const std::string& service, double canaryShare = 0, Milliseconds reportTimeout = longTime)
{
    const int port = firstPort + index * portsPerInstance;
    SidecarSettings settings;
    settings.name = "i" + std::to_string(index);
    settings.zone = "zone-" + std::to_string(index % 2);
    settings.service = service;
    settings.callerAddress = { "127.0.0.1", port };
    settings.reportAddress = { "127.0.0.1", port + 1 };
    settings.readinessAddress = { "127.0.0.1", port + 2 };
    settings.peerAddress = { "127.0.0.1", port + 3 };
    settings.serverAddress = { "127.0.0.1", port + 4 };
    settings.storeAddress = index == 2 ? proxiedStoreAddress : storeAddress;
    settings.reportInterval = Milliseconds(300);
    settings.reportTimeout = reportTimeout;
    settings.stopTime = Milliseconds(4'000);
    settings.canaryShare = canaryShare;
    return settings;
}

// The options of a server next to the instance with these settings.
inline StandInServerOptions serverOptionsOf(const SidecarSettings& settings, const std::string& id,
    int64_t startedMs, const std::string& version = {})
{
    return { id, settings.service, settings.zone, settings.serverAddress, settings.reportAddress, {},
        startedMs, version };
}

// A server and the sidecar next to it. With `hasOwnLoop` the sidecar runs on its own loop, so that a test can
// end its process.
struct Instance {
    // `version` is that of the server.
    Instance(asio::io_context& loop, SidecarSettings instanceSettings, bool hasOwnLoop = false,
        const std::string& version = {})
        : settings(std::move(instanceSettings))
        , process(hasOwnLoop ? std::make_unique<asio::io_context>(1) : nullptr)
        , sidecar(Sidecar::Builder()
                      .setSettings(settings)
                      .setProtocol(platform::platformProtocol())
                      .build(process ? *process : loop))
        , caller(loop, { settings.callerAddress, Milliseconds(1'000), Milliseconds(5'000), false, {} })
    {
        if (!sidecar->start().ok())
            std::abort();
        server = std::make_unique<StandInServer>(
            loop, serverOptions("server-" + settings.name, firstServerStart, version));
    }

    // Closes all sockets of the sidecar, including those with unread data.
    void endProcess()
    {
        sidecar.reset();
        process.reset();
    }

    // Starts the sidecar again after endProcess().
    void startProcess()
    {
        process = std::make_unique<asio::io_context>(1);
        sidecar = Sidecar::Builder()
                      .setSettings(settings)
                      .setProtocol(platform::platformProtocol())
                      .build(*process);
        if (!sidecar->start().ok())
            std::abort();
    }

    // Starts the next incarnation of the server, which must be stopped.
    void restartServer(asio::io_context& loop)
    {
        stoppedServers.push_back(std::move(server));
        const auto incarnation = static_cast<int64_t>(stoppedServers.size());
        server = std::make_unique<StandInServer>(loop,
            serverOptions("server-" + settings.name + "-" + std::to_string(incarnation),
                firstServerStart + incarnation));
    }

    StandInServerOptions serverOptions(
        const std::string& id, int64_t startedMs, const std::string& version = {}) const
    {
        return serverOptionsOf(settings, id, startedMs, version);
    }

    static constexpr int64_t firstServerStart = 17;

    SidecarSettings settings;
    std::unique_ptr<asio::io_context> process;
    bool isFrozen = false; // Does nothing, but its sockets stay open. Only with an own loop.
    std::unique_ptr<Sidecar> sidecar;
    std::unique_ptr<StandInServer> server;
    std::vector<std::unique_ptr<StandInServer>> stoppedServers;
    HttpClient caller;
};

// A fleet of sidecars in this process, against a stand-in store and stand-in servers on loopback. The base of
// the groups of tests that need one.
struct SidecarFleet : public Utest {
    asio::io_context loop { 1 };
    std::unique_ptr<StandInStore> store;
    std::vector<std::unique_ptr<Instance>> instances;
    int64_t requests = 0;
    bool canAllEnd = false; // Whether each instance has its own loop.
    double canaryShare = 0;
    Milliseconds reportTimeout = longTime; // Of the instances' settings.
    std::map<int, Address> storeAddresses; // By index, of the instances that reach the store in another way.
    std::vector<std::string> versions; // Of the servers, by the index of their instances; others have none.

    void setup() override
    {
        store = std::make_unique<StandInStore>(loop, storeAddress);
        store->put("config", "main", configuration(1));
    }

    void startInstances(const std::vector<std::string>& services, bool canFirstEnd = false)
    {
        for (const std::string& service : services) {
            const auto index = static_cast<int>(instances.size());
            const bool canEnd = canAllEnd || (canFirstEnd && index == 0);
            const std::string version = instances.size() < versions.size() ? versions[instances.size()] : "";
            SidecarSettings settings = settingsOf(index, service, canaryShare, reportTimeout);
            if (const auto address = storeAddresses.find(index); address != storeAddresses.end())
                settings.storeAddress = address->second;
            instances.push_back(std::make_unique<Instance>(loop, std::move(settings), canEnd, version));
        }
        CHECK(runUntil([this] { return isServing(); }));
    }

    // Makes the other instances connect to the first one at `address`.
    void reachFirstThrough(const Address& address) const
    {
        store->setView([address](const std::string& kind, const std::string& name, nlohmann::json value) {
            if (kind == fleetKind && name == instanceObjectName("i0"))
                value["peerAddress"] = address.text();
            return value;
        });
    }

    bool isServing() const
    {
        for (const auto& instance : instances) {
            if (store->value(fleetKind, instanceObjectName(instance->settings.name)).is_null())
                return false;
            if (instance->settings.service == "gallery" && instance->server->heldRangeCount() == 0)
                return false;
        }
        return true;
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + longTime;
        while (!condition()) {
            if (BootClock::now() >= end)
                return false;
            bool hasProcesses = false;
            for (const auto& instance : instances) {
                if (!instance->process)
                    continue;
                hasProcesses = true;
                if (instance->isFrozen)
                    continue;
                instance->process->restart();
                instance->process->poll();
            }
            loop.restart();
            loop.run_one_for(Milliseconds(hasProcesses ? 1 : 20));
        }
        return true;
    }

    // Stops the first instance and then ends its process, while callers of the second one send requests at a
    // steady rate. Returns the statuses of their answers.
    std::vector<int> statusesDuringStopOfFirst(Milliseconds firstAfter, Milliseconds interval)
    {
        std::vector<int> statuses;
        size_t sent = 0;
        const TimePoint began = BootClock::now();
        bool isStopped = false;
        instances[0]->sidecar->stop([&isStopped] { isStopped = true; });
        const auto sendDue = [&] {
            for (; BootClock::now() >= began + firstAfter + interval * static_cast<int64_t>(sent); ++sent)
                instances[1]->caller.call(albumRequest(), longTime, [&statuses](const CallResult& result) {
                    statuses.push_back(result.outcome == CallOutcome::Answered ? result.response.status : 0);
                });
        };
        CHECK(runUntil([&] {
            sendDue();
            return isStopped;
        }));
        instances[0]->endProcess();
        CHECK(runUntil([&] { return statuses.size() == sent; }));
        return statuses;
    }

    void runFor(Milliseconds time)
    {
        const TimePoint until = BootClock::now() + time;
        CHECK(runUntil([until] { return BootClock::now() >= until; }));
    }

    HttpRequest cardRequest(int key)
    {
        return { "GET", "/cards/1",
            { { "Host", "h" }, { "Authorization", "Token key" },
                { "Persimmonfield-Request-Id", "r" + std::to_string(++requests) },
                { "Persimmonfield-Deadline-Ms", "4000" },
                { "Persimmonfield-Shard-Key", std::to_string(key) } },
            {} };
    }

    HttpRequest orderRequest()
    {
        HttpRequest request = cardRequest(0);
        request.method = "POST";
        request.target = "/orders/1";
        request.headers.pop_back();
        request.body = "order";
        return request;
    }

    // An idempotent request without a key.
    HttpRequest lookupRequest(const std::string& name)
    {
        HttpRequest request = cardRequest(0);
        request.target = "/lookups/" + name;
        request.headers.pop_back();
        return request;
    }

    // A request for the first key that is not idempotent.
    HttpRequest albumRequest()
    {
        HttpRequest request = cardRequest(0);
        request.method = "POST";
        request.target = "/albums/1";
        return request;
    }

    CallResult call(int index, const HttpRequest& request)
    {
        std::optional<CallResult> result;
        instances[static_cast<size_t>(index)]->caller.call(
            request, longTime, [&result](CallResult ended) { result = std::move(ended); });
        CHECK(runUntil([&result] { return result.has_value(); }));
        return *result;
    }

    int statusOf(int index, const HttpRequest& request)
    {
        const CallResult result = call(index, request);
        return result.outcome == CallOutcome::Answered ? result.response.status : 0;
    }

    StandInServer& serverOf(int index) { return *instances[static_cast<size_t>(index)]->server; }

    size_t runsOfAll() const
    {
        size_t sum = 0;
        for (const auto& instance : instances)
            sum += instance->server->runs().size();
        return sum;
    }
};

}
