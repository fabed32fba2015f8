#pragma once

#include <functional>
#include <string>
#include <vector>

namespace persimmonfield {

// An error in a settings or configuration file. Line 0 stands for the whole file.
struct FileError {
    std::string file;
    int line = 0;
    std::string cause;

    std::string text() const;
};

// The text of one INI file and the file name used in error messages.
struct IniText {
    std::string name;
    std::string text;
};

struct IniEntry {
    std::string section;
    std::string name;
    std::string value;
    int line = 0;
};

struct IniContent {
    std::vector<IniEntry> entries;
    std::vector<FileError> errors;
};

// Parses the entries of an INI file with their line numbers. Malformed lines and empty sections are errors.
IniContent parseIni(const IniText& file);

}
