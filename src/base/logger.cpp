#include "base/logger.h"

#include "base/time.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace persimmonfield {
namespace {

    // Lines that wait for the writer: a second of a busy instance.
    constexpr size_t mostWaitingLines = 4'096;
    // Lines are gathered for so long, so that the writer wakes up seldom.
    constexpr Milliseconds gatherTime { 100 };

    std::atomic<LogLevel> leastLevel { LogLevel::Info };
    std::mutex writeMutex;

    // The lines on their way to the writer's thread.
    struct Waiting {
        std::condition_variable changed;
        std::vector<std::string> lines;
        int64_t dropped = 0;
        bool hasWriter = false;
        bool isStopping = false;
        std::thread thread;
    };

    Waiting& waiting()
    {
        static Waiting value;
        return value;
    }

    std::string lineOf(LogLevel level, std::string_view event, const nlohmann::json& fields);

    // Call with the mutex held.
    void enqueue(std::string line)
    {
        Waiting& queue = waiting();
        if (queue.lines.size() >= mostWaitingLines) {
            ++queue.dropped;
            return;
        }
        queue.lines.push_back(std::move(line));
        if (queue.lines.size() == 1)
            queue.changed.notify_one();
    }

    void writeAll(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const std::string& line : lines)
            text += line;
        std::fwrite(text.data(), 1, text.size(), stdout);
        std::fflush(stdout);
    }

    void runWriter()
    {
        Waiting& queue = waiting();
        std::unique_lock lock(writeMutex);
        while (true) {
            queue.changed.wait(lock, [&queue] { return queue.isStopping || !queue.lines.empty(); });
            if (!queue.isStopping)
                queue.changed.wait_for(lock, gatherTime, [&queue] { return queue.isStopping; });
            std::vector<std::string> lines = std::exchange(queue.lines, {});
            if (const int64_t dropped = std::exchange(queue.dropped, 0); dropped > 0)
                lines.push_back(lineOf(LogLevel::Warning, "log-lines-dropped", { { "count", dropped } }));
            const bool isLast = queue.isStopping;
            lock.unlock();
            writeAll(lines);
            if (isLast)
                return;
            lock.lock();
        }
    }

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

    // Call with the mutex held.
    std::string lineOf(LogLevel level, std::string_view event, const nlohmann::json& fields)
    {
        nlohmann::json line = fields.is_object() ? fields : nlohmann::json::object();
        line["timeMs"] = wallClockNow().count();
        line["level"] = levelName(level);
        line["event"] = std::string(event);
        if (!instanceName().empty())
            line["instance"] = instanceName();
        return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
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
    std::lock_guard lock(writeMutex);
    std::string line = lineOf(level, event, fields);
    if (waiting().hasWriter)
        enqueue(std::move(line));
    else
        writeAll({ std::move(line) });
}

LogWriter::LogWriter()
{
    std::lock_guard lock(writeMutex);
    waiting().hasWriter = true;
    waiting().isStopping = false;
    waiting().thread = std::thread(runWriter);
}

LogWriter::~LogWriter()
{
    {
        std::lock_guard lock(writeMutex);
        waiting().hasWriter = false;
        waiting().isStopping = true;
    }
    waiting().changed.notify_one();
    waiting().thread.join();
}

}
