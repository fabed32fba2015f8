#include "routing/router.h"

#include "base/hashing.h"
#include "ownership/fleetview.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr const char* authorizationHeader = "Authorization";
    constexpr const char* keySegment = "{key}";

    bool equalsIgnoringCase(const std::string& left, const std::string& right)
    {
        return absl::EqualsIgnoreCase(left, right);
    }

    std::optional<std::string> matchPath(
        const std::vector<std::string>& pattern, const std::vector<std::string>& path)
    {
        std::string key;
        for (size_t i = 0; i < pattern.size(); ++i) {
            if (pattern[i] == "*")
                return key;
            if (i >= path.size())
                return std::nullopt;
            if (pattern[i] == keySegment && !path[i].empty())
                key = path[i];
            else if (pattern[i] != path[i])
                return std::nullopt;
        }
        return pattern.size() == path.size() ? std::optional(key) : std::nullopt;
    }

    std::string prefixMapKey(std::string_view host, std::string_view prefix)
    {
        return absl::StrCat(absl::AsciiStrToLower(absl::string_view(host.data(), host.size())),
            absl::string_view(prefix.data(), prefix.size()));
    }

}

std::optional<int> parseNumericKey(const std::string& text)
{
    int number = 0;
    if (!absl::SimpleAtoi(text, &number) || number < 0 || number > lastKeyNumber)
        return std::nullopt;
    return number;
}

// Returns the caller key of the request, or nullopt if the Authorization header is missing or has another
// scheme.
std::optional<std::string> Router::callerKey(const CallerRequest& request) const
{
    const std::string* value = request.header(authorizationHeader);
    if (!value || value->size() <= credentialScheme_.size() + 1)
        return std::nullopt;
    const bool hasScheme = equalsIgnoringCase(value->substr(0, credentialScheme_.size()), credentialScheme_)
        && (*value)[credentialScheme_.size()] == ' ';
    return hasScheme ? std::optional(value->substr(credentialScheme_.size() + 1)) : std::nullopt;
}

const std::string* CallerRequest::header(const std::string& name) const
{
    for (const peer::HeaderField& field : headers) {
        if (equalsIgnoringCase(field.name, name))
            return &field.value;
    }
    return nullptr;
}

Router::Router(std::shared_ptr<const Configuration> configuration, std::string credentialScheme,
    std::function<uint64_t()> random)
    : configuration_(std::move(configuration))
    , credentialScheme_(std::move(credentialScheme))
    , random_(std::move(random))
{
    for (const RouteConfig& route : configuration_->routes) {
        if (!route.pathPrefix.empty())
            routesByPrefix_.emplace(prefixMapKey(route.host, route.pathPrefix), &route);
    }
    for (const auto& [name, key] : configuration_->keys)
        callerKeysByDigest_[key.sha256] = &key;
}

RoutingResult Router::route(const CallerRequest& request) const
{
    const auto matched = match(request);
    if (!matched)
        return notRun(RefusalReason::NoRoute, "no route matches the request");
    const RouteConfig& route = *matched->route;
    RoutedRequest routed;
    if (auto refusal = authenticate(request, route, routed.team))
        return *std::move(refusal);
    routed.service = selectService(route);
    const auto service = configuration_->services.find(routed.service);
    if (service == configuration_->services.end())
        return notRun(RefusalReason::NoRoute, "the route's service is not declared");
    routed.routeName = route.name;
    routed.isIdempotent = route.isIdempotent();
    routed.timeout = route.timeout;
    routed.objective = route.objective;
    routed.priority = priorityOf(route, routed.team);
    routed.maxAttempts = route.maxAttempts;
    if (!service->second.isKeyed())
        return routed;
    if (auto refusal = resolvePartition(request, route, service->second, *matched, routed))
        return *std::move(refusal);
    return routed;
}

