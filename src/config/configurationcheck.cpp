#include "config/configurationcheck.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr const char* keySegment = "{key}";
    constexpr const char* anyRest = "*";
    // A team whose burst is less than its rate in this time is refused requests that arrive together, though
    // it stays below its rate.
    constexpr Milliseconds minBurstTime { 100 };
    constexpr int64_t millisecondsPerSecond = 1'000;
    // The longest time for which an instance keeps a caller waiting.
    constexpr Milliseconds maxCallerTimeout { 300'000 };

    // Whether each path that the second pattern matches is matched by the first one as well.
    bool coversPaths(const std::vector<std::string>& first, const std::vector<std::string>& second)
    {
        for (size_t i = 0; i < first.size(); ++i) {
            if (first[i] == anyRest)
                return true;
            if (i >= second.size() || second[i] == anyRest)
                return false;
            const bool matchesAnySegment = first[i] == keySegment && !second[i].empty();
            if (!matchesAnySegment && first[i] != second[i])
                return false;
        }
        return first.size() == second.size();
    }

    bool coversMethods(const std::vector<std::string>& first, const std::vector<std::string>& second)
    {
        const auto isInFirst = [&first](const std::string& method) {
            return std::find(first.begin(), first.end(), method) != first.end();
        };
        return first.empty() || (!second.empty() && std::all_of(second.begin(), second.end(), isInFirst));
    }

    bool takesAllRequestsOf(const RouteConfig& first, const RouteConfig& second)
    {
        const bool isByPrefix = !first.pathPrefix.empty();
        if (isByPrefix != !second.pathPrefix.empty())
            return false;
        if (isByPrefix)
            return first.pathPrefix == second.pathPrefix
                && absl::AsciiStrToLower(first.host) == absl::AsciiStrToLower(second.host);
        return coversPaths(first.pathSegments, second.pathSegments)
            && coversMethods(first.methods, second.methods);
    }

    std::set<std::string> servicesOf(const RouteConfig& route)
    {
        std::set<std::string> services;
        if (route.targets.empty())
            services.insert(route.service);
        for (const RouteTarget& target : route.targets)
            services.insert(target.service);
        return services;
    }

    bool servesTeam(const RouteConfig& route, const std::string& team)
    {
        const auto& teams = route.teams;
        return !route.allowsAnonymous
            && (teams.empty() || std::find(teams.begin(), teams.end(), team) != teams.end());
    }

    class Checker {
    public:
        Checker(const ParsedConfiguration& parsed, const std::optional<FleetSummary>& fleet)
            : parsed_(parsed)
            , configuration_(parsed.configuration)
            , fleet_(fleet)
        {
            for (const auto& [name, key] : configuration_.keys)
                teamsWithKeys_.insert(key.team);
        }

        std::vector<FileError> check()
        {
            for (size_t i = 0; i < configuration_.routes.size(); ++i) {
                checkReach(i);
                checkTargets(configuration_.routes[i]);
                checkTimes(configuration_.routes[i]);
            }
            for (const auto& [name, service] : configuration_.services)
                checkService(name);
            for (const auto& [name, team] : configuration_.teams)
                checkTeam(team);
            checkZones();
            return std::move(findings_);
        }

    private:
        void find(const std::string& section, std::string cause)
        {
            const auto location = parsed_.sections.find(section);
            const FileLocation at = location == parsed_.sections.end() ? FileLocation {} : location->second;
            findings_.push_back({ at.file, at.line, std::move(cause) });
        }

        void findInRoute(const RouteConfig& route, const std::string& cause)
        {
            find("route " + route.name, fmt::format("route '{}' {}", route.name, cause));
        }

        int serverCount(const std::string& service) const
        {
            const auto servers = fleet_->servers.find(service);
            return servers == fleet_->servers.end() ? 0 : servers->second;
        }

        // Whether any request can arrive at the route and pass its access rules.
        void checkReach(size_t index)
        {
            const RouteConfig& route = configuration_.routes[index];
            for (size_t i = 0; i < index; ++i) {
                const RouteConfig& earlier = configuration_.routes[i];
                if (!takesAllRequestsOf(earlier, route))
                    continue;
                findInRoute(
                    route, fmt::format("never matches: route '{}' takes all its requests", earlier.name));
                break;
            }
            if (route.allowsAnonymous && !route.teams.empty())
                findInRoute(route, "is open, so that its teams have no effect");
            if (route.allowsAnonymous || configuration_.teams.empty())
                return;
            const bool canBeUsed = std::any_of(teamsWithKeys_.begin(), teamsWithKeys_.end(),
                [&route](const std::string& team) { return servesTeam(route, team); });
            if (!canBeUsed)
                findInRoute(route, "refuses every request: none of its teams has a key");
        }

        void checkTargets(const RouteConfig& route)
        {
            std::set<std::string> seen;
            int64_t sum = 0;
            for (const RouteTarget& target : route.targets) {
                if (!seen.insert(target.service).second)
                    findInRoute(
                        route, fmt::format("names service '{}' twice in its targets", target.service));
                if (target.weight <= 0)
                    findInRoute(route,
                        fmt::format("sends nothing to service '{}': its weight is {}", target.service,
                            target.weight));
                sum += std::max(0, target.weight);
            }
            if (!route.targets.empty() && sum == 0)
                findInRoute(route, "has targets whose weights add up to 0");
            if (!fleet_)
                return;
            for (const std::string& service : servicesOf(route)) {
                const int count = serverCount(service);
                // The default is not the operator's choice.
                const bool isChosen = route.maxAttempts != RouteConfig {}.maxAttempts;
                if (isChosen && count > 0 && route.maxAttempts > count)
                    findInRoute(route,
                        fmt::format("allows {} attempts, but service '{}' has {} servers", route.maxAttempts,
                            service, count));
            }
        }

        void checkTimes(const RouteConfig& route)
        {
            const bool hasTimeout = route.timeout > Milliseconds(0);
            if (hasTimeout && route.objective > route.timeout)
                findInRoute(route,
                    fmt::format("has a latency objective of {} ms above its timeout of {} ms",
                        route.objective.count(), route.timeout.count()));
            if (route.timeout > maxCallerTimeout)
                findInRoute(route,
                    fmt::format("has a timeout of {} ms, but no caller is kept waiting for more than {} ms",
                        route.timeout.count(), maxCallerTimeout.count()));
        }

        void checkService(const std::string& name)
        {
            const auto& routes = configuration_.routes;
            const bool isUsed = std::any_of(routes.begin(), routes.end(),
                [&name](const RouteConfig& route) { return servicesOf(route).count(name) > 0; });
            if (!isUsed)
                find(
                    "service " + name, fmt::format("service '{}' gets no requests: no route names it", name));
            if (isUsed && fleet_ && serverCount(name) == 0)
                find("service " + name, fmt::format("service '{}' has no server that is up", name));
        }

        void checkTeam(const TeamConfig& team)
        {
            const std::string section = "team " + team.name;
            const bool hasKey = teamsWithKeys_.count(team.name) > 0;
            if (!hasKey)
                find(
                    section, fmt::format("team '{}' has no key, so that it cannot send requests", team.name));
            const auto& routes = configuration_.routes;
            const bool isServed = std::any_of(routes.begin(), routes.end(),
                [&team](const RouteConfig& route) { return servesTeam(route, team.name); });
            if (hasKey && !isServed)
                find(
                    section, fmt::format("the keys of team '{}' never match: no route serves it", team.name));
            const int64_t leastBurst = team.ratePerSecond * minBurstTime.count() / millisecondsPerSecond;
            if (team.burst < leastBurst)
                find(section,
                    fmt::format(
                        "team '{}' has a burst of {}, less than its rate of {} a second allows in {} ms",
                        team.name, team.burst, team.ratePerSecond, minBurstTime.count()));
        }

        void checkZones()
        {
            const auto& zones = configuration_.zones;
            const bool areAllOut = !zones.empty()
                && std::all_of(
                    zones.begin(), zones.end(), [](const auto& each) { return each.second.isEvacuated; });
            if (areAllOut)
                find("availability-zone " + zones.begin()->first,
                    "all declared availability zones are out: nothing is served there");
        }

        const ParsedConfiguration& parsed_;
        const Configuration& configuration_;
        const std::optional<FleetSummary>& fleet_;
        std::set<std::string> teamsWithKeys_;
        std::vector<FileError> findings_;
    };

}

std::vector<FileError> checkConfiguration(
    const ParsedConfiguration& parsed, const std::optional<FleetSummary>& fleet)
{
    return Checker(parsed, fleet).check();
}

}
