#pragma once

#include "config/configuration.h"
#include "messages/reply.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace persimmonfield {

// The parts of a caller's request that routing depends on.
struct CallerRequest {
    std::string method;
    std::string target; // Path and query as received.
    std::vector<peer::HeaderField> headers;

    // Returns the value of the first header with this name, ignoring case, or null if there is none.
    const std::string* header(const std::string& name) const;
};

// The service, partition and team of a request that a route accepts, with the settings of the route.
struct RoutedRequest {
    std::string service;
    std::string routeName;
    std::string key; // Empty if the service is not partitioned by key.
    int partition = -1;
    std::string team; // Empty on a route that needs no caller key.
    bool isIdempotent = false;
    Milliseconds timeout { 0 }; // The route's configured timeout; 0 for none.
    Milliseconds objective { 0 };
    int priority = 0;
    int maxAttempts = 2;
};

using RoutingResult = std::variant<RoutedRequest, Reply>;

// Parses a key of a service that is partitioned into ranges of numbered keys. Returns nullopt if the text is
// not a valid key number.
std::optional<int> parseNumericKey(const std::string& text);

// Matches requests against the routes of a configuration and determines the team from the caller key. Does no
// I/O.
class Router {
public:
    // `credentialScheme` is the scheme expected in the Authorization header, ignoring case. `random` returns
    // uniformly distributed numbers, which distribute a route's requests across its weighted targets.
    explicit Router(std::shared_ptr<const Configuration> configuration,
        std::string credentialScheme = "Bearer", std::function<uint64_t()> random = {});

    // Returns the decision of the matching route: the one with the longest path prefix for the request's
    // host, otherwise the first in configuration order. A refusal always means that the request did not run.
    RoutingResult route(const CallerRequest& request) const;

private:
    struct Match {
        const RouteConfig* route = nullptr;
        std::string key;
    };

    std::optional<Match> match(const CallerRequest& request) const;
    const RouteConfig* matchPrefix(const CallerRequest& request, const std::string& path) const;
    std::string selectService(const RouteConfig& route) const;
    std::optional<std::string> callerKey(const CallerRequest& request) const;
    int priorityOf(const RouteConfig& route, const std::string& team) const;
    std::optional<Reply> resolvePartition(const CallerRequest& request, const RouteConfig& route,
        const ServiceConfig& service, Match match, RoutedRequest& routed) const;
    std::optional<Reply> authenticate(
        const CallerRequest& request, const RouteConfig& route, std::string& team) const;

    std::shared_ptr<const Configuration> configuration_;
    std::string credentialScheme_;
    std::function<uint64_t()> random_;
    std::unordered_map<std::string, const RouteConfig*> routesByPrefix_; // By host and path prefix.
    std::unordered_map<std::string, const KeyConfig*> callerKeysByDigest_;
};

// Returns the headers that may be forwarded to a backend server: all except Authorization, which carries the
// caller key, and the reserved Persimmonfield-* headers.
std::vector<peer::HeaderField> forwardableHeaders(const std::vector<peer::HeaderField>& headers);

}
