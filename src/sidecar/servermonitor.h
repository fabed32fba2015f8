#pragma once

#include "http/httpserver.h"
#include "sidecar/departedservers.h"
#include "sidecar/protocoladapter.h"
#include "sidecar/servergate.h"
#include "sidecar/sidecarsettings.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace persimmonfield {

// Receives the keys that the server is to hold; nullopt when the service is not divided by key.
using KeysCallback = std::function<void(std::optional<KeyAnswer> keys)>;

struct ServerMonitorOptions {
    asio::io_context* loop = nullptr;
    const ProtocolAdapter* protocol = nullptr;
    SidecarSettings settings;
    ServerGate* gate = nullptr;
    // Determines the keys that the server is to hold; calls `done` at once or after a short delay.
    std::function<void(const ServerReport& report, const KeysCallback& done)> requestKeys;
    // Whether the server's service is divided by key, as far as it is known. Its reports then state keys.
    std::function<bool()> isKeyed;
    // Whether the store holds the server's departure in this instance's entry.
    std::function<bool(const ServerIncarnation& server)> isDepartureStored;
    // Called when the server has appeared, changed its state or disappeared, or has announced its departure.
    std::function<void()> onChange;
};

// Monitors the server next to this instance by the server's own reports. Reports of an earlier incarnation,
// and older reports of the same incarnation, are ignored. A server's departure is acknowledged once it is
// stored: an instance that loses its memory right after the acknowledgement must know it again when it is
// back.
class ServerMonitor {
public:
    explicit ServerMonitor(ServerMonitorOptions options);

    void handle(const std::shared_ptr<HttpExchange>& exchange);

    // Sets what an earlier run of this instance has recorded of its servers. A report that arrives late must
    // not bring back a server that had left, or an earlier incarnation of it.
    void setEarlierEntry(const stored::InstanceEntry& entry);

    // To be called when the store has acknowledged this instance's entry.
    void onEntryStored();

    // The server's part of this instance's entry in the store; nullopt before the first report.
    std::optional<stored::ServerEntry> entry() const;

    // To be part of this instance's entry in the store.
    const DepartedServers& departedServers() const { return departedServers_; }

    // The incarnation of the server; nullopt before the first report and while the server is silent.
    std::optional<ServerIncarnation> incarnation() const;

    // The version of the server's software; empty if it is not known.
    std::string version() const;

    // Whether there is a server that is neither silent nor draining.
    bool isReady() const { return server_ && !server_->isSilent && !server_->drainingSince; }

private:
    struct Server {
        ServerReport report;
        TimePoint reportedAt;
        TimePoint coldUntil;
        std::optional<TimePoint> drainingSince;
        bool hasLeft = false; // The server has announced its exit.
        bool isSilent = false;
    };

    void respond(const std::shared_ptr<HttpExchange>& exchange, const ServerReportAnswer& answer) const;
    // Applies the report and returns the answer without keys. Sets `needsKeys` to whether they have to be
    // requested.
    ServerReportAnswer applyReport(const ServerReport& report, bool& needsKeys);
    // Returns the incarnation that leaves.
    ServerIncarnation handleLeave(const ServerLeave& leave);
    void recordDeparture(const ServerIncarnation& incarnation, const char* cause);
    ServerIncarnation leavingIncarnation(const std::string& id) const;
    std::string mismatch(const ServerReport& report) const;
    bool isBeforeEarlierEntry(const ServerIncarnation& incarnation) const;
    bool isStale(const ServerReport& report) const;
    void respondWithKeys(const std::shared_ptr<HttpExchange>& exchange, const ServerReport& report);
    void respondOnceStored(const ServerIncarnation& departed, const std::shared_ptr<HttpExchange>& exchange,
        std::function<void()> respond);
    void refuseUnstored();
    void publishState(const char* cause);
    void startSilenceTimer();

    ServerMonitorOptions options_;
    asio::steady_timer silenceTimer_;
    std::optional<Server> server_;
    std::optional<stored::ServerEntry> earlierEntry_;
    DepartedServers departedServers_;
    // A departure that the store does not hold yet, with the message that announced it.
    struct UnstoredDeparture {
        ServerIncarnation server;
        std::shared_ptr<HttpExchange> exchange;
        std::function<void()> respond;
        TimePoint waitsUntil;
    };
    std::vector<UnstoredDeparture> unstoredDepartures_; // By `waitsUntil`.
    asio::steady_timer storedTimer_;
};

}
