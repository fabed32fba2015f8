// A stand-in for a backend server: answers any request after a service time and records each run, so that a
// test can count executions. Simulates on command a cold, draining, overloaded, slow or crashing server.

#include "base/hashing.h"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace {

using nlohmann::json;

constexpr size_t serverThreads = 256;

constexpr const char* usage = R"(A stand-in for a backend server.

Usage:
  standin-server --port=PORT [--slots=N] [--service-ms=N] [--checks-fences] [--echo] [--cold-slots=N]

Options:
  --slots=N        Concurrent requests; more are rejected [default: 10].
  --cold-slots=N   Concurrent requests while cold; 0 for a warm start [default: 0].
  --service-ms=N   Service time of each request [default: 0].
  --checks-fences  Rejects requests whose fence is not the granted one.
  --echo           Answers with the request's body instead of a description of the request.
)";

class Server {
public:
    Server(int slots, int serviceMs, int coldSlots, bool checksFences, bool echoes)
        : slots_(slots)
        , serviceMs_(serviceMs)
        , checksFences_(checksFences)
        , echoes_(echoes)
        , coldSlots_(coldSlots)
    {
    }

    void route(httplib::Server& server)
    {
        server.Post("/persimmonfield/grant",
            [this](const auto& request, auto& response) { grant(request, response); });
        server.Get("/persimmonfield/health", [this](const auto&, auto& response) { health(response); });
        server.Post("/persimmonfield/cancel",
            [this](const auto& request, auto& response) { cancel(request, response); });
        server.Post(
            "/standin/control", [this](const auto& request, auto& response) { control(request, response); });
        server.Get("/standin/runs", [this](const auto&, auto& response) { runs(response); });
        const auto handler = [this](const httplib::Request& request, httplib::Response& response) {
            serve(request, response);
        };
        server.Get(".*", handler);
        server.Post(".*", handler);
        server.Put(".*", handler);
        server.Patch(".*", handler);
        server.Delete(".*", handler);
        server.Options(".*", handler);
    }

private:
    static void refuse(httplib::Response& response, const char* reason)
    {
        response.status = 503;
        response.set_header("Persimmonfield-Not-Started", reason);
    }

    void grant(const httplib::Request& request, httplib::Response& response)
    {
        const json body = json::parse(request.body);
        std::lock_guard lock(mutex_);
        int64_t& fence = fences_[body.at("partition").get<int>()];
        const auto offered = body.at("fence").get<int64_t>();
        if (offered < fence)
            response.status = 409;
        else
            fence = offered;
    }

    void health(httplib::Response& response)
    {
        std::lock_guard lock(mutex_);
        const json value { { "process", process_ }, { "cold", coldSlots_ > 0 },
            { "bears", coldSlots_ > 0 ? coldSlots_ : slots_ }, { "draining", isDraining_ },
            { "load", running_ } };
        response.set_content(value.dump(), "application/json");
    }

    void cancel(const httplib::Request& request, httplib::Response&)
    {
        const json body = json::parse(request.body);
        std::lock_guard lock(mutex_);
        cancelled_.insert(body.at("requestId").get<std::string>());
    }

    void control(const httplib::Request& request, httplib::Response&)
    {
        const json command = json::parse(request.body);
        std::lock_guard lock(mutex_);
        serviceMs_ = command.value("serviceMs", serviceMs_);
        coldSlots_ = command.value("coldSlots", coldSlots_);
        isDraining_ = command.value("draining", isDraining_);
    }

    void runs(httplib::Response& response)
    {
        std::lock_guard lock(mutex_);
        const json value { { "runs", runs_ }, { "mostAtOnce", maxConcurrent_ },
            { "sawCallerKey", sawCallerKey_ }, { "shed", shed_ } };
        response.set_content(value.dump(), "application/json");
    }

    // Returns whether the request may run; if not, fills in the rejection.
    bool admit(const httplib::Request& request, httplib::Response& response)
    {
        std::lock_guard lock(mutex_);
        if (request.has_header("Authorization"))
            sawCallerKey_ = true;
        if (checksFences_ && request.has_header("Persimmonfield-Partition")) {
            const int partition = std::stoi(request.get_header_value("Persimmonfield-Partition"));
            const int64_t fence = std::stoll(request.get_header_value("Persimmonfield-Fence"));
            if (fences_.count(partition) == 0 || fences_[partition] != fence) {
                refuse(response, "fence");
                return false;
            }
        }
        if (running_ >= (coldSlots_ > 0 ? coldSlots_ : slots_)) {
            ++shed_;
            refuse(response, "shed");
            return false;
        }
        ++running_;
        maxConcurrent_ = std::max(maxConcurrent_, running_);
        ++runs_[request.target];
        return true;
    }

    // Returns when the service time has passed, at the deadline, or when the request is cancelled.
    void work(const httplib::Request& request)
    {
        using Clock = std::chrono::steady_clock;
        const std::string id = request.get_header_value("Persimmonfield-Request-Id");
        const std::string given = request.get_header_value("Persimmonfield-Deadline");
        const auto began = Clock::now();
        const auto deadline = began + std::chrono::milliseconds(given.empty() ? 60'000 : std::stoll(given));
        while (Clock::now() < deadline) {
            std::unique_lock lock(mutex_);
            const auto left = began + std::chrono::milliseconds(serviceMs_) - Clock::now();
            if (left.count() <= 0 || cancelled_.count(id) > 0)
                return;
            lock.unlock();
            std::this_thread::sleep_for(std::min<Clock::duration>(left, std::chrono::milliseconds(5)));
        }
    }

    void serve(const httplib::Request& request, httplib::Response& response)
    {
        if (!admit(request, response))
            return;
        if (request.has_header("X-Crash"))
            std::_Exit(1);
        work(request);
        {
            std::lock_guard lock(mutex_);
            --running_;
        }
        if (echoes_) {
            response.set_content(request.body, "application/octet-stream");
            return;
        }
        json headers = json::object();
        for (const auto& [name, value] : request.headers)
            headers[name] = value;
        const json value { { "process", process_ }, { "method", request.method },
            { "target", request.target }, { "headers", headers },
            { "bodySha256", persimmonfield::sha256Hex(request.body) } };
        response.set_content(value.dump(), "application/json");
    }

    const std::string process_ = persimmonfield::randomHex(4);
    int slots_;
    int serviceMs_;
    bool checksFences_;
    bool echoes_;
    int coldSlots_;
    std::mutex mutex_;
    std::map<int, int64_t> fences_;
    std::set<std::string> cancelled_;
    std::map<std::string, int> runs_;
    int running_ = 0;
    int maxConcurrent_ = 0;
    int shed_ = 0;
    bool isDraining_ = false;
    bool sawCallerKey_ = false;
};

}

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    httplib::Server library;
    library.new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
    library.set_tcp_nodelay(true);
    library.set_keep_alive_max_count(1'000'000);
    library.set_keep_alive_timeout(30);
    Server server(std::atoi(arguments["--slots"].asString().c_str()),
        std::atoi(arguments["--service-ms"].asString().c_str()),
        std::atoi(arguments["--cold-slots"].asString().c_str()), arguments["--checks-fences"].asBool(),
        arguments["--echo"].asBool());
    server.route(library);
    return library.listen("127.0.0.1", std::atoi(arguments["--port"].asString().c_str())) ? 0 : 1;
}
