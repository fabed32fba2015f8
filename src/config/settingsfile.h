#pragma once

#include "config/inifile.h"
#include "messages/generated/settings.h"

#include <vector>

namespace persimmonfield {

struct ParsedSettings {
    settings::SettingsSchema settings; // Valid only when there are no errors.
    std::vector<FileError> errors;
};

// Reads a daemon's settings, all in one section [persimmonfieldd], and reports every error found.
ParsedSettings parseSettings(const IniText& file);

}
