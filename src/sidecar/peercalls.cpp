#include "sidecar/peercalls.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonfield {
namespace {

    // The part of a frame that is left to the head of a request when its body is in the same frame.
    constexpr size_t reservedForHead = 131'072;
    constexpr size_t maxBodyBytesWithHead = maxFrameBytes - reservedForHead;

}

PeerCalls::PeerCalls(PeerNetwork& network)
    : network_(network)
{
}

PeerCalls::CallId PeerCalls::send(
    const std::string& address, peer::ForwardedRequest request, const Body& body, Done done)
{
    const CallId call { network_.linkTo(address), nextNumber_++ };
    request.id = call.number;
    request.bodyLength = static_cast<int64_t>(body.size());
    const bool isInParts = body.size() > maxBodyBytesWithHead;
    peer::PeerMessage message;
    if (isInParts)
        message.bodyOffer = peer::BodyOffer { std::move(request) };
    else
        message.forwardedRequest = std::move(request);
    const Frame frame { std::move(message), isInParts ? std::string() : body.text() };
    if (call.link == 0 || !network_.send(call.link, frame)) {
        done(notRun(RefusalReason::LinkLost, "the other instance was not reached"));
        return {};
    }
    calls_.emplace(Key { call.link, call.number }, Call { std::move(done), isInParts ? body : Body(), 0 });
    return call;
}

void PeerCalls::cancel(const CallId& call)
{
    if (!removeCallback({ call.link, call.number }) || network_.withdrawRequest(call.link, call.number))
        return;
    peer::PeerMessage message;
    message.cancel = peer::Cancel { call.number };
    network_.send(call.link, { message, {} });
}

PeerCalls::Done PeerCalls::removeCallback(const Key& key)
{
    const auto found = calls_.find(key);
    if (found == calls_.end())
        return nullptr;
    Done done = std::move(found->second.done);
    calls_.erase(found);
    return done;
}

void PeerCalls::onAnswer(LinkId link, const peer::ForwardedAnswer& answer, std::string body)
{
    const Done done = removeCallback({ link, answer.id });
    if (!done)
        return;
    if (static_cast<int64_t>(body.size()) != answer.bodyLength)
        return done(unknownOutcome(RefusalReason::AnswerLost, "the answer was cut off"));
    done(replyFrom(answer, std::move(body)));
}

void PeerCalls::onRefusal(LinkId link, const peer::Refusal& refusal)
{
    if (const Done done = removeCallback({ link, refusal.id }))
        done(replyFrom(refusal));
}

void PeerCalls::onBodyGrant(LinkId link, const peer::BodyGrant& grant)
{
    const auto found = calls_.find({ link, grant.id });
    if (found == calls_.end())
        return;
    Call& call = found->second;
    const std::string& body = call.unsentBody.text();
    const size_t end = std::min(body.size(), static_cast<size_t>(std::max<int64_t>(0, grant.bytes)));
    while (call.sentBytes < end) {
        const size_t size = std::min(maxBodyBytesPerFrame, end - call.sentBytes);
        peer::PeerMessage message;
        message.bodyChunk = peer::BodyChunk { grant.id, call.sentBytes + size == body.size() };
        if (!network_.send(link, { std::move(message), body.substr(call.sentBytes, size) })) {
            // The gate never gets the whole request, so it cannot run.
            const Done done = removeCallback({ link, grant.id });
            return done(notRun(RefusalReason::LinkLost, "the link to the other instance is full"));
        }
        call.sentBytes += size;
    }
    if (call.sentBytes == body.size())
        call.unsentBody = {};
}

void PeerCalls::onClosed(LinkId link, bool wasOpen)
{
    std::vector<Call> lost;
    for (auto entry = calls_.lower_bound({ link, 0 }); entry != calls_.end() && entry->first.first == link;) {
        lost.push_back(std::move(entry->second));
        entry = calls_.erase(entry);
    }
    const char* detail = "the link to the other instance was lost";
    for (const Call& call : lost) {
        const bool mayHaveRun = wasOpen && call.unsentBody.empty();
        call.done(mayHaveRun ? unknownOutcome(RefusalReason::LinkLost, detail)
                             : notRun(RefusalReason::LinkLost, detail));
    }
}

}
