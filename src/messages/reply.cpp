#include "messages/reply.h"

#include "messages/answerhead.h"

#include <algorithm>
#include <array>
#include <utility>

namespace persimmonfield {
namespace {

    struct ReasonToken {
        RefusalReason reason;
        std::string_view token;
    };

    constexpr std::array reasonTokens {
        ReasonToken { RefusalReason::NoKey, "no-key" },
        ReasonToken { RefusalReason::UnknownKey, "unknown-key" },
        ReasonToken { RefusalReason::TeamNotAllowed, "team-not-allowed" },
        ReasonToken { RefusalReason::NoRoute, "no-route" },
        ReasonToken { RefusalReason::BadRequest, "bad-request" },
        ReasonToken { RefusalReason::RateExceeded, "rate-exceeded" },
        ReasonToken { RefusalReason::RateUnavailable, "rate-unavailable" },
        ReasonToken { RefusalReason::NoConfiguration, "no-configuration" },
        ReasonToken { RefusalReason::NoLease, "no-lease" },
        ReasonToken { RefusalReason::NoOwner, "no-owner" },
        ReasonToken { RefusalReason::NotOwner, "not-owner" },
        ReasonToken { RefusalReason::Moving, "moving" },
        ReasonToken { RefusalReason::QueueFull, "queue-full" },
        ReasonToken { RefusalReason::QueueTimeout, "queue-timeout" },
        ReasonToken { RefusalReason::DeadlinePassed, "deadline-passed" },
        ReasonToken { RefusalReason::ServerUnreachable, "server-unreachable" },
        ReasonToken { RefusalReason::ServerShedding, "server-shedding" },
        ReasonToken { RefusalReason::ServerStaleFence, "server-stale-fence" },
        ReasonToken { RefusalReason::ServerDraining, "server-draining" },
        ReasonToken { RefusalReason::ServerFailed, "server-failed" },
        ReasonToken { RefusalReason::AnswerLost, "answer-lost" },
        ReasonToken { RefusalReason::AnswerTooLarge, "answer-too-large" },
        ReasonToken { RefusalReason::LinkLost, "link-lost" },
        ReasonToken { RefusalReason::AlreadySeen, "already-seen" },
        ReasonToken { RefusalReason::MayHaveRunEarlier, "may-have-run-earlier" },
        ReasonToken { RefusalReason::KeyInvalid, "idempotency-key-invalid" },
        ReasonToken { RefusalReason::Quarantined, "quarantined" },
        ReasonToken { RefusalReason::MemoryFull, "memory-full" },
        ReasonToken { RefusalReason::Cancelled, "cancelled" },
        ReasonToken { RefusalReason::Stopping, "stopping" },
        ReasonToken { RefusalReason::Internal, "internal" },
    };

    Reply refuse(peer::Outcome outcome, RefusalReason reason, std::string detail)
    {
        Reply reply;
        reply.outcome = outcome;
        reply.reason = reason;
        reply.detail = std::move(detail);
        return reply;
    }

}

std::string_view refusalToken(RefusalReason reason)
{
    for (const ReasonToken& entry : reasonTokens) {
        if (entry.reason == reason)
            return entry.token;
    }
    return "internal";
}

RefusalReason refusalReason(std::string_view token)
{
    for (const ReasonToken& entry : reasonTokens) {
        if (entry.token == token)
            return entry.reason;
    }
    return RefusalReason::Internal;
}

peer::PeerMessage replyMessage(int64_t id, const Reply& reply)
{
    peer::PeerMessage message;
    if (reply.isAnswer) {
        message.forwardedAnswer = peer::ForwardedAnswer {};
        peer::ForwardedAnswer& answer = *message.forwardedAnswer;
        answer.id = id;
        answer.status = reply.status;
        answer.headers = reply.headers;
        answer.bodyLength = static_cast<int64_t>(reply.body.size());
        answer.load = reply.load;
        return message;
    }
    message.refusal = peer::Refusal {};
    peer::Refusal& refusal = *message.refusal;
    refusal.id = id;
    refusal.outcome = reply.outcome;
    refusal.reason = std::string(refusalToken(reply.reason));
    refusal.detail = reply.detail;
    refusal.retryAfterMs = reply.retryAfter.count();
    refusal.load = reply.load;
    refusal.owner = reply.owner;
    return message;
}

Reply replyFrom(const peer::Refusal& refusal)
{
    Reply reply = refuse(refusal.outcome, refusalReason(refusal.reason), refusal.detail);
    reply.retryAfter = std::chrono::milliseconds(refusal.retryAfterMs);
    reply.load = refusal.load;
    reply.owner = refusal.owner;
    return reply;
}

Reply replyFrom(peer::ForwardedAnswer answer, std::string body)
{
    if (!isFinalStatus(answer.status))
        return unknownOutcome(RefusalReason::ServerFailed,
            "the answer of the other instance has status " + std::to_string(answer.status));
    const bool hasValidNames = std::all_of(answer.headers.begin(), answer.headers.end(),
        [](const peer::HeaderField& field) { return isFieldName(field.name); });
    if (!hasValidNames)
        return unknownOutcome(RefusalReason::ServerFailed,
            "the answer of the other instance has a field whose name is not valid");
    Reply reply;
    reply.isAnswer = true;
    reply.status = static_cast<int>(answer.status);
    reply.headers = std::move(answer.headers);
    reply.body = std::move(body);
    reply.load = answer.load;
    return reply;
}

Reply notRun(RefusalReason reason, std::string detail)
{
    return refuse(peer::Outcome::NotRun, reason, std::move(detail));
}

Reply unknownOutcome(RefusalReason reason, std::string detail)
{
    return refuse(peer::Outcome::Unknown, reason, std::move(detail));
}

}
