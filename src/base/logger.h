#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace persimmonfield {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// Sets the least level that is written, for the whole process.
void setLogLevel(LogLevel level);

// Sets the instance name that each line carries.
void setLogInstance(std::string_view name);

// Writes one JSON line to standard output: time, level, instance, event and the given fields.
void log(LogLevel level, std::string_view event, const nlohmann::json& fields);

// Writes lines from a thread of its own while it exists, so that whoever logs never waits for the output.
// Lines beyond the bound are dropped, and their number is told by the next line that is written.
class LogWriter {
public:
    LogWriter();
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;
};

}
