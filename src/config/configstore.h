#pragma once

#include "config/inifile.h"
#include "messages/generated/stored.h"
#include "store/objectclient.h"

#include <functional>
#include <string>
#include <vector>

namespace persimmonfield {

// The name of the object that says which configuration is in force.
inline constexpr const char* currentConfigObject = "config/current";

// The name of the object that keeps the manifest of one earlier or present version.
std::string configHistoryObject(int64_t version);

using ObjectReader = std::function<absl::StatusOr<peer::StoredObject>(const std::string& name)>;

// What `apply` came to.
struct ApplyResult {
    WriteOutcome outcome = WriteOutcome::Refused;
    stored::ConfigManifest manifest; // The accepted one, or on a conflict the one in the way.
    std::string detail;
};

// The files of a version, read through `read`; a missing or damaged piece is an error.
absl::StatusOr<std::vector<IniText>> readConfigFiles(
    const stored::ConfigManifest& manifest, const ObjectReader& read);

// The manifest in force; version 0 when nothing was ever accepted.
absl::StatusOr<stored::ConfigManifest> readCurrentManifest(const ObjectReader& read);

// Puts the files in force as one whole, if the version in force is still the expected one.
ApplyResult applyConfig(const ObjectClient& client, const std::vector<IniText>& files,
    int64_t expectedVersion, const std::string& author);

}
