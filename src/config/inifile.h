#pragma once

#include <functional>
#include <string>
#include <vector>

namespace persimmonfield {

// A fault in a file of settings or configuration. Line 0 speaks of the file as a whole.
struct FileError {
    std::string file;
    int line = 0;
    std::string cause;

    std::string text() const;
};

// The text of one INI file and the name by which errors call it.
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

// Reads the entries of an INI file with their line numbers. A line that cannot be read and a section without
// entries are errors.
IniContent parseIni(const IniText& file);

}
