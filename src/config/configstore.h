#pragma once

#include "config/inifile.h"
#include "messages/generated/stored.h"
#include "store/objectclient.h"

#include <functional>
#include <string>
#include <vector>

namespace persimmonfield {

// The name of the object that holds the manifest of the configuration in force.
inline constexpr const char* currentConfigObject = "config/current";

// The name of the object that holds the manifest of a past or current version.
std::string configHistoryObject(int64_t version);

using ObjectReader = std::function<absl::StatusOr<peer::StoredObject>(const std::string& name)>;

// The result of applyConfig().
struct ApplyResult {
    WriteOutcome outcome = WriteOutcome::Refused;
    stored::ConfigManifest manifest; // The applied manifest, or on a conflict the manifest in force.
    std::string detail;
};

// Reads the files of a version through `read`. A missing or corrupt chunk is an error.
absl::StatusOr<std::vector<IniText>> readConfigFiles(
    const stored::ConfigManifest& manifest, const ObjectReader& read);

// Reads the manifest in force; its version is 0 if no configuration was ever applied.
absl::StatusOr<stored::ConfigManifest> readCurrentManifest(const ObjectReader& read);

// Atomically puts the files in force, if the version in force is the expected one.
ApplyResult applyConfig(const ObjectClient& client, const std::vector<IniText>& files,
    int64_t expectedVersion, const std::string& author);

}
