#include "daemon/gateway.h"

#include "daemon/framedbody.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr size_t outgoingCapacity = 8192;
    constexpr int senderThreads = 4;
    constexpr Milliseconds idleWait { 1'000 };
    constexpr Milliseconds sendPatience { 10'000 };
    // Announced bytes of requests that are not complete yet.
    constexpr int64_t mostAssemblingBytes = 512LL * 1024 * 1024;

}

Gateway::Gateway(GatewayOptions options)
    : options_(options)
    , outgoing_(outgoingCapacity)
{
}

Gateway::~Gateway()
{
    stop();
}

void Gateway::start()
{
    for (int i = 0; i < senderThreads; ++i)
        senders_.emplace_back([this] { runSender(); });
}

void Gateway::stop()
{
    outgoing_.close();
    for (std::thread& sender : senders_)
        sender.join();
    senders_.clear();
}

void Gateway::onRequest(LinkId link, peer::ForwardedRequest request, const std::string& body)
{
    const RequestKey key { link, request.id };
    const TimePoint deadline = BootClock::now() + Milliseconds(request.timeoutMs);
    const int64_t length = request.bodyLength;
    const bool isWhole = static_cast<int64_t>(body.size()) == length;
    Assembly assembly { std::move(request), BodyAssembler(length), deadline };
    if (length < 0 || length > largestBody)
        return refuse(key, RefusalReason::BadRequest, "the body is too large");
    const AssemblyState state = assembly.body.add(body, isWhole);
    if (state == AssemblyState::Broken)
        return refuse(key, RefusalReason::BadRequest, "the body is longer than announced");
    if (state == AssemblyState::Complete)
        return submit(key, std::move(assembly));
    std::unique_lock lock(mutex_);
    if (assemblingBytes_ + length > mostAssemblingBytes) {
        lock.unlock();
        return refuse(key, RefusalReason::QueueFull, "too many large bodies at once");
    }
    assemblingBytes_ += length;
    assemblies_.emplace(key, std::move(assembly));
}

void Gateway::onRequestChunk(LinkId link, const peer::BodyChunk& chunk, const std::string& body)
{
    const RequestKey key { link, chunk.id };
    std::unique_lock lock(mutex_);
    const auto found = assemblies_.find(key);
    if (found == assemblies_.end())
        return;
    const AssemblyState state = found->second.body.add(body, chunk.last);
    if (state == AssemblyState::Incomplete)
        return;
    Assembly assembly = std::move(found->second);
    assemblingBytes_ -= assembly.body.length();
    assemblies_.erase(found);
    lock.unlock();
    if (state == AssemblyState::Complete)
        submit(key, std::move(assembly));
    else
        refuse(key, RefusalReason::BadRequest, "the body is not as long as announced");
}

void Gateway::submit(const RequestKey& key, Assembly assembly)
{
    GateRequest request;
    request.request = std::move(assembly.request);
    request.body = assembly.body.takeBody();
    request.deadline = assembly.deadline;
    request.reply = [this, key](Reply reply) {
        {
            std::lock_guard lock(mutex_);
            running_.erase(key);
        }
        if (reply.body.size() <= maxBodyBytesPerFrame)
            return send({ key.first, key.second, std::move(reply) });
        if (!outgoing_.tryPush({ key.first, key.second, std::move(reply) }))
            options_.counters->counter("answers_dropped_total")++;
    };
    {
        std::lock_guard lock(mutex_);
        running_[key] = { request.request.requestId, request.isCancelled };
    }
    options_.gate->submit(std::move(request));
}

void Gateway::refuse(const RequestKey& key, RefusalReason reason, const std::string& detail)
{
    outgoing_.tryPush({ key.first, key.second, notRun(reason, detail) });
}

void Gateway::cancelRunning(Gate& gate, const Running& running)
{
    *running.isCancelled = true;
    gate.cancel(running.requestId);
}

void Gateway::onCancel(LinkId link, const peer::Cancel& cancel)
{
    std::lock_guard lock(mutex_);
    const auto found = running_.find({ link, cancel.id });
    if (found != running_.end())
        cancelRunning(*options_.gate, found->second);
}

void Gateway::onClosed(LinkId link)
{
    std::lock_guard lock(mutex_);
    const RequestKey first { link, 0 };
    for (auto entry = assemblies_.lower_bound(first);
         entry != assemblies_.end() && entry->first.first == link;) {
        assemblingBytes_ -= entry->second.body.length();
        entry = assemblies_.erase(entry);
    }
    for (auto entry = running_.lower_bound(first); entry != running_.end() && entry->first.first == link;
         ++entry) {
        if (entry->second.isCancelled)
            *entry->second.isCancelled = true;
    }
}

void Gateway::runSender()
{
    while (!outgoing_.isClosed()) {
        if (const auto outgoing = outgoing_.pop(idleWait))
            send(*outgoing);
    }
    while (const auto outgoing = outgoing_.pop(Duration::zero()))
        send(*outgoing);
}

void Gateway::send(const Outgoing& outgoing) const
{
    const Reply& reply = outgoing.reply;
    const peer::PeerMessage message = replyMessage(outgoing.id, reply);
    if (!reply.isAnswer) {
        options_.network->send(outgoing.link, { message, {} });
        return;
    }
    const TimePoint deadline = BootClock::now() + sendPatience;
    sendWithBody(*options_.network, outgoing.link, message, reply.body, outgoing.id, deadline);
}

}
