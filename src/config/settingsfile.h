#pragma once

#include "config/inifile.h"
#include "messages/generated/settings.h"

#include <vector>

namespace persimmonfield {

struct ParsedSettings {
    settings::SettingsSchema settings; // Valid only if there are no errors.
    std::vector<FileError> errors;
};

// Parses a daemon's settings, which are all in the section [persimmonfieldd], and reports every error found.
ParsedSettings parseSettings(const IniText& file);

}
