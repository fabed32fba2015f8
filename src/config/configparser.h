#pragma once

#include "config/configuration.h"
#include "config/inifile.h"

#include <vector>

namespace persimmonfield {

struct ParsedConfiguration {
    Configuration configuration; // Complete only when there are no errors.
    std::vector<FileError> errors;
};

// Reads all files of a configuration as one whole and reports every error found, cross-references included.
ParsedConfiguration parseConfiguration(const std::vector<IniText>& files);

}
