#pragma once

#include "config/configuration.h"
#include "messages/reply.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace persimmonfield {

// What a caller sent, as far as routing looks at it.
struct CallerRequest {
    std::string method;
    std::string target; // Path and query, as sent.
    std::vector<peer::HeaderField> headers;

    // The first header of that name, whatever its case; nothing when there is none.
    const std::string* header(const std::string& name) const;
};

// Where an admitted request goes, and for whom.
struct RoutedRequest {
    std::string service;
    std::string routeName;
    std::string key; // Empty when the service is not divided by key.
    int partition = -1;
    std::string team; // Empty on a route that is open to all.
    bool isIdempotent = false;
};

using RoutingResult = std::variant<RoutedRequest, Reply>;

// Matches requests with the routes of one configuration and finds the team of the caller's key. Pure.
class Router {
public:
    explicit Router(std::shared_ptr<const Configuration> configuration);

    // The first route that matches decides; a refusal is always a certain not-run.
    RoutingResult route(const CallerRequest& request) const;

private:
    struct Match {
        const RouteConfig* route = nullptr;
        std::string key;
    };

    std::optional<Match> match(const CallerRequest& request) const;
    std::optional<Reply> authenticate(
        const CallerRequest& request, const RouteConfig& route, std::string& team) const;

    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<std::string, const KeyConfig*> keysByDigest_;
};

// The headers that may reach a backend server: all but those that carry the caller's key.
std::vector<peer::HeaderField> withoutCallerKey(const std::vector<peer::HeaderField>& headers);

}
