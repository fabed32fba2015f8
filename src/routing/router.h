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
    Milliseconds timeout { 0 }; // As in the route's configuration.
    Milliseconds objective { 0 };
    int priority = 0;
    int mostAttempts = 2;
};

using RoutingResult = std::variant<RoutedRequest, Reply>;

// The number of a key in a service that is divided into ranges of keys; nothing when the text is none.
std::optional<int> keyNumber(const std::string& text);

// Matches requests with the routes of one configuration and finds the team of the caller's key. Pure.
class Router {
public:
    // `credentialScheme` is the word before the key in the Authorization header, whatever its case; `random`
    // answers evenly spread numbers, which share a route's requests among its targets.
    explicit Router(std::shared_ptr<const Configuration> configuration,
        std::string credentialScheme = "Bearer", std::function<uint64_t()> random = {});

    // The first route that matches decides; a refusal is always a certain not-run.
    RoutingResult route(const CallerRequest& request) const;

private:
    struct Match {
        const RouteConfig* route = nullptr;
        std::string key;
    };

    std::optional<Match> match(const CallerRequest& request) const;
    const RouteConfig* matchPrefix(const CallerRequest& request, const std::string& path) const;
    std::string serviceFor(const RouteConfig& route) const;
    std::optional<std::string> presentedKey(const CallerRequest& request) const;
    int priorityOf(const RouteConfig& route, const std::string& team) const;
    std::optional<Reply> findKey(const CallerRequest& request, const RouteConfig& route,
        const ServiceConfig& service, Match match, RoutedRequest& routed) const;
    std::optional<Reply> authenticate(
        const CallerRequest& request, const RouteConfig& route, std::string& team) const;

    std::shared_ptr<const Configuration> configuration_;
    std::string credentialScheme_;
    std::function<uint64_t()> random_;
    std::unordered_map<std::string, const RouteConfig*> byPrefix_; // By host and path prefix.
    std::unordered_map<std::string, const KeyConfig*> keysByDigest_;
};

// The headers that may reach a backend server: all but those that carry the caller's key.
std::vector<peer::HeaderField> withoutCallerKey(const std::vector<peer::HeaderField>& headers);

}
