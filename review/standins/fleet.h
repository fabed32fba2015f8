#pragma once

// Small stand-ins for the platform around `persimmonfield-platform`: the metadata store, an upstream with its
// status reports, clients, and the start and end of the program itself. They speak PROTOCOL.md over loopback.

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using nlohmann::json;

// Lines of what was sent, answered and run, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);
    double seconds() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_;
};

// Returns a port of the loopback address that is free now.
int freePort();

// The platform's metadata store: objects by kind and name, conditional writes, long-polling watches.
class Store {
public:
    Store();
    ~Store();
    int port() const { return port_; }
    void put(const std::string& kind, const std::string& name, const json& spec);
    void remove(const std::string& kind, const std::string& name);

private:
    struct Object {
        json spec;
        int64_t revision = 0;
        bool isDeleted = false;
    };
    using Key = std::pair<std::string, std::string>;

    json objectOf(const Key& key, const Object& object) const;
    void get(const httplib::Request& request, httplib::Response& response);
    void write(const httplib::Request& request, httplib::Response& response, bool creates);

    httplib::Server server_;
    std::thread thread_;
    int port_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Object> objects_;
    int64_t revision_ = 1;
    std::atomic<bool> isStopping_ { false };
};

struct MachineOptions {
    std::string name;
    std::string zone;
    std::string service;
    int storePort = 0;
    Milliseconds heartbeat { 870 };
    std::string directory; // For the settings file and the log.
};

// The ports of one machine and the program that runs on it.
class Machine {
public:
    explicit Machine(MachineOptions options);
    ~Machine();
    void start();
    void signal(int number) const;
    // Ends the process and waits for it.
    void kill();
    // Whether the process has ended by itself; it is reaped then.
    bool hasEnded();
    // Resident memory in MB.
    double residentMb() const;
    bool isReady() const;

    const MachineOptions& options() const { return options_; }
    int callerPort() const { return callerPort_; }
    int controlPort() const { return controlPort_; }
    int serverPort() const { return serverPort_; }
    std::string serverAddress() const { return "127.0.0.1:" + std::to_string(serverPort_); }

private:
    MachineOptions options_;
    int callerPort_, controlPort_, readyPort_, internalPort_, serverPort_;
    pid_t pid_ = 0;
};

// An upstream: reports to the control address of its machine and runs requests.
class Upstream {
public:
    struct Run {
        std::string requestId;
        double at = 0; // Seconds since the start of the record.
        double until = 0; // Its end if nothing breaks it off.
    };

    Upstream(
        Record& record, const Machine& machine, std::string id, int slots, size_t threads = defaultThreads);
    ~Upstream();
    void setWork(Milliseconds work) { work_ = work; }
    // The upstream is cold from now on, for this time; its next report and its health say so.
    void becomeCold(Milliseconds warmup);
    // Leaves without having been draining: deregisters, reports no more and continues to serve. Returns
    // whether that was acknowledged.
    bool leave();
    // Stops the reports and closes the listener.
    void stop();
    std::vector<Run> runs() const;
    const std::string& id() const { return id_; }
    double lastReportAt() const { return lastReportAt_; }

    static constexpr size_t defaultThreads = 100;

private:
    void serve(const httplib::Request& request, httplib::Response& response);
    void reportLoop();
    void report();
    Milliseconds warmupLeft() const;

    Record& record_;
    const Machine& machine_;
    std::string id_;
    int slots_;
    int64_t born_;
    int64_t sequence_ = 0;
    std::atomic<int> running_ { 0 };
    std::atomic<Milliseconds> work_ { Milliseconds(90) };
    std::atomic<double> lastReportAt_ { 0 };
    std::atomic<bool> isStopping_ { false };
    std::atomic<bool> hasLeft_ { false };
    mutable std::mutex mutex_;
    std::mutex reportMutex_; // Held while a report is on its way.
    Clock::time_point coldUntil_;
    std::vector<Run> runs_;
    httplib::Server server_;
    std::thread serverThread_;
    std::thread reportThread_;
};

// A request of a client; every attempt has an id of its own.
struct Answer {
    int status = 0; // 0: the connection ended without an answer.
    std::string id;
    std::string signature;
    bool isCut = false; // The connection ended before the deadline without a whole answer.
};

// One client with one kept connection.
class Client {
public:
    Client(Record& record, const Machine& machine, std::string host, std::string key);
    Answer send(const std::string& method, const std::string& path, Milliseconds deadline,
        const std::string& body = {});

private:
    Record& record_;
    const Machine& machine_;
    std::string host_;
    std::string key_;
    std::unique_ptr<httplib::Client> connection_;
};

std::string newId();

// Waits until the condition holds; false after the limit.
bool waitFor(Milliseconds limit, const std::function<bool()>& condition);

// Whether the environment asks for the disruption (TROUBLE is not 0).
bool hasTrouble();

}
