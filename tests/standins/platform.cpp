// An in-memory stand-in for the platform's object API: versioned objects, conditional writes, listing and
// long-polling watches. Injects the platform's failure modes on command: outage, slow responses, lost
// responses.

#include "messages/generated/peer.h"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <httplib.h>

#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace {

using nlohmann::json;
using persimmonfield::peer::StoredObject;

constexpr size_t serverThreads = 256;
constexpr size_t maxValueSize = 1024 * 1024;

constexpr const char* usage = R"(A stand-in for the platform's object API.

Usage:
  standin-platform --port=PORT
)";

class Platform {
public:
    void route(httplib::Server& server)
    {
        server.Get(R"(/objects/(.+))",
            withFaults("read", [this](const auto& request, auto& response) { read(request, response); }));
        server.Put(R"(/objects/(.+))", withFaults("write", [this](const auto& request, auto& response) {
            write(request, response, false);
        }));
        server.Delete(R"(/objects/(.+))", withFaults("write", [this](const auto& request, auto& response) {
            write(request, response, true);
        }));
        server.Get("/list",
            withFaults("read", [this](const auto& request, auto& response) { list(request, response); }));
        server.Get("/watch",
            withFaults("watch", [this](const auto& request, auto& response) { watch(request, response); }));
        server.Post("/control", [this](const auto& request, auto& response) { control(request, response); });
        server.Get("/counts", [this](const auto&, auto& response) { counts(response); });
    }

private:
    httplib::Server::Handler withFaults(const char* kind, httplib::Server::Handler handler)
    {
        return [this, kind, handler = std::move(handler)](
                   const httplib::Request& request, httplib::Response& response) {
            int delayMs = 0;
            {
                std::lock_guard lock(mutex_);
                ++counts_[kind];
                delayMs = delayMs_;
                if (isDown_) {
                    response.status = 503;
                    return;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
            handler(request, response);
        };
    }

    void read(const httplib::Request& request, httplib::Response& response)
    {
        std::lock_guard lock(mutex_);
        const auto found = objects_.find(request.matches[1]);
        if (found == objects_.end() || found->second.deleted) {
            response.status = 404;
            return;
        }
        response.set_content(json(found->second).dump(), "application/json");
    }

    void write(const httplib::Request& request, httplib::Response& response, bool removes)
    {
        const int64_t expected = std::stoll("0" + request.get_param_value("expected"));
        std::lock_guard lock(mutex_);
        const std::string name = request.matches[1];
        const auto found = objects_.find(name);
        const bool exists = found != objects_.end() && !found->second.deleted;
        const int64_t present = exists ? found->second.version : 0;
        if (present != expected) {
            response.status = 409;
            response.set_content(json { { "version", present } }.dump(), "application/json");
            return;
        }
        if (request.body.size() > maxValueSize) {
            response.status = 413;
            return;
        }
        StoredObject object {};
        object.name = name;
        object.value = request.body;
        object.version = ++revision_;
        object.deleted = removes;
        objects_[name] = object;
        changed_.notify_all();
        if (responsesToDrop_ > 0) {
            --responsesToDrop_;
            response.status = 500;
            return;
        }
        response.set_content(json { { "version", object.version } }.dump(), "application/json");
    }

    void list(const httplib::Request& request, httplib::Response& response)
    {
        const std::string prefix = request.get_param_value("prefix");
        std::lock_guard lock(mutex_);
        json all = json::array();
        for (auto entry = objects_.lower_bound(prefix); entry != objects_.end(); ++entry) {
            if (entry->first.compare(0, prefix.size(), prefix) != 0)
                break;
            if (!entry->second.deleted)
                all.push_back(entry->second);
        }
        response.set_content(
            json { { "revision", revision_ }, { "objects", all } }.dump(), "application/json");
    }

    void watch(const httplib::Request& request, httplib::Response& response)
    {
        const int64_t after = std::stoll("0" + request.get_param_value("after"));
        const auto wait = std::chrono::milliseconds(std::stoll("0" + request.get_param_value("waitMs")));
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, wait, [&] { return revision_ > after || isDown_; });
        json changes = json::array();
        for (const auto& [name, object] : objects_) {
            if (object.version > after)
                changes.push_back(object);
        }
        if (isDown_) {
            response.status = 503;
            return;
        }
        response.set_content(
            json { { "revision", revision_ }, { "objects", changes } }.dump(), "application/json");
    }

    void control(const httplib::Request& request, httplib::Response& response)
    {
        const json command = json::parse(request.body, nullptr, false);
        std::lock_guard lock(mutex_);
        isDown_ = command.value("out", isDown_);
        delayMs_ = command.value("delayMs", delayMs_);
        responsesToDrop_ = command.value("lostAnswers", responsesToDrop_);
        changed_.notify_all();
        response.set_content("{}", "application/json");
    }

    void counts(httplib::Response& response)
    {
        std::lock_guard lock(mutex_);
        response.set_content(json(counts_).dump(), "application/json");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, StoredObject> objects_;
    std::map<std::string, int64_t> counts_;
    int64_t revision_ = 0;
    bool isDown_ = false;
    int delayMs_ = 0;
    int responsesToDrop_ = 0;
};

}

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_timeout(1);
    Platform platform;
    platform.route(server);
    return server.listen("127.0.0.1", std::atoi(arguments["--port"].asString().c_str())) ? 0 : 1;
}
