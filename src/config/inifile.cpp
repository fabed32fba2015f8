#include "config/inifile.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace persimmonfield {
namespace {

    // Size of the parser's line buffer in bytes, including the terminating zero byte.
    constexpr size_t lineBufferBytes = 200;

    // Maximum number of malformed lines to report; a file with more is probably not an INI file.
    constexpr int maxMalformedLines = 20;

    struct SectionHeading {
        std::string text;
        int line = 0;
    };

    // Feeds the text to the parser line by line, so that the line number of each entry is known.
    struct LineReader {
        const IniText* file = nullptr;
        size_t offset = 0;
        int line = 0;
        std::set<int> skippedLines; // Malformed lines, already reported; replaced by empty lines.
        std::vector<SectionHeading> emptyHeadings;
        IniContent content;
    };

    // Returns why the line cannot be passed to the parser, or an empty string if it can.
    std::string lineError(std::string_view line, size_t bufferSize)
    {
        if (line.size() + 2 > std::min(bufferSize, lineBufferBytes))
            return fmt::format("the line is longer than {} characters", lineBufferBytes - 2);
        if (line.find('\0') != std::string_view::npos)
            return "the line contains a zero byte";
        return {};
    }

    void recordHeading(LineReader& reader, std::string_view line)
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
        const std::string cause = lineError(line, static_cast<size_t>(size));
        if (!cause.empty())
            reader.content.errors.push_back({ reader.file->name, reader.line, cause });
        if (!cause.empty() || reader.skippedLines.count(reader.line) > 0) {
            buffer[0] = '\n';
            buffer[1] = '\0';
            return buffer;
        }
        recordHeading(reader, line);
        std::copy(line.begin(), line.end(), buffer);
        buffer[line.size()] = '\n';
        buffer[line.size() + 1] = '\0';
        return buffer;
    }

    int recordEntry(void* user, const char* section, const char* name, const char* value)
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
    std::vector<FileError> fileErrors;
    std::set<int> skippedLines;
    while (true) {
        LineReader reader;
        reader.file = &file;
        reader.skippedLines = skippedLines;
        const int malformedLine = ini_parse_stream(readLine, &reader, recordEntry, &reader);
        if (malformedLine > 0 && fileErrors.size() < maxMalformedLines) {
            fileErrors.push_back({ file.name, malformedLine, "neither [section] nor name = value" });
            skippedLines.insert(malformedLine);
            continue;
        }
        for (const SectionHeading& heading : reader.emptyHeadings)
            fileErrors.push_back({ file.name, heading.line, "an empty section" });
        std::vector<FileError>& errors = reader.content.errors;
        errors.insert(errors.begin(), fileErrors.begin(), fileErrors.end());
        return std::move(reader.content);
    }
}

}
