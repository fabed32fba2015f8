#include "routing/router.h"

#include "base/hashing.h"
#include "ownership/fleetview.h"

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr const char* authorizationHeader = "Authorization";
    constexpr std::string_view bearer = "bearer ";
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

    // The key that the caller presented; nothing when the header is missing or of another scheme.
    std::optional<std::string> presentedKey(const CallerRequest& request)
    {
        const std::string* value = request.header(authorizationHeader);
        if (!value || value->size() <= bearer.size())
            return std::nullopt;
        if (!equalsIgnoringCase(value->substr(0, bearer.size()), std::string(bearer)))
            return std::nullopt;
        return value->substr(bearer.size());
    }

}

const std::string* CallerRequest::header(const std::string& name) const
{
    for (const peer::HeaderField& field : headers) {
        if (equalsIgnoringCase(field.name, name))
            return &field.value;
    }
    return nullptr;
}

Router::Router(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration))
{
    for (const auto& [name, key] : configuration_->keys)
        keysByDigest_[key.sha256] = &key;
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
    const auto service = configuration_->services.find(route.service);
    if (service == configuration_->services.end())
        return notRun(RefusalReason::NoRoute, "the route's service is not declared");
    routed.service = route.service;
    routed.routeName = route.name;
    routed.isIdempotent = route.isIdempotent;
    if (!service->second.isKeyed())
        return routed;
    routed.key = matched->key;
    if (!route.keyHeader.empty()) {
        const std::string* value = request.header(route.keyHeader);
        routed.key = value ? *value : std::string();
    }
    if (routed.key.empty())
        return notRun(RefusalReason::BadRequest,
            fmt::format("the request lacks the key that route '{}' needs", route.name));
    routed.partition = FleetView::partitionOf(routed.key, service->second.partitions);
    return routed;
}

std::optional<Router::Match> Router::match(const CallerRequest& request) const
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path.empty() || path.front() != '/')
        return std::nullopt;
    const std::vector<std::string> segments = absl::StrSplit(path.substr(1), '/');
    for (const RouteConfig& route : configuration_->routes) {
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
    if (route.isOpen)
        return std::nullopt;
    const auto key = presentedKey(request);
    if (!key)
        return notRun(RefusalReason::NoKey, "the request carries no caller key");
    const std::string digest = sha256Hex(*key);
    const auto found = keysByDigest_.find(digest);
    if (found == keysByDigest_.end() || !equalsInConstantTime(found->second->sha256, digest))
        return notRun(RefusalReason::UnknownKey, "the caller key is not known or was withdrawn");
    team = found->second->team;
    const auto& allowed = route.teams;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), team) == allowed.end())
        return notRun(RefusalReason::TeamNotAllowed, "the route does not serve this team");
    return std::nullopt;
}

std::vector<peer::HeaderField> withoutCallerKey(const std::vector<peer::HeaderField>& headers)
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
