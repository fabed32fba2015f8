// What the scripts of the second review share: stand-ins for the platform's store, for upstreams and for
// clients, a proxy that limits the rate of a link, and the processes of the project's own program.
// Blocking sockets, a thread for each connection.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;

// Seconds since the start of the script, by the steady clock.
double now();
void sleepFor(double seconds);

// Ends the script: kills what it started and exits.
[[noreturn]] void finish(int exitCode);

// record.txt and standard output.
void record(const std::string& line);
void openRecord(const std::string& path);

// `count` consecutive ports of 127.0.0.1 that are free now.
int freePorts(int count);

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
    std::string start; // The first line.
    Headers headers;
    std::string body;

    std::string header(const std::string& name) const; // Empty if there is none.
    bool has(const std::string& name) const;
    int status() const; // Of a response.
    std::string method() const; // Of a request.
    std::string target() const;
};

// A connected socket with buffered reading. Closed at its end.
class Connection {
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool send(const std::string& bytes);
    // Waits until `deadline` at most; nullopt if the connection ended or the time is over.
    std::optional<Message> read(double deadline);
    bool hasEnded() const { return hasEnded_; }
    int socket() const { return socket_; }

private:
    bool fill(double deadline);

    int socket_;
    std::string buffer_;
    bool hasEnded_ = false;
};

std::unique_ptr<Connection> connectTo(int port);
std::string responseText(int status, const Headers& headers, const std::string& body);
std::string requestText(
    const std::string& method, const std::string& target, const Headers& headers, const std::string& body);

// Accepts connections and runs `serve` for each in a thread of its own.
class Listener {
public:
    Listener(int port, std::function<void(Connection&)> serve);
    void stop();

private:
    int socket_;
};

// The platform's store: objects by kind and name, conditional writes, long-polling watches.
class Store {
public:
    explicit Store(int port);

    void put(const std::string& kind, const std::string& name, const json& spec);
    // Links are reached at the address that this maps their own one to.
    void setPeerAddress(const std::string& from, const std::string& to);

private:
    struct Object {
        json spec;
        int64_t revision = 0;
    };

    void serve(Connection& connection);
    std::pair<int, json> handle(const Message& request);
    json objectOf(const std::pair<std::string, std::string>& key) const;
    json eventsAfter(const std::string& kind, int64_t revision) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, Object> objects_;
    std::map<std::string, std::string> peerAddresses_;
    int64_t revision_ = 1;
    std::unique_ptr<Listener> listener_;
};

// A run of a request at an upstream.
struct Run {
    double at = 0;
    std::string requestId;
    std::string method;
    std::string target;
    size_t bodySize = 0;
};

// An upstream of a service that is not divided by key: reports every 870 ms, answers each request with its
// own id and a signature after `workSeconds`.
class Upstream {
public:
    Upstream(std::string id, std::string service, std::string zone, int port, int reportPort,
        double workSeconds, int slots);

    std::vector<Run> runs();

    // Reports no more by itself.
    void stopReports() { isReporting_ = false; }
    // Sends a status report with this sequence number; whether it was acknowledged.
    bool sendReport(int64_t sequence);
    int64_t lastSequence() const { return sequence_; }
    // Sends DELETE; whether it was acknowledged.
    bool leave();
    // Ends: listens no more and cuts all connections.
    void end();

private:
    void serve(Connection& connection);
    void answer(Connection& connection);
    void report();

    std::string id_;
    std::string service_;
    std::string zone_;
    int port_;
    int reportPort_;
    double workSeconds_;
    int slots_;
    int64_t startedMs_;
    std::atomic<int> running_ { 0 };
    std::atomic<bool> isReporting_ { true };
    std::atomic<int64_t> sequence_ { 0 };
    std::atomic<bool> hasEnded_ { false };
    std::mutex mutex_;
    std::set<int> sockets_;
    std::vector<Run> runs_;
    std::unique_ptr<Listener> listener_;
};

// Forwards connections. Each direction carries `bitsPerSecond` over all its connections; 0 is no limit.
class RateProxy {
public:
    RateProxy(int port, int targetPort);
    void setRate(double bitsPerSecond) { bitsPerSecond_ = bitsPerSecond; }

private:
    struct Direction {
        std::mutex mutex;
        double freeAt = 0;
    };
    void pump(int from, int to, Direction& direction);

    std::atomic<double> bitsPerSecond_ { 0 };
    Direction directions_[2];
    std::unique_ptr<Listener> listener_;
};

// Forwards connections and holds the bytes back for a while in both directions, as a link does.
class DelayProxy {
public:
    DelayProxy(int port, int targetPort, double delaySeconds);

    // Drops all connections with the bytes that are under way, as when the machine loses power.
    void cut();

private:
    void pump(int from, int to);

    double delaySeconds_;
    std::atomic<int> cuts_ { 0 };
    std::mutex mutex_;
    std::set<int> sockets_;
    std::unique_ptr<Listener> listener_;
};

// A machine with one process of the project's program, which the deploy file names.
class Machine {
public:
    Machine(std::string name, std::string zone, std::string service, int storePort, int memoryMb);

    void start();
    void kill();
    void terminate(); // SIGTERM.
    bool isRunning() const { return pid_ > 0; }
    // Resident memory in bytes; 0 if the process has ended.
    int64_t memory() const;
    bool isReady() const;

    const std::string& name() const { return name_; }
    const std::string& zone() const { return zone_; }
    const std::string& service() const { return service_; }
    int outboundPort() const { return firstPort_; }
    int reportPort() const { return firstPort_ + 1; }
    int readyPort() const { return firstPort_ + 2; }
    int serverPort() const { return firstPort_ + 3; }
    int peerPort() const { return firstPort_ + 4; }
    int proxyPort() const { return firstPort_ + 6; }

private:
    std::string settings() const;

    std::string name_;
    std::string zone_;
    std::string service_;
    int storePort_;
    int memoryMb_;
    int firstPort_;
    int pid_ = 0;
};

// Whether all machines say that they are ready within this time.
bool waitUntilReady(const std::vector<Machine*>& machines, double seconds);

// A configuration with two routes for each service: /SERVICE/read/ idempotent, /SERVICE/write/ not.
json configuration(const std::vector<std::string>& services, int timeoutMs);

constexpr const char* host = "cards.example";
constexpr const char* callerKey = "6wsjnbanfqasnmgkcuyj";

std::string newRequestId();

// Whether the script runs with its disruption.
bool hasTrouble();

}
