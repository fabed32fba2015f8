#pragma once

#include "config/configuration.h"
#include "http/httpmessage.h"
#include "messages/reply.h"
#include "ownership/keygranter.h"
#include "store/storedialect.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace persimmonfield {

// What a caller says of a request itself, apart from where it goes.
struct CallerHead {
    std::string requestId;
    std::optional<Milliseconds> patience; // How long the caller waits; nothing when it does not say.
};

// What the head of a server's answer says.
struct ServerAnswerHead {
    bool isNotRun = false; // The server states that it did not run the request.
    RefusalReason reason = RefusalReason::ServerShedding; // When it did not.
    std::optional<peer::ServerLoad> load;
};

// What the server beside this instance says of itself from time to time.
struct ServerReport {
    ServerIncarnation life;
    int64_t sequence = 0; // Rises with each report of one life.
    std::string service;
    std::string address; // Where it listens.
    int slots = 1;
    bool isDraining = false;
    Milliseconds coldFor { 0 }; // How much longer it stays cold.
    std::vector<KeyGrant> holds;
    std::vector<KeyGrant> released;
};

// The server is about to end and says nothing more.
struct ServerLeave {
    std::string id;
};

using ServerMessage = std::variant<ServerReport, ServerLeave>;

struct ServerReportAnswer {
    bool isAccepted = true;
    std::string cause; // When it is not.
    std::optional<KeyAnswer> keys; // Nothing renews nothing.
};

// A configuration with the number of its version; later versions have higher ones.
struct VersionedConfiguration {
    int64_t version = 0;
    std::shared_ptr<const Configuration> configuration;
    size_t headerBytes = 0; // What callers may send.
    size_t bodyBytes = 0;
    Milliseconds headerTimeout { 0 };
    Milliseconds idleTimeout { 0 };
};

// Where the sidecar meets the outside. All that depends on the words of one deployment's protocols is behind
// these functions.
struct Edges {
    std::function<absl::StatusOr<CallerHead>(const HttpRequest& request)> readCaller;
    std::function<HttpResponse(const Reply& reply, const std::string& requestId)> writeReply;
    std::string credentialScheme = "Bearer";

    // The request as the server is to see it; `expected` is the life that must run it.
    std::function<HttpRequest(const peer::ForwardedRequest& request, const std::string& body,
        const ServerIncarnation& expected, Milliseconds left)>
        writeToServer;
    std::function<ServerAnswerHead(const HttpResponse& response)> readFromServer;
    std::function<bool(const HttpRequest& request, const HttpResponse& response)> isAnswerTo;

    std::function<absl::StatusOr<ServerMessage>(const HttpRequest& request)> readReport;
    std::function<HttpResponse(const ServerReportAnswer& answer)> writeReportAnswer;

    StoreDialect store;
    std::string configurationKind; // Its object `configurationName` holds the configuration in force.
    std::string configurationName;
    std::function<absl::StatusOr<VersionedConfiguration>(const nlohmann::json& value)> readConfiguration;
    std::string zonesOutKind; // Its objects name the availability zones that are taken out.
};

}
