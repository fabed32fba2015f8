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

// The call as the HTTP library takes it.
httplib::Request toLibrary(const HttpCall& call);

// Sends one request on a connection of its own.
HttpAnswer call(int port, const HttpCall& request);

// The key that the sample configurations declare for a team: its name with "-key" behind it.
std::string keyOf(const std::string& team);

// The section that declares that key.
std::string keySection(const std::string& team);

// Real processes on loopback: the platform's stand-in, servers and daemons. Everything ends with the object.
class Fleet {
public:
    // `firstPort` and the ports after it are used; the programs are found in `binaryDirectory`.
    Fleet(std::string binaryDirectory, int firstPort);
    ~Fleet();

    void startPlatform();
    void addInstance(const InstanceSpec& spec);
    void startServer(size_t index, const std::vector<std::string>& moreFlags = {});
    void startDaemon(size_t index);

    // Writes the configuration and applies it; answers persimmonctl's exit code.
    int apply(const std::string& text);

    // Runs persimmonctl with these arguments.
    int control(const std::vector<std::string>& arguments, std::string& output);

    Process& daemon(size_t index) { return *instances_[index].daemon; }
    Process& server(size_t index) { return *instances_[index].server; }
    size_t size() const { return instances_.size(); }
    const InstanceSpec& spec(size_t index) const { return instances_[index].spec; }
    int callerPort(size_t index) const { return instances_[index].firstPort; }
    int serverPort(size_t index) const { return instances_[index].firstPort + 3; }

    // The daemon's /status; null when it does not answer.
    nlohmann::json status(size_t index) const;
    std::string metrics(size_t index) const;

    // What the server recorded of its runs; null when it does not answer.
    nlohmann::json runs(size_t index) const;

    void commandPlatform(const nlohmann::json& command) const;
    void commandServer(size_t index, const nlohmann::json& command) const;
    nlohmann::json platformCounts() const;

    // Waits until the condition holds; false when it did not within a generous bound.
    static bool waitUntil(
        const std::function<bool()>& condition, Milliseconds patience = Milliseconds(60'000));

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
