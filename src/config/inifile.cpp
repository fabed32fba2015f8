#include "config/inifile.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace persimmonfield {
namespace {

    // The parser's line buffer, in bytes, its terminator included.
    constexpr size_t longestLine = 200;

    // Faults reported in one file; a file with more is unlikely to be an INI file at all.
    constexpr int mostFaultyLines = 20;

    struct SectionHeading {
        std::string text;
        int line = 0;
    };

    // Feeds a text to the parser line by line, so that the line of each entry is known.
    struct LineReader {
        const IniText* file = nullptr;
        size_t offset = 0;
        int line = 0;
        std::set<int> skippedLines; // Reported already and passed over.
        std::vector<SectionHeading> emptyHeadings;
        IniContent content;
    };

    // Why a line cannot be given to the parser; empty when it can.
    std::string lineFault(std::string_view line, size_t bufferSize)
    {
        if (line.size() + 2 > std::min(bufferSize, longestLine))
            return fmt::format("the line is longer than {} characters", longestLine - 2);
        if (line.find('\0') != std::string_view::npos)
            return "the line holds a zero byte";
        return {};
    }

    void noteHeading(LineReader& reader, std::string_view line)
    {
        const size_t start = line.find_first_not_of(" \t");
        if (start == std::string_view::npos || line[start] != '[')
            return;
        reader.emptyHeadings.push_back({ std::string(line.substr(start)), reader.line });
    }

    char* readLine(char* buffer, int size, void* stream)
    {
        auto& reader = *static_cast<LineReader*>(stream);
        const std::string_view text = reader.file->text;
        if (reader.offset >= text.size())
            return nullptr;
        const size_t end = text.find('\n', reader.offset);
        const size_t stop = end == std::string_view::npos ? text.size() : end;
        const std::string_view line = text.substr(reader.offset, stop - reader.offset);
        reader.offset = stop + 1;
        ++reader.line;
        const std::string fault = lineFault(line, static_cast<size_t>(size));
        if (!fault.empty())
            reader.content.errors.push_back({ reader.file->name, reader.line, fault });
        if (!fault.empty() || reader.skippedLines.count(reader.line) > 0) {
            buffer[0] = '\n';
            buffer[1] = '\0';
            return buffer;
        }
        noteHeading(reader, line);
        std::copy(line.begin(), line.end(), buffer);
        buffer[line.size()] = '\n';
        buffer[line.size() + 1] = '\0';
        return buffer;
    }

    int takeEntry(void* user, const char* section, const char* name, const char* value)
    {
        auto& reader = *static_cast<LineReader*>(user);
        if (!reader.emptyHeadings.empty())
            reader.emptyHeadings.pop_back();
        for (const SectionHeading& heading : reader.emptyHeadings)
            reader.content.errors.push_back({ reader.file->name, heading.line, "an empty section" });
        reader.emptyHeadings.clear();
        reader.content.entries.push_back({ section, name, value, reader.line });
        return 1;
    }

}

std::string FileError::text() const
{
    return line > 0 ? fmt::format("{}:{}: {}", file, line, cause) : fmt::format("{}: {}", file, cause);
}

IniContent parseIni(const IniText& file)
{
    std::vector<FileError> faults;
    std::set<int> skippedLines;
    while (true) {
        LineReader reader;
        reader.file = &file;
        reader.skippedLines = skippedLines;
        const int faultyLine = ini_parse_stream(readLine, &reader, takeEntry, &reader);
        if (faultyLine > 0 && faults.size() < mostFaultyLines) {
            faults.push_back({ file.name, faultyLine, "neither [section] nor name = value" });
            skippedLines.insert(faultyLine);
            continue;
        }
        for (const SectionHeading& heading : reader.emptyHeadings)
            faults.push_back({ file.name, heading.line, "an empty section" });
        std::vector<FileError>& errors = reader.content.errors;
        errors.insert(errors.begin(), faults.begin(), faults.end());
        return std::move(reader.content);
    }
}

}
