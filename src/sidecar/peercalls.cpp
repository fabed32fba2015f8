#include "sidecar/peercalls.h"

#include <utility>
#include <vector>

namespace persimmonfield {

PeerCalls::PeerCalls(PeerNetwork& network)
    : network_(network)
{
}

PeerCalls::CallId PeerCalls::send(
    const std::string& address, peer::ForwardedRequest request, const std::string& body, Done done)
{
    const CallId call { network_.linkTo(address), nextNumber_++ };
    request.id = call.number;
    request.bodyLength = static_cast<int64_t>(body.size());
    peer::PeerMessage message;
    message.forwardedRequest = std::move(request);
    if (call.link == 0 || !network_.send(call.link, { message, body })) {
        done(notRun(RefusalReason::LinkLost, "the other instance was not reached"));
        return {};
    }
    calls_.emplace(Key { call.link, call.number }, std::move(done));
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
    Done done = std::move(found->second);
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

void PeerCalls::onClosed(LinkId link, bool wasOpen)
{
    std::vector<Done> lost;
    for (auto entry = calls_.lower_bound({ link, 0 }); entry != calls_.end() && entry->first.first == link;) {
        lost.push_back(std::move(entry->second));
        entry = calls_.erase(entry);
    }
    const char* detail = "the link to the other instance was lost";
    for (const Done& done : lost)
        done(wasOpen ? unknownOutcome(RefusalReason::LinkLost, detail)
                     : notRun(RefusalReason::LinkLost, detail));
}

}
