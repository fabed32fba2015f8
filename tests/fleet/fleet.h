#pragma once

#include "base/time.h"
#include "fleet/process.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace httplib {
struct Request;
}

namespace persimmonfield::testing {

// One instance of a fleet under test: a stand-in server and the daemon beside it.
struct InstanceSpec {
    std::string name;
    std::string zone;
    std::string service;
    std::vector<std::string> serverFlags;
    bool checksFences = false;
    int slots = 10;
    int callerConnections = 64;
};

struct HttpAnswer {
    int status = 0; // 0 when no answer came.
    std::multimap<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;
};

struct HttpCall {
    std::string method = "GET";
    std::string target;
    std::multimap<std::string, std::string> headers;
    std::string body;
};

// Converts the call to a request of the HTTP library.
httplib::Request toHttplibRequest(const HttpCall& call);

// Sends one request on a separate connection.
HttpAnswer call(int port, const HttpCall& request);

// The caller key that the sample configurations declare for a team: the team's name followed by "-key".
std::string keyOf(const std::string& team);

// The configuration section that declares the team's caller key.
std::string keySection(const std::string& team);

// A fleet of real processes on loopback: the stand-ins for the platform and the servers, and the daemons. The
// destructor kills all of them.
class Fleet {
public:
    // Uses the ports from `firstPort` on and the programs in `binaryDirectory`.
    Fleet(std::string binaryDirectory, int firstPort);
    ~Fleet();

    void startPlatform();
    void addInstance(const InstanceSpec& spec);
    void startServer(size_t index, const std::vector<std::string>& moreFlags = {});
    void startDaemon(size_t index);

    // Writes the configuration and applies it; returns persimmonctl's exit code.
    int apply(const std::string& text);

    // Runs persimmonctl with these arguments and returns its exit code.
    int runPersimmonctl(const std::vector<std::string>& arguments, std::string& output);

    Process& daemon(size_t index) { return *instances_[index].daemon; }
    Process& server(size_t index) { return *instances_[index].server; }
    size_t size() const { return instances_.size(); }
    const InstanceSpec& spec(size_t index) const { return instances_[index].spec; }
    int callerPort(size_t index) const { return instances_[index].firstPort; }
    int serverPort(size_t index) const { return instances_[index].firstPort + 3; }

    // The daemon's /status; null when it does not answer.
    nlohmann::json status(size_t index) const;
    std::string metrics(size_t index) const;

    // The runs that the server recorded; null when it does not answer.
    nlohmann::json runs(size_t index) const;

    void commandPlatform(const nlohmann::json& command) const;
    void commandServer(size_t index, const nlohmann::json& command) const;
    nlohmann::json platformCounts() const;

    // Waits until the condition holds; returns false if it does not within the timeout.
    static bool waitUntil(
        const std::function<bool()>& condition, Milliseconds timeout = Milliseconds(60'000));

    // Waits until every partition of the service has an owner that holds its grant.
    bool waitUntilOwned(const std::string& service, int partitions);

    const std::string& directory() const { return directory_; }
    std::string platformUrl() const;

private:
    struct Member {
        InstanceSpec spec;
        int firstPort = 0;
        std::unique_ptr<Process> server;
        std::unique_ptr<Process> daemon;
    };

    std::string settingsOf(const Member& member) const;

    std::string binaryDirectory_;
    std::string directory_;
    int platformPort_;
    int nextPort_;
    std::unique_ptr<Process> platform_;
    std::vector<Member> instances_;
};

}
