#pragma once

#include "config/configuration.h"
#include "config/inifile.h"

#include <vector>

namespace persimmonfield {

struct ParsedConfiguration {
    Configuration configuration; // Complete only if there are no errors.
    std::vector<FileError> errors;
};

// Parses all files as one configuration and reports every error found, including invalid cross-references.
ParsedConfiguration parseConfiguration(const std::vector<IniText>& files);

}
