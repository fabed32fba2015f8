#pragma once

#include "config/configuration.h"
#include "http/httpmessage.h"
#include "messages/reply.h"
#include "ownership/keygranter.h"
#include "rollout/rolloutorder.h"
#include "rollout/rolloutplan.h"
#include "store/storedialect.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace persimmonfield {

// What the headers of a caller's request say about its identity and deadline.
struct CallerInfo {
    std::string requestId;
    // If the request may be a call of a backend server: the id of the request that it works on.
    std::string parentRequestId {};
    std::optional<Milliseconds> timeout; // How long the caller waits; nullopt if the request does not say.
};

// What the status and the headers of a server's response say.
struct ServerResponseInfo {
    bool isNotRun = false; // The server states that it has not executed the request.
    RefusalReason reason = RefusalReason::ServerShedding; // Only meaningful if isNotRun.
    std::optional<peer::ServerLoad> load;
};

// Servers with more slots are not used.
inline constexpr int64_t maxServerSlots = 1'000'000;

// The periodic report of the server next to this instance.
struct ServerReport {
    ServerIncarnation incarnation;
    int64_t sequence = 0; // Increases with each report of the same incarnation.
    std::string service;
    std::string address; // The address that the server listens on.
    std::string zone;
    std::string version; // Of the server's software; empty if it is not told.
    int slots = 1;
    bool isDraining = false;
    Milliseconds coldFor { 0 }; // Remaining time of its warm-up.
    bool hasKeys = false; // Whether it states `holds` and `released`.
    std::vector<KeyGrant> holds;
    std::vector<KeyGrant> released;
};

// The last message of a server that is about to exit.
struct ServerLeave {
    std::string id;
};

using ServerMessage = std::variant<ServerReport, ServerLeave>;

enum class ReportOutcome {
    Acknowledged,
    Refused, // The message is not one of the server next to this instance.
    NotRecorded, // The server's departure could not be recorded in time. It should be announced again.
};

struct ServerReportAnswer {
    ReportOutcome outcome = ReportOutcome::Acknowledged;
    std::string cause; // Why the message is not acknowledged.
    std::optional<KeyAnswer> keys; // nullopt renews no grants.
};

// A configuration with its version number and its limits for callers. Later versions have higher numbers.
struct VersionedConfiguration {
    int64_t version = 0;
    std::shared_ptr<const Configuration> configuration;
    size_t headerBytes = 0; // Maximum size of the headers of a caller's request.
    size_t bodyBytes = 0; // Maximum size of the body of a caller's request.
    Milliseconds headerTimeout { 0 };
    Milliseconds idleTimeout { 0 };
};

// Encodes and decodes the messages that the sidecar exchanges with callers, the server and the store.
// Everything that depends on the protocols of one deployment is implemented behind these functions.
struct ProtocolAdapter {
    std::function<absl::StatusOr<CallerInfo>(const HttpRequest& request)> readCaller;
    std::function<HttpResponse(const Reply& reply, const std::string& requestId)> writeReply;
    std::string credentialScheme = "Bearer";

    // The request to send to the server. `expected` is the server incarnation that must execute it, `left`
    // the time until the deadline.
    std::function<HttpRequest(const peer::ForwardedRequest& request, const Body& body,
        const ServerIncarnation& expected, Milliseconds left)>
        makeServerRequest;
    std::function<ServerResponseInfo(const HttpResponse& response)> readServerResponse;
    std::function<bool(const HttpRequest& request, const HttpResponse& response)> isAnswerTo;

    // The remaining time of the server's warm-up, zero if it is warm, from an answer of its health path;
    // nullopt if the answer does not say so, or is another server's.
    std::function<std::optional<Milliseconds>(
        const HttpResponse& response, const ServerIncarnation& expected)>
        readHealth;
    std::function<absl::StatusOr<ServerMessage>(const HttpRequest& request)> readReport;
    std::function<HttpResponse(const ServerReportAnswer& answer)> writeReportAnswer;

    StoreDialect store;
    std::string configurationKind; // Kind of the object that holds the configuration in force.
    std::string configurationName; // Name of that object.
    std::function<absl::StatusOr<VersionedConfiguration>(const nlohmann::json& value)> readConfiguration;
    std::string evacuatedZonesKind; // Objects of this kind are named after the evacuated availability zones.
    std::string rolloutKind; // Objects of this kind are orders of roll-outs, named after their services.
    std::function<absl::StatusOr<RolloutOrder>(const nlohmann::json& value)> readRolloutOrder;
    // The status of an order, which tells the operator how far the roll-out has got.
    std::function<nlohmann::json(const std::string& targetVersion, RolloutState state)> writeRolloutStatus;
};

}
