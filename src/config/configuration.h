#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// The highest key of services partitioned by ranges of numeric keys; the lowest is 0.
inline constexpr int lastKeyNumber = 65'535;

// A service is a set of interchangeable backend servers.
struct ServiceConfig {
    std::string name;
    int partitions = 0; // 0 if the service is not partitioned by key.
    bool isRangeKeyed = false; // Partitioned by ranges of numeric keys, without a fixed partition count.
    double coldRate = 0; // Requests per second that a cold server can handle; 0 for no limit.
    bool learnsConcurrency = false; // The gates find out how many requests each server takes well.
    std::string healthPath {}; // Its answers say how long the server stays cold; empty if there is none.

    bool isKeyed() const { return partitions > 0 || isRangeKeyed; }
};

// A service that receives a share of a route's requests.
struct RouteTarget {
    std::string service;
    int weight = 1; // The share is this weight divided by the sum of all weights.
};

// How often a route's requests may run.
enum class RouteType {
    Once, // At most once for each request of a caller.
    Idempotent, // Again, also on another server, after a lost answer or a failure.
    Download, // Like Idempotent; the answers are large.
};

// Selects the service for matching requests, and the conditions under which they are accepted.
struct RouteConfig {
    std::string name;
    std::string service; // Empty if the requests are distributed over `targets`.
    std::vector<std::string> pathSegments; // "{key}" matches the key, a final "*" any remaining path.
    std::string keyHeader; // Empty if the key is taken from the path.
    std::vector<std::string> methods; // Empty for all methods.
    std::vector<std::string> teams; // Empty for all teams.
    bool allowsAnonymous = false;
    RouteType type = RouteType::Once;
    std::vector<RouteTarget> targets;
    std::string host; // If set, host and pathPrefix select the route instead of pathSegments.
    std::string pathPrefix; // Starts and ends with a slash; the longest matching prefix wins.
    Milliseconds timeout { 0 }; // Maximum time until the caller gets a response; 0 for no limit.
    Milliseconds objective { 0 }; // Time within which a response has its full value; 0 if unknown.
    int priority = 0; // 0 is the most urgent.
    int maxAttempts = 2; // Maximum number of servers to which one request is sent.

    bool isIdempotent() const { return type != RouteType::Once; }
};

struct TeamConfig {
    std::string name;
    int64_t ratePerSecond = 0;
    int64_t burst = 0;
    int priority = -1; // Overrides the route's priority; -1 if the team has none.
};

struct KeyConfig {
    std::string name;
    std::string team;
    std::string sha256; // Lower-case hexadecimal.
};

struct ZoneConfig {
    std::string name;
    bool isEvacuated = false;
};

// A complete and validated configuration.
struct Configuration {
    std::map<std::string, ServiceConfig> services;
    std::vector<RouteConfig> routes; // In the order of their sections in the files.
    std::map<std::string, TeamConfig> teams;
    std::map<std::string, KeyConfig> keys;
    std::map<std::string, ZoneConfig> zones;

    bool isZoneEvacuated(const std::string& zone) const;
    // Whether nothing limits the rates of callers, since there are no teams.
    bool isOpen() const { return teams.empty(); }
};

}
