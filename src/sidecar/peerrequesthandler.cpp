#include "sidecar/peerrequesthandler.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonfield {
namespace {

    // Bytes of one body that another instance may send ahead of what has arrived.
    constexpr size_t bodyWindow = 256UL * 1024;
    constexpr Milliseconds memoryRetryAfter { 500 };

}

PeerRequestHandler::PeerRequestHandler(
    ServerGate& gate, PeerNetwork& network, std::shared_ptr<MemoryGuard> guard)
    : gate_(gate)
    , network_(network)
    , guard_(std::move(guard))
{
}

void PeerRequestHandler::onRequest(LinkId link, peer::ForwardedRequest request, std::string body)
{
    const Key key { link, request.id };
    std::shared_ptr<HeldBytes> held;
    if (guard_ && !body.empty()) {
        held = hold(key, false);
        if (held->reserve(body.size()) != ByteBudget::Verdict::Granted)
            return refuse(key);
    }
    submit(key, std::move(request), Body(std::move(body), std::move(held)), BootClock::now());
}

void PeerRequestHandler::onBodyOffer(LinkId link, peer::ForwardedRequest request)
{
    const Key key { link, request.id };
    const auto length = static_cast<size_t>(std::max<int64_t>(0, request.bodyLength));
    PartialRequest& partial = partialRequests_[key];
    partial.request = std::move(request);
    partial.arrivedAt = BootClock::now();
    if (!guard_)
        return startBody(key);
    partial.held = hold(key, true);
    switch (partial.held->reserve(length)) {
    case ByteBudget::Verdict::Granted:
        return startBody(key);
    case ByteBudget::Verdict::Wait:
        return;
    case ByteBudget::Verdict::TooLarge:
        return refuse(key);
    }
}

std::shared_ptr<HeldBytes> PeerRequestHandler::hold(const Key& key, bool isPartial)
{
    HeldBytes::Hooks hooks;
    if (isPartial)
        hooks = { [this, key] { startBody(key); }, [this, key] { refuse(key); } };
    const std::string caller = "link " + std::to_string(key.first);
    return std::make_shared<HeldBytes>(guard_, caller, HeldFor::Request, std::move(hooks));
}

// Asks for the first part of the body. The kernel provides memory only for what has arrived.
void PeerRequestHandler::startBody(const Key& key)
{
    PartialRequest& partial = partialRequests_.at(key);
    partial.body.reserve(static_cast<size_t>(std::max<int64_t>(0, partial.request.bodyLength)));
    grant(key, partial);
}

void PeerRequestHandler::grant(const Key& key, PartialRequest& partial)
{
    partial.granted = partial.body.size() + bodyWindow;
    peer::PeerMessage message;
    message.bodyGrant = peer::BodyGrant { static_cast<int64_t>(partial.granted), key.second };
    network_.send(key.first, { std::move(message), {} });
}

void PeerRequestHandler::onBodyChunk(LinkId link, const peer::BodyChunk& chunk, const std::string& part)
{
    const Key key { link, chunk.id };
    const auto found = partialRequests_.find(key);
    if (found == partialRequests_.end())
        return;
    PartialRequest& partial = found->second;
    const auto length = static_cast<size_t>(partial.request.bodyLength);
    const size_t size = partial.body.size() + part.size();
    if (size > std::min(length, partial.granted) || chunk.last != (size == length))
        return refuse(key);
    partial.body += part;
    if (partial.held)
        partial.held->recordProgress(part.size());
    if (chunk.last) {
        PartialRequest whole = std::move(partial);
        partialRequests_.erase(found);
        if (whole.held)
            whole.held->keep();
        return submit(key, std::move(whole.request), Body(std::move(whole.body), std::move(whole.held)),
            whole.arrivedAt);
    }
    if (partial.granted - size <= bodyWindow / 2)
        grant(key, partial);
}

// Refuses a request that has not been submitted.
void PeerRequestHandler::refuse(const Key& key)
{
    partialRequests_.erase(key);
    Reply reply = notRun(RefusalReason::MemoryFull, "there is no room for the request's body");
    reply.retryAfter = memoryRetryAfter;
    network_.send(key.first, { replyMessage(key.second, reply), {} });
}

void PeerRequestHandler::submit(
    const Key& key, peer::ForwardedRequest request, Body body, TimePoint arrivedAt)
{
    GateCall call;
    call.deadline = arrivedAt + Milliseconds(request.timeoutMs);
    call.objectiveEnd = arrivedAt + Milliseconds(request.objectiveMs);
    call.asker = static_cast<int64_t>(key.first);
    call.request = std::move(request);
    call.body = std::move(body);
    calls_[key] = 0;
    call.reply = [this, key](Reply reply) {
        calls_.erase(key);
        if (network_.send(key.first, { replyMessage(key.second, reply), std::move(reply.body) })
            || !reply.isAnswer)
            return;
        const Reply lost = unknownOutcome(RefusalReason::AnswerLost, "the link to the caller is full");
        network_.send(key.first, { replyMessage(key.second, lost), {} });
    };
    const auto id = gate_.submit(std::move(call));
    // The gate may have replied before submit() returned.
    const auto open = calls_.find(key);
    if (open != calls_.end())
        open->second = id;
}

void PeerRequestHandler::onCancel(LinkId link, const peer::Cancel& cancel)
{
    partialRequests_.erase({ link, cancel.id });
    const auto found = calls_.find({ link, cancel.id });
    if (found == calls_.end())
        return;
    const auto id = found->second;
    calls_.erase(found);
    gate_.cancel(id);
}

void PeerRequestHandler::onClosed(LinkId link)
{
    partialRequests_.erase(
        partialRequests_.lower_bound({ link, 0 }), partialRequests_.lower_bound({ link + 1, 0 }));
    std::vector<ServerGate::CallId> open;
    for (auto entry = calls_.lower_bound({ link, 0 }); entry != calls_.end() && entry->first.first == link;) {
        open.push_back(entry->second);
        entry = calls_.erase(entry);
    }
    for (const auto id : open)
        gate_.cancel(id);
}

}
