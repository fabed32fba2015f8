#pragma once

#include "config/configuration.h"
#include "config/inifile.h"

#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// Where a section of the configuration begins.
struct FileLocation {
    std::string file;
    int line = 0;
};

struct ParsedConfiguration {
    Configuration configuration; // Complete only if there are no errors.
    std::vector<FileError> errors;
    std::map<std::string, FileLocation> sections; // By title, such as "route cards".
};

// Parses all files as one configuration and reports every error found, including invalid cross-references.
ParsedConfiguration parseConfiguration(const std::vector<IniText>& files);

}
