#include "persimmonctl/fleetcommands.h"

#include "base/hashing.h"
#include "messages/generated/stored.h"
#include "store/objectclient.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <sstream>
#include <thread>
#include <tuple>
#include <vector>

namespace persimmonfield {
namespace {

    using nlohmann::json;

    constexpr Milliseconds callTimeout { 2'000 };
    constexpr Milliseconds pollInterval { 200 };
    constexpr size_t keyBytes = 32;

    absl::StatusOr<std::vector<stored::NodeEntry>> listInstances(const std::string& platformUrl)
    {
        const auto listing = ObjectClient(platformUrl, callTimeout).list("nodes/");
        if (!listing.ok())
            return listing.status();
        std::vector<stored::NodeEntry> entries;
        for (const peer::StoredObject& object : listing->objects) {
            const json value = json::parse(object.value, nullptr, false);
            try {
                entries.push_back(value.get<stored::NodeEntry>());
            } catch (const std::exception& error) {
                fmt::print(stderr, "persimmonctl: {}: {}\n", object.name, error.what());
            }
        }
        return entries;
    }

    std::string httpGet(const stored::NodeEntry& entry, const char* path)
    {
        httplib::Client client("http://" + entry.operatorAddress);
        client.set_connection_timeout(callTimeout);
        client.set_read_timeout(callTimeout);
        const auto result = client.Get(path);
        return result && result->status == 200 ? result->body : std::string();
    }

    ExitCode printStoreError(const absl::Status& status)
    {
        fmt::print(stderr, "persimmonctl: the platform's store: {}\n", std::string(status.message()));
        return ExitCode::StoreError;
    }

    void printInstance(const stored::NodeEntry& entry, const json& status)
    {
        const bool hasStatus = status.is_object();
        fmt::print("{:16} {:10} {:14} {:8} {:7} {:7} {:>7} {:>7}\n", entry.name, entry.zone, entry.service,
            entry.state == stored::State::Joined ? "joined" : "claimed", entry.serverUp ? "up" : "down",
            !hasStatus                              ? "silent"
                : status.value("holdsLease", false) ? "lease"
                                                    : "no",
            hasStatus ? status.value("grants", 0) : 0, hasStatus ? status.value("configVersion", 0) : 0);
    }

    bool isBefore(const json& left, const json& right)
    {
        const auto key = [](const json& event) {
            return std::make_tuple(event.value("wallMs", int64_t { 0 }),
                event.value("logical", int64_t { 0 }), event.value("instance", ""));
        };
        return key(left) < key(right);
    }

}

absl::StatusOr<FleetSummary> summarizeFleet(const std::string& platformUrl)
{
    const auto entries = listInstances(platformUrl);
    if (!entries.ok())
        return entries.status();
    FleetSummary fleet;
    for (const stored::NodeEntry& entry : *entries) {
        if (entry.state == stored::State::Joined && entry.serverUp)
            ++fleet.servers[entry.service];
    }
    return fleet;
}

ExitCode statusCommand(const FleetCommandOptions& options)
{
    const auto entries = listInstances(options.platformUrl);
    if (!entries.ok())
        return printStoreError(entries.status());
    json all = json::array();
    if (!options.asJson)
        fmt::print("{:16} {:10} {:14} {:8} {:7} {:7} {:>7} {:>7}\n", "INSTANCE", "ZONE", "SERVICE", "STATE",
            "SERVER", "LEASE", "GRANTS", "CONFIG");
    for (const stored::NodeEntry& entry : *entries) {
        if (entry.state == stored::State::Lapsed)
            continue;
        const json status = json::parse(httpGet(entry, "/status"), nullptr, false);
        if (options.asJson)
            all.push_back({ { "entry", entry }, { "status", status.is_discarded() ? json() : status } });
        else
            printInstance(entry, status);
    }
    if (options.asJson)
        fmt::print("{}\n", all.dump());
    return ExitCode::Ok;
}

absl::StatusOr<std::vector<std::string>> waitUntilInForce(
    const std::string& platformUrl, int64_t version, Milliseconds timeout)
{
    const TimePoint end = BootClock::now() + timeout;
    while (true) {
        const auto entries = listInstances(platformUrl);
        if (!entries.ok())
            return entries.status();
        std::vector<std::string> lagging;
        for (const stored::NodeEntry& entry : *entries) {
            if (entry.state != stored::State::Joined)
                continue;
            const json status = json::parse(httpGet(entry, "/status"), nullptr, false);
            if (!status.is_object() || status.value("configVersion", int64_t { 0 }) < version)
                lagging.push_back(entry.name);
        }
        if (lagging.empty() || BootClock::now() >= end)
            return lagging;
        std::this_thread::sleep_for(pollInterval);
    }
}

ExitCode timelineCommand(const FleetCommandOptions& options)
{
    const auto entries = listInstances(options.platformUrl);
    if (!entries.ok())
        return printStoreError(entries.status());
    std::vector<json> events;
    for (const stored::NodeEntry& entry : *entries) {
        if (entry.state == stored::State::Lapsed)
            continue;
        std::istringstream lines(httpGet(entry, "/timeline"));
        for (std::string line; std::getline(lines, line);) {
            json event = json::parse(line, nullptr, false);
            const bool isWanted = event.is_object()
                && (options.instanceFilter.empty() || event.value("instance", "") == options.instanceFilter)
                && (options.kindFilter.empty() || event.value("kind", "") == options.kindFilter);
            if (isWanted)
                events.push_back(std::move(event));
        }
    }
    std::sort(events.begin(), events.end(), isBefore);
    for (const json& event : events) {
        if (options.asJson)
            fmt::print("{}\n", event.dump());
        else
            fmt::print("{} {:4} {:16} {:24} {}\n", event.value("wallMs", int64_t { 0 }),
                event.value("logical", int64_t { 0 }), event.value("instance", ""), event.value("kind", ""),
                event.value("fields", json::object()).dump());
    }
    return ExitCode::Ok;
}

ExitCode keyCommand(const std::string& name, const std::string& team, bool asJson)
{
    const std::string key = randomHex(keyBytes);
    const std::string digest = sha256Hex(key);
    if (asJson)
        fmt::print(
            "{}\n", json { { "key", key }, { "sha256", digest }, { "name", name }, { "team", team } }.dump());
    else
        fmt::print("; give this to the caller, it is kept nowhere: {}\n[key {}]\nteam = {}\nsha256 = {}\n",
            key, name, team, digest);
    return ExitCode::Ok;
}

}
