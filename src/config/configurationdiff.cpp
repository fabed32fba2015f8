#include "config/configurationcheck.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace persimmonfield {
namespace {

    // A setting's name and its value as text.
    using Setting = std::pair<std::string, std::string>;

    std::string listText(const std::vector<std::string>& items)
    {
        return items.empty() ? "all" : absl::StrJoin(items, ", ");
    }

    std::string typeText(RouteType type)
    {
        switch (type) {
        case RouteType::Once:
            return "once";
        case RouteType::Idempotent:
            return "idempotent";
        case RouteType::Download:
            return "download";
        }
        return "unknown";
    }

    std::string targetText(const RouteConfig& route)
    {
        if (route.targets.empty())
            return route.service;
        return absl::StrJoin(route.targets, ", ", [](std::string* text, const RouteTarget& target) {
            text->append(fmt::format("{} ({})", target.service, target.weight));
        });
    }

    std::vector<Setting> settingsOf(const RouteConfig& route)
    {
        return { { "service", targetText(route) },
            { "path",
                route.pathPrefix.empty() ? "/" + absl::StrJoin(route.pathSegments, "/")
                                         : route.host + route.pathPrefix },
            { "key-header", route.keyHeader }, { "methods", listText(route.methods) },
            { "teams", listText(route.teams) }, { "access", route.allowsAnonymous ? "open" : "team" },
            { "type", typeText(route.type) }, { "timeout", fmt::format("{} ms", route.timeout.count()) },
            { "latency objective", fmt::format("{} ms", route.objective.count()) },
            { "priority", std::to_string(route.priority) },
            { "attempts", std::to_string(route.maxAttempts) } };
    }

    std::vector<Setting> settingsOf(const ServiceConfig& service)
    {
        return { { "partitions", std::to_string(service.partitions) } };
    }

    std::vector<Setting> settingsOf(const TeamConfig& team)
    {
        return { { "rate", std::to_string(team.ratePerSecond) }, { "burst", std::to_string(team.burst) } };
    }

    std::vector<Setting> settingsOf(const KeyConfig& key)
    {
        return { { "team", key.team }, { "sha256", key.sha256 } };
    }

    std::vector<Setting> settingsOf(const ZoneConfig& zone)
    {
        return { { "state", zone.isEvacuated ? "out" : "in" } };
    }

    template <typename Entry>
    void addChanges(const std::string& kind, const std::map<std::string, Entry>& before,
        const std::map<std::string, Entry>& after, std::vector<std::string>& changes)
    {
        for (const auto& [name, entry] : before) {
            if (after.count(name) == 0)
                changes.push_back(fmt::format("{} '{}' is removed", kind, name));
        }
        for (const auto& [name, entry] : after) {
            const auto old = before.find(name);
            if (old == before.end()) {
                changes.push_back(fmt::format("{} '{}' is added", kind, name));
                continue;
            }
            const std::vector<Setting> oldSettings = settingsOf(old->second);
            const std::vector<Setting> newSettings = settingsOf(entry);
            for (size_t i = 0; i < newSettings.size(); ++i) {
                if (oldSettings[i].second != newSettings[i].second)
                    changes.push_back(fmt::format("{} '{}': {} {} -> {}", kind, name, newSettings[i].first,
                        oldSettings[i].second, newSettings[i].second));
            }
        }
    }

    std::map<std::string, RouteConfig> routesByName(const Configuration& configuration)
    {
        std::map<std::string, RouteConfig> routes;
        for (const RouteConfig& route : configuration.routes)
            routes[route.name] = route;
        return routes;
    }

    // The names of the routes that are in both configurations, in the order of the first one.
    std::vector<std::string> commonRouteOrder(const Configuration& ordered, const Configuration& other)
    {
        const auto others = routesByName(other);
        std::vector<std::string> names;
        for (const RouteConfig& route : ordered.routes) {
            if (others.count(route.name) > 0)
                names.push_back(route.name);
        }
        return names;
    }

}

std::vector<std::string> configurationChanges(const Configuration& before, const Configuration& after)
{
    std::vector<std::string> changes;
    addChanges("service", before.services, after.services, changes);
    addChanges("route", routesByName(before), routesByName(after), changes);
    if (commonRouteOrder(before, after) != commonRouteOrder(after, before))
        changes.emplace_back("the order of the routes changes; the first match is taken");
    addChanges("team", before.teams, after.teams, changes);
    addChanges("key", before.keys, after.keys, changes);
    addChanges("availability zone", before.zones, after.zones, changes);
    return changes;
}

}
