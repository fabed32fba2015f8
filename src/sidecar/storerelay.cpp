#include "sidecar/storerelay.h"

#include "messages/answerhead.h"

#include <absl/strings/numbers.h>

#include <utility>
#include <vector>

namespace persimmonfield {

StoreRelay::StoreRelay(asio::io_context& loop, const std::string& self, const FleetDirectory& directory,
    PeerNetwork& network, StoreTransport& transport, std::string eraHeader)
    : loop_(loop)
    , self_(self)
    , directory_(directory)
    , network_(network)
    , transport_(transport)
    , eraHeader_(std::move(eraHeader))
{
}

// The instance that relayed the last call, or the next one by name if that failed.
std::string StoreRelay::nextRelayInstance()
{
    const auto& instances = directory_.instances();
    auto entry = hasLastRelayFailed_ || instances.count(lastRelay_) == 0 ? instances.upper_bound(lastRelay_)
                                                                         : instances.find(lastRelay_);
    for (size_t i = 0; i <= instances.size(); ++i) {
        if (entry == instances.end())
            entry = instances.begin();
        if (entry == instances.end())
            return {};
        if (entry->first != self_ && !entry->second.value.departing)
            return entry->first;
        ++entry;
    }
    return {};
}

// Returns 0 if there is no instance to relay calls.
LinkId StoreRelay::nextRelayLink()
{
    if (preferredLink_ != 0)
        return preferredLink_;
    const std::string relay = nextRelayInstance();
    if (relay.empty())
        return 0;
    lastRelay_ = relay;
    const LinkId link = network_.linkTo(directory_.instance(relay)->peerAddress);
    hasLastRelayFailed_ = link == 0;
    return link;
}

void StoreRelay::prefer(LinkId link)
{
    preferredLink_ = link;
}

void StoreRelay::skip()
{
    recordFailure(preferredLink_);
}

void StoreRelay::recordFailure(LinkId link)
{
    if (link != 0 && link == preferredLink_)
        preferredLink_ = 0;
    else
        hasLastRelayFailed_ = true;
}

bool StoreRelay::call(const HttpRequest& request, Duration timeout, const StoreTransport::Done& done)
{
    const LinkId link = nextRelayLink();
    if (link == 0)
        return false;
    const int64_t id = nextId_++;
    peer::PeerMessage message;
    message.storeCall = peer::StoreCall {};
    message.storeCall->id = id;
    message.storeCall->method = request.method;
    message.storeCall->target = request.target;
    message.storeCall->body = request.body;
    message.storeCall->timeoutMs = std::chrono::duration_cast<Milliseconds>(timeout).count();
    if (!network_.send(link, { message, {} })) {
        recordFailure(link);
        return false;
    }
    PendingCall& pending = pending_[id];
    pending.link = link;
    pending.done = done;
    pending.timer = std::make_unique<asio::steady_timer>(loop_);
    pending.timer->expires_after(timeout);
    pending.timer->async_wait([this, id](std::error_code error) {
        if (!error)
            complete(id, { CallOutcome::TimedOut, {}, "the other instance did not answer" });
    });
    return true;
}

void StoreRelay::complete(int64_t id, CallResult result)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
        return;
    const auto done = std::move(found->second.done);
    if (result.outcome != CallOutcome::Answered)
        recordFailure(found->second.link);
    pending_.erase(found);
    done(std::move(result));
}

void StoreRelay::onCall(LinkId link, const peer::StoreCall& call)
{
    HttpRequest request;
    request.method = call.method;
    request.target = call.target;
    request.body = call.body;
    if (!request.body.empty())
        request.headers.push_back({ "Content-Type", "application/json" });
    const auto reply = [this, link, id = call.id](const CallResult& result) {
        peer::PeerMessage message;
        message.storeAnswer = peer::StoreAnswer {};
        message.storeAnswer->id = id;
        message.storeAnswer->status = result.outcome == CallOutcome::Answered ? result.response.status : 0;
        message.storeAnswer->body = result.response.body;
        const std::string* header = result.response.header(eraHeader_);
        int64_t era = 0;
        if (header && absl::SimpleAtoi(*header, &era))
            message.storeAnswer->era = era;
        network_.send(link, { message, {} });
    };
    if (!transport_.callForPeer(request, Milliseconds(call.timeoutMs), reply))
        reply({ CallOutcome::NotSent, {}, {} });
}

void StoreRelay::onAnswer(LinkId link, const peer::StoreAnswer& answer)
{
    const auto found = pending_.find(answer.id);
    if (found == pending_.end() || found->second.link != link)
        return;
    if (!isFinalStatus(answer.status))
        return complete(
            answer.id, { CallOutcome::Lost, {}, "the other instance did not get an answer of the store" });
    CallResult result;
    result.outcome = CallOutcome::Answered;
    result.response.status = static_cast<int>(answer.status);
    result.response.body = answer.body;
    if (answer.era)
        result.response.headers.push_back({ eraHeader_, std::to_string(*answer.era) });
    complete(answer.id, std::move(result));
}

void StoreRelay::onClosed(LinkId link)
{
    if (link == preferredLink_)
        preferredLink_ = 0;
    std::vector<int64_t> lost;
    for (const auto& [id, pending] : pending_) {
        if (pending.link == link)
            lost.push_back(id);
    }
    for (const int64_t id : lost)
        complete(id, { CallOutcome::Lost, {}, "the link to the other instance was lost" });
}

}
