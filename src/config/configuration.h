#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// The last key of a service that is divided into ranges of numbered keys; the first is 0.
inline constexpr int lastKeyNumber = 65'535;

// A service: a set of backend servers that answer alike.
struct ServiceConfig {
    std::string name;
    int partitions = 0; // 0 for a service that is not divided by key.
    bool isRangeKeyed = false; // Divided into ranges of numbered keys instead of a fixed count of partitions.
    double coldRate = 0; // Requests a second that a cold server bears; 0 when it bears any number.

    bool isKeyed() const { return partitions > 0 || isRangeKeyed; }
};

// A service that takes a part of a route's requests.
struct RouteTarget {
    std::string service;
    int weight = 1; // Its part is its weight by the sum of all weights.
};

// Which requests go to which service, and under what conditions.
struct RouteConfig {
    std::string name;
    std::string service; // Empty when `targets` share the requests.
    std::vector<std::string> pathSegments; // "{key}" takes the key, a last "*" takes any rest.
    std::string keyHeader; // Empty when the key comes from the path.
    std::vector<std::string> methods; // Empty for all methods.
    std::vector<std::string> teams; // Empty for all teams.
    bool isOpen = false;
    bool isIdempotent = false;
    std::vector<RouteTarget> targets;
    std::string host; // Where set, host and pathPrefix select the route in place of pathSegments.
    std::string pathPrefix; // Begins and ends with a slash; the longest one that matches wins.
    Milliseconds timeout { 0 }; // The longest time that a caller is kept waiting; 0 for no bound.
    Milliseconds objective { 0 }; // The time within which an answer has its full worth; 0 when not known.
    int priority = 0; // 0 is the most urgent.
    int mostAttempts = 2; // Servers to which one request may be sent.
};

struct TeamConfig {
    std::string name;
    int64_t ratePerSecond = 0;
    int64_t burst = 0;
    int priority = -1; // Takes precedence over the route's; -1 when the team has none.
};

struct KeyConfig {
    std::string name;
    std::string team;
    std::string sha256; // Lower-case hexadecimal.
};

struct ZoneConfig {
    std::string name;
    bool isOut = false;
};

// One whole, checked configuration.
struct Configuration {
    std::map<std::string, ServiceConfig> services;
    std::vector<RouteConfig> routes; // In the order of the files.
    std::map<std::string, TeamConfig> teams;
    std::map<std::string, KeyConfig> keys;
    std::map<std::string, ZoneConfig> zones;

    bool isZoneOut(const std::string& zone) const;
};

}
