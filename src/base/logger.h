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

// Sets the minimum level of lines to write, for the whole process.
void setLogLevel(LogLevel level);

// Sets the instance name to include in each line.
void setLogInstance(std::string_view name);

// Writes one JSON line to standard output with the time, level, instance, event and given fields.
void log(LogLevel level, std::string_view event, const nlohmann::json& fields);

// While an object of this class exists, a background thread writes the log lines, so that callers of log()
// never block on output. If the queue is full, lines are dropped; their number is logged with the next batch.
class LogWriter {
public:
    LogWriter();
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;
};

// Writes all lines that are still queued. For a process that ends without destroying its LogWriter; later
// lines are written at once.
void flushLog();

}
