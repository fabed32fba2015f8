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

    // Maximum number of queued lines: about one second of log output of a busy instance.
    constexpr size_t maxQueuedLines = 4'096;
    // Lines are collected for this time before they are written, to wake the writer thread less often.
    constexpr Milliseconds batchInterval { 100 };

    std::atomic<LogLevel> minLevel { LogLevel::Info };
    std::mutex writeMutex;

    // Lines queued for the writer thread. Guarded by writeMutex.
    struct WriterQueue {
        std::condition_variable changed;
        std::vector<std::string> lines;
        int64_t dropped = 0;
        bool hasWriter = false;
        bool isStopping = false;
        std::thread thread;
    };

    WriterQueue& writerQueue()
    {
        static WriterQueue value;
        return value;
    }

    std::string formatLine(LogLevel level, std::string_view event, const nlohmann::json& fields);

    // The caller must hold writeMutex.
    void enqueue(std::string line)
    {
        WriterQueue& queue = writerQueue();
        if (queue.lines.size() >= maxQueuedLines) {
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
        WriterQueue& queue = writerQueue();
        std::unique_lock lock(writeMutex);
        while (true) {
            queue.changed.wait(lock, [&queue] { return queue.isStopping || !queue.lines.empty(); });
            if (!queue.isStopping)
                queue.changed.wait_for(lock, batchInterval, [&queue] { return queue.isStopping; });
            std::vector<std::string> lines = std::exchange(queue.lines, {});
            if (const int64_t dropped = std::exchange(queue.dropped, 0); dropped > 0)
                lines.push_back(formatLine(LogLevel::Warning, "log-lines-dropped", { { "count", dropped } }));
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

    // The caller must hold writeMutex.
    std::string formatLine(LogLevel level, std::string_view event, const nlohmann::json& fields)
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
    minLevel = level;
}

void setLogInstance(std::string_view name)
{
    std::lock_guard lock(writeMutex);
    instanceName() = std::string(name);
}

void log(LogLevel level, std::string_view event, const nlohmann::json& fields)
{
    if (level < minLevel.load())
        return;
    std::lock_guard lock(writeMutex);
    std::string line = formatLine(level, event, fields);
    if (writerQueue().hasWriter)
        enqueue(std::move(line));
    else
        writeAll({ std::move(line) });
}

LogWriter::LogWriter()
{
    std::lock_guard lock(writeMutex);
    writerQueue().hasWriter = true;
    writerQueue().isStopping = false;
    writerQueue().thread = std::thread(runWriter);
}

LogWriter::~LogWriter()
{
    flushLog();
}

void flushLog()
{
    {
        std::lock_guard lock(writeMutex);
        writerQueue().hasWriter = false;
        writerQueue().isStopping = true;
    }
    writerQueue().changed.notify_one();
    if (writerQueue().thread.joinable())
        writerQueue().thread.join();
}

}
