#pragma once

#include "messages/generated/peer.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonfield {

// Why the router refused a request. The reasons' tokens are part of the public API.
enum class RefusalReason {
    NoKey,
    UnknownKey,
    TeamNotAllowed,
    NoRoute,
    BadRequest,
    RateExceeded,
    RateUnavailable,
    NoConfiguration,
    NoLease,
    NoOwner,
    NotOwner,
    Moving,
    QueueFull,
    QueueTimeout,
    DeadlinePassed,
    ServerUnreachable,
    ServerShedding,
    ServerStaleFence,
    ServerDraining,
    ServerFailed,
    AnswerLost,
    AnswerTooLarge,
    LinkLost,
    AlreadySeen,
    MayHaveRunEarlier,
    KeyInvalid,
    Quarantined,
    MemoryFull,
    Cancelled,
    Stopping,
    Internal,
};

// Returns the token that is sent to callers, for example "rate-exceeded".
std::string_view refusalToken(RefusalReason reason);

// Returns the reason for a token, or Internal if the token is unknown.
RefusalReason refusalReason(std::string_view token);

// The result of a request: the backend server's response, or a refusal by the router.
struct Reply {
    bool isAnswer = false;
    int status = 0; // HTTP status of the response.
    std::vector<peer::HeaderField> headers;
    std::string body;
    peer::Outcome outcome = peer::Outcome::NotRun;
    RefusalReason reason = RefusalReason::Internal;
    std::string detail;
    std::chrono::milliseconds retryAfter { 0 }; // Delay after which a retry may succeed; 0 if unknown.
    std::optional<peer::ServerLoad> load; // Load of the server that responded or refused, if known.
    std::optional<peer::KeyOwner> owner; // The key's owner, if the refusing instance knows a different one.

    bool isNotRun() const { return !isAnswer && outcome == peer::Outcome::NotRun; }
};

// Builds the message that sends the reply for request `id` to another instance. A response body is not part
// of the message; its bytes are sent in the same frame and in further ones.
peer::PeerMessage replyMessage(int64_t id, const Reply& reply);

// Converts a message from another instance into a reply. An answer whose head is not valid, as instances of
// earlier versions pass them on, is of unknown outcome.
Reply replyFrom(const peer::Refusal& refusal);
Reply replyFrom(peer::ForwardedAnswer answer, std::string body);

// Refuses a request that definitely did not run.
Reply notRun(RefusalReason reason, std::string detail = {});

// Refuses a request that may have run.
Reply unknownOutcome(RefusalReason reason, std::string detail = {});

}
