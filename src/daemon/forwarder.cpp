#include "daemon/forwarder.h"

#include "daemon/framedbody.h"

#include <utility>

namespace persimmonfield {

void CallGroup::complete(int copy, Reply reply)
{
    {
        std::lock_guard lock(mutex_);
        completions_.push_back({ copy, std::move(reply) });
    }
    changed_.notify_all();
}

std::optional<CallGroup::Completion> CallGroup::wait(TimePoint until)
{
    std::unique_lock lock(mutex_);
    const Duration timeout = until - BootClock::now();
    changed_.wait_for(lock, timeout, [this] { return !completions_.empty(); });
    if (completions_.empty())
        return std::nullopt;
    Completion first = std::move(completions_.front());
    completions_.pop_front();
    return first;
}

Forwarder::Forwarder(Gate& gate, PeerNetwork& network, Counters& counters)
    : gate_(gate)
    , network_(network)
    , counters_(counters)
{
}

Forwarder::CallId Forwarder::sendLocal(const peer::ForwardedRequest& request, const Body& body,
    TimePoint deadline, const std::shared_ptr<CallGroup>& group, int copy)
{
    GateRequest toGate;
    toGate.request = request;
    toGate.body = body;
    toGate.deadline = deadline;
    CallId call;
    {
        std::lock_guard lock(mutex_);
        call.id = nextId_++;
        localCalls_[call.id] = { request.requestId, toGate.isCancelled };
    }
    toGate.reply = [this, id = call.id, group, copy](Reply reply) {
        {
            std::lock_guard lock(mutex_);
            localCalls_.erase(id);
        }
        group->complete(copy, std::move(reply));
    };
    gate_.submit(std::move(toGate));
    return call;
}

Forwarder::CallId Forwarder::sendRemote(const std::string& address, peer::ForwardedRequest request,
    const std::string& body, TimePoint deadline, const std::shared_ptr<CallGroup>& group, int copy)
{
    CallId call;
    call.link = network_.linkTo(address);
    peer::PeerMessage message;
    {
        std::lock_guard lock(mutex_);
        call.id = nextId_++;
        request.id = call.id;
        request.bodyLength = static_cast<int64_t>(body.size());
        calls_[{ call.link, call.id }] = { group, copy, std::nullopt, BodyAssembler(0) };
    }
    message.forwardedRequest = std::move(request);
    const SendState state = sendWithBody(network_, call.link, message, body, call.id, deadline);
    // The request did not run: a gate starts a request only after it has received all of it.
    if (state != SendState::Sent && takeCall({ call.link, call.id }))
        group->complete(copy, notRun(RefusalReason::LinkLost, "the owner's daemon was not reached"));
    return call;
}

void Forwarder::cancel(const CallId& call)
{
    if (call.link != 0) {
        if (!takeCall({ call.link, call.id }))
            return;
        peer::PeerMessage message;
        message.cancel = peer::Cancel { call.id };
        network_.send(call.link, { message, {} });
        return;
    }
    std::unique_lock lock(mutex_);
    const auto found = localCalls_.find(call.id);
    if (found == localCalls_.end())
        return;
    *found->second.isCancelled = true;
    const std::string requestId = found->second.requestId;
    lock.unlock();
    gate_.cancel(requestId);
}

std::optional<Forwarder::Call> Forwarder::takeCall(const CallKey& key)
{
    std::lock_guard lock(mutex_);
    const auto found = calls_.find(key);
    if (found == calls_.end())
        return std::nullopt;
    Call call = std::move(found->second);
    calls_.erase(found);
    return call;
}

void Forwarder::onAnswer(LinkId link, const peer::ForwardedAnswer& answer, const std::string& body)
{
    const CallKey key { link, answer.id };
    {
        std::lock_guard lock(mutex_);
        const auto found = calls_.find(key);
        if (found == calls_.end()) {
            counters_.counter("answers_late_total")++;
            return;
        }
        found->second.body = BodyAssembler(answer.bodyLength);
        found->second.answer = answer;
    }
    appendToAnswer(key, body, static_cast<int64_t>(body.size()) == answer.bodyLength);
}

void Forwarder::onAnswerChunk(LinkId link, const peer::BodyChunk& chunk, const std::string& body)
{
    appendToAnswer({ link, chunk.id }, body, chunk.last);
}

void Forwarder::appendToAnswer(const CallKey& key, const std::string& body, bool isLast)
{
    std::unique_lock lock(mutex_);
    const auto found = calls_.find(key);
    if (found == calls_.end() || !found->second.answer)
        return;
    const AssemblyState state = found->second.body.add(body, isLast);
    if (state == AssemblyState::Incomplete)
        return;
    Call call = std::move(found->second);
    calls_.erase(found);
    lock.unlock();
    if (state == AssemblyState::Broken)
        return call.group->complete(
            call.copy, unknownOutcome(RefusalReason::AnswerLost, "the answer was cut off"));
    call.group->complete(call.copy, replyFrom(*std::move(call.answer), call.body.takeBody()));
}

void Forwarder::onRefusal(LinkId link, const peer::Refusal& refusal)
{
    if (const auto call = takeCall({ link, refusal.id }))
        call->group->complete(call->copy, replyFrom(refusal));
}

void Forwarder::onClosed(LinkId link, bool wasOpen)
{
    std::vector<Call> lost;
    {
        std::lock_guard lock(mutex_);
        for (auto entry = calls_.lower_bound({ link, 0 });
             entry != calls_.end() && entry->first.first == link;) {
            lost.push_back(std::move(entry->second));
            entry = calls_.erase(entry);
        }
    }
    for (const Call& call : lost) {
        const char* detail = "the connection to the owner's daemon was lost";
        call.group->complete(call.copy,
            wasOpen ? unknownOutcome(RefusalReason::LinkLost, detail)
                    : notRun(RefusalReason::LinkLost, detail));
    }
}

}
