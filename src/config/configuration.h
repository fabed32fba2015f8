#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// A service: a set of backend servers that answer alike.
struct ServiceConfig {
    std::string name;
    int partitions = 0; // 0 for a service that is not divided by key.

    bool isKeyed() const { return partitions > 0; }
};

// Which requests go to which service, and under what conditions.
struct RouteConfig {
    std::string name;
    std::string service;
    std::vector<std::string> pathSegments; // "{key}" takes the key, a last "*" takes any rest.
    std::string keyHeader; // Empty when the key comes from the path.
    std::vector<std::string> methods; // Empty for all methods.
    std::vector<std::string> teams; // Empty for all teams.
    bool isOpen = false;
    bool isIdempotent = false;
};

struct TeamConfig {
    std::string name;
    int64_t ratePerSecond = 0;
    int64_t burst = 0;
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
