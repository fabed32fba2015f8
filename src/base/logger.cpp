#include "base/logger.h"

#include "base/time.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>
#include <mutex>
#include <string>

namespace persimmonfield {
namespace {

    std::atomic<LogLevel> leastLevel { LogLevel::Info };
    std::mutex writeMutex;

    std::string& instanceName()
    {
        static std::string name;
        return name;
    }

    const char* levelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "error";
    }

}

void setLogLevel(LogLevel level)
{
    leastLevel = level;
}

void setLogInstance(std::string_view name)
{
    std::lock_guard lock(writeMutex);
    instanceName() = std::string(name);
}

void log(LogLevel level, std::string_view event, const nlohmann::json& fields)
{
    if (level < leastLevel.load())
        return;
    nlohmann::json line = fields.is_object() ? fields : nlohmann::json::object();
    line["timeMs"] = wallClockNow().count();
    line["level"] = levelName(level);
    line["event"] = std::string(event);
    std::lock_guard lock(writeMutex);
    if (!instanceName().empty())
        line["instance"] = instanceName();
    const auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    fmt::print(stderr, "{}\n", text);
}

}
