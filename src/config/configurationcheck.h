#pragma once

#include "config/configparser.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonfield {

// What is known of the fleet that a configuration is meant for.
struct FleetSummary {
    std::map<std::string, int> servers; // Servers that are up, by service.
};

// Returns what a valid configuration probably does not mean: entries that can never have an effect, and
// limits that contradict each other. Each finding names the section that it concerns. Without `fleet`, what
// depends on the servers is not checked.
std::vector<FileError> checkConfiguration(
    const ParsedConfiguration& parsed, const std::optional<FleetSummary>& fleet = std::nullopt);

// Returns what changes from one configuration to another, one sentence for each entry or setting, such as
// "team 'cairnloch': rate 100 -> 50".
std::vector<std::string> configurationChanges(const Configuration& before, const Configuration& after);

}
