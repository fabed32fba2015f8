#include "daemon/peerrequestreceiver.h"

#include "daemon/framedbody.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr size_t outgoingCapacity = 8192;
    constexpr int senderThreads = 4;
    constexpr Milliseconds idleWait { 1'000 };
    constexpr Milliseconds sendTimeout { 10'000 };
    // Limit on the sum of the announced body sizes of all requests that are not complete yet.
    constexpr int64_t maxPartialRequestBytes = 512LL * 1024 * 1024;

}

PeerRequestReceiver::PeerRequestReceiver(PeerRequestReceiverOptions options)
    : options_(options)
    , outgoingReplies_(outgoingCapacity)
{
}

PeerRequestReceiver::~PeerRequestReceiver()
{
    stop();
}

void PeerRequestReceiver::start()
{
    for (int i = 0; i < senderThreads; ++i)
        senders_.emplace_back([this] { runSender(); });
}

void PeerRequestReceiver::stop()
{
    outgoingReplies_.close();
    for (std::thread& sender : senders_)
        sender.join();
    senders_.clear();
}

void PeerRequestReceiver::onRequest(LinkId link, peer::ForwardedRequest request, const std::string& body)
{
    const RequestKey key { link, request.id };
    const TimePoint deadline = BootClock::now() + Milliseconds(request.timeoutMs);
    const int64_t length = request.bodyLength;
    const bool isComplete = static_cast<int64_t>(body.size()) == length;
    PartialRequest partial { std::move(request), BodyAssembler(length), deadline };
    if (length < 0 || length > maxBodyBytes)
        return refuse(key, RefusalReason::BadRequest, "the body is too large");
    const AssemblyState state = partial.body.add(body, isComplete);
    if (state == AssemblyState::Broken)
        return refuse(key, RefusalReason::BadRequest, "the body is longer than announced");
    if (state == AssemblyState::Complete)
        return submit(key, std::move(partial));
    std::unique_lock lock(mutex_);
    if (partialRequestBytes_ + length > maxPartialRequestBytes) {
        lock.unlock();
        return refuse(key, RefusalReason::QueueFull, "too many large bodies at once");
    }
    partialRequestBytes_ += length;
    partialRequests_.emplace(key, std::move(partial));
}

void PeerRequestReceiver::onRequestChunk(LinkId link, const peer::BodyChunk& chunk, const std::string& body)
{
    const RequestKey key { link, chunk.id };
    std::unique_lock lock(mutex_);
    const auto found = partialRequests_.find(key);
    if (found == partialRequests_.end())
        return;
    const AssemblyState state = found->second.body.add(body, chunk.last);
    if (state == AssemblyState::Incomplete)
        return;
    PartialRequest partial = std::move(found->second);
    partialRequestBytes_ -= partial.body.length();
    partialRequests_.erase(found);
    lock.unlock();
    if (state == AssemblyState::Complete)
        submit(key, std::move(partial));
    else
        refuse(key, RefusalReason::BadRequest, "the body is not as long as announced");
}

void PeerRequestReceiver::submit(const RequestKey& key, PartialRequest partial)
{
    GateRequest request;
    request.request = std::move(partial.request);
    request.body = partial.body.takeBody();
    request.deadline = partial.deadline;
    request.reply = [this, key](Reply reply) {
        {
            std::lock_guard lock(mutex_);
            runningRequests_.erase(key);
        }
        if (reply.body.size() <= maxBodyBytesPerFrame)
            return send({ key.first, key.second, std::move(reply) });
        if (!outgoingReplies_.tryPush({ key.first, key.second, std::move(reply) }))
            options_.counters->counter("answers_dropped_total")++;
    };
    {
        std::lock_guard lock(mutex_);
        runningRequests_[key] = { request.request.requestId, request.isCancelled };
    }
    options_.gate->submit(std::move(request));
}

void PeerRequestReceiver::refuse(const RequestKey& key, RefusalReason reason, const std::string& detail)
{
    outgoingReplies_.tryPush({ key.first, key.second, notRun(reason, detail) });
}

void PeerRequestReceiver::cancelRequest(Gate& gate, const RunningRequest& running)
{
    *running.isCancelled = true;
    gate.cancel(running.requestId);
}

void PeerRequestReceiver::onCancel(LinkId link, const peer::Cancel& cancel)
{
    std::lock_guard lock(mutex_);
    const auto found = runningRequests_.find({ link, cancel.id });
    if (found != runningRequests_.end())
        cancelRequest(*options_.gate, found->second);
}

void PeerRequestReceiver::onClosed(LinkId link)
{
    std::lock_guard lock(mutex_);
    const RequestKey first { link, 0 };
    for (auto entry = partialRequests_.lower_bound(first);
         entry != partialRequests_.end() && entry->first.first == link;) {
        partialRequestBytes_ -= entry->second.body.length();
        entry = partialRequests_.erase(entry);
    }
    for (auto entry = runningRequests_.lower_bound(first);
         entry != runningRequests_.end() && entry->first.first == link; ++entry) {
        if (entry->second.isCancelled)
            *entry->second.isCancelled = true;
    }
}

void PeerRequestReceiver::runSender()
{
    while (!outgoingReplies_.isClosed()) {
        if (const auto outgoing = outgoingReplies_.pop(idleWait))
            send(*outgoing);
    }
    while (const auto outgoing = outgoingReplies_.pop(Duration::zero()))
        send(*outgoing);
}

void PeerRequestReceiver::send(const OutgoingReply& outgoing) const
{
    const Reply& reply = outgoing.reply;
    const peer::PeerMessage message = replyMessage(outgoing.id, reply);
    if (!reply.isAnswer) {
        options_.network->send(outgoing.link, { message, {} });
        return;
    }
    const TimePoint deadline = BootClock::now() + sendTimeout;
    sendWithBody(*options_.network, outgoing.link, message, reply.body, outgoing.id, deadline);
}

}