std::optional<Reply> Router::resolvePartition(const CallerRequest& request, const RouteConfig& route,
    const ServiceConfig& service, Match match, RoutedRequest& routed) const
{
    routed.key = std::move(match.key);
    if (!route.keyHeader.empty()) {
        const std::string* value = request.header(route.keyHeader);
        routed.key = value ? *value : std::string();
    }
    if (routed.key.empty())
        return notRun(RefusalReason::BadRequest,
            fmt::format("the request lacks the key that route '{}' needs", route.name));
    if (!service.isRangeKeyed) {
        routed.partition = FleetView::partitionOf(routed.key, service.partitions);
        return std::nullopt;
    }
    const auto number = parseNumericKey(routed.key);
    if (!number)
        return notRun(
            RefusalReason::BadRequest, fmt::format("the key must be a number from 0 to {}", lastKeyNumber));
    routed.partition = *number;
    return std::nullopt;
}

// Selects the service for a request. A route with targets distributes its requests in proportion to their
// weights.
std::string Router::selectService(const RouteConfig& route) const
{
    if (route.targets.empty())
        return route.service;
    uint64_t sum = 0;
    for (const RouteTarget& target : route.targets)
        sum += static_cast<uint64_t>(target.weight);
    uint64_t remaining = sum > 0 && random_ ? random_() % sum : 0;
    for (const RouteTarget& target : route.targets) {
        if (remaining < static_cast<uint64_t>(target.weight))
            return target.service;
        remaining -= static_cast<uint64_t>(target.weight);
    }
    return route.targets.front().service;
}

int Router::priorityOf(const RouteConfig& route, const std::string& team) const
{
    const auto found = configuration_->teams.find(team);
    const bool hasTeamPriority = found != configuration_->teams.end() && found->second.priority >= 0;
    return hasTeamPriority ? found->second.priority : route.priority;
}

// Returns the route for the request's host whose prefix is the longest match for the path, or null.
const RouteConfig* Router::matchPrefix(const CallerRequest& request, const std::string& path) const
{
    if (routesByPrefix_.empty())
        return nullptr;
    const std::string* header = request.header("Host");
    const std::string host = header ? header->substr(0, header->find(':')) : std::string();
    for (size_t end = path.rfind('/'); end != std::string::npos; end = path.rfind('/', end - 1)) {
        const auto found
            = routesByPrefix_.find(prefixMapKey(host, std::string_view(path).substr(0, end + 1)));
        if (found != routesByPrefix_.end())
            return found->second;
        if (end == 0)
            break;
    }
    return nullptr;
}

std::optional<Router::Match> Router::match(const CallerRequest& request) const
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path.empty() || path.front() != '/')
        return std::nullopt;
    if (const RouteConfig* route = matchPrefix(request, path))
        return Match { route, {} };
    const std::vector<std::string> segments = absl::StrSplit(path.substr(1), '/');
    for (const RouteConfig& route : configuration_->routes) {
        if (!route.pathPrefix.empty())
            continue;
        const auto& methods = route.methods;
        const bool allowsMethod
            = methods.empty() || std::find(methods.begin(), methods.end(), request.method) != methods.end();
        if (!allowsMethod)
            continue;
        if (auto key = matchPath(route.pathSegments, segments))
            return Match { &route, *std::move(key) };
    }
    return std::nullopt;
}

std::optional<Reply> Router::authenticate(
    const CallerRequest& request, const RouteConfig& route, std::string& team) const
{
    if (route.allowsAnonymous)
        return std::nullopt;
    const auto key = callerKey(request);
    if (!key)
        return notRun(RefusalReason::NoKey, "the request carries no caller key");
    const std::string digest = sha256Hex(*key);
    const auto found = callerKeysByDigest_.find(digest);
    if (found == callerKeysByDigest_.end() || !equalsInConstantTime(found->second->sha256, digest))
        return notRun(RefusalReason::UnknownKey, "the caller key is not known or was withdrawn");
    team = found->second->team;
    const auto& allowed = route.teams;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), team) == allowed.end())
        return notRun(RefusalReason::TeamNotAllowed, "the route does not serve this team");
    return std::nullopt;
}

std::vector<peer::HeaderField> forwardableHeaders(const std::vector<peer::HeaderField>& headers)
{
    std::vector<peer::HeaderField> kept;
    for (const peer::HeaderField& field : headers) {
        const bool isReserved = absl::StartsWithIgnoreCase(field.name, "Persimmonfield-");
        if (!isReserved && !equalsIgnoringCase(field.name, authorizationHeader))
            kept.push_back(field);
    }
    return kept;
}

}
