#pragma once

#include "messages/generated/peer.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonfield {

// Why the router refused a request. The token of each is part of the interface towards callers.
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
    Cancelled,
    Stopping,
    Internal,
};

// The token sent to callers, as "rate-exceeded".
std::string_view refusalToken(RefusalReason reason);

// The reason of a token; Internal for one that is not known.
RefusalReason refusalReason(std::string_view token);

// How a request ended: with the backend server's answer, or refused by the router.
struct Reply {
    bool isAnswer = false;
    int status = 0; // The answer's status.
    std::vector<peer::HeaderField> headers;
    std::string body;
    peer::Outcome outcome = peer::Outcome::NotRun;
    RefusalReason reason = RefusalReason::Internal;
    std::string detail;
    std::chrono::milliseconds retryAfter { 0 }; // When a further try may succeed; 0 when not known.
    std::optional<peer::ServerLoad> load; // Of the server that answered or refused, where it is known.
    std::optional<peer::KeyOwner> owner; // Of the request's key, where the one that refused knows another.

    bool isNotRun() const { return !isAnswer && outcome == peer::Outcome::NotRun; }
};

// The message that carries the reply to the request `id` to another instance; an answer's body goes with it.
peer::PeerMessage replyMessage(int64_t id, const Reply& reply);

// The reply that another instance sent.
Reply replyFrom(const peer::Refusal& refusal);
Reply replyFrom(peer::ForwardedAnswer answer, std::string body);

// A refusal of a request that certainly did not run.
Reply notRun(RefusalReason reason, std::string detail = {});

// A refusal of a request that may have run.
Reply unknownOutcome(RefusalReason reason, std::string detail = {});

}
