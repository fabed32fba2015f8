// The messages of other instances to a Sidecar.

#include "sidecar/sidecar.h"

#include "base/logger.h"
#include "sidecar/feedbody.h"

#include <utility>

namespace persimmonfield {

void Sidecar::onFrame(LinkId link, Frame frame)
{
    peer::PeerMessage& message = frame.message;
    if (message.forwardedRequest)
        peerRequestHandler_->onRequest(link, *std::move(message.forwardedRequest), std::move(frame.body));
    else if (message.bodyOffer)
        peerRequestHandler_->onBodyOffer(link, std::move(message.bodyOffer->request));
    else if (message.bodyChunk)
        peerRequestHandler_->onBodyChunk(link, *message.bodyChunk, frame.body);
    else if (message.bodyGrant)
        peerCalls_->onBodyGrant(link, *message.bodyGrant);
    else if (message.forwardedAnswer)
        peerCalls_->onAnswer(link, *message.forwardedAnswer, std::move(frame.body));
    else if (message.refusal)
        peerCalls_->onRefusal(link, *message.refusal);
    else if (message.cancel)
        peerRequestHandler_->onCancel(link, *message.cancel);
    else if (message.storeCall)
        relay_->onCall(link, *message.storeCall);
    else if (message.storeAnswer)
        relay_->onAnswer(link, *message.storeAnswer);
    else if (message.shareRequest)
        teamLimits_->onShareRequest(link, *message.shareRequest);
    else if (message.shareGrant)
        teamLimits_->onShareGrant(*message.shareGrant);
    else if (message.storeChange)
        onStoreChange(link, *message.storeChange, frame.body);
    else if (message.feedRequest)
        onFeedRequest(link, *message.feedRequest);
    else if (message.feedPage)
        feedFollower_->onPage(link, *message.feedPage, frame.body);
    else if (message.feedStatus)
        feedFollower_->onStatus(link, *message.feedStatus);
    else if (message.feedRefusal)
        feedFollower_->onRefusal(link);
    else if (message.crashCounts)
        quarantine_.onCrashCounts(*message.crashCounts, BootClock::now());
    else if (message.rolloutNotice)
        rollouts_->onNotice(link, *message.rolloutNotice, frame.body);
    else if (message.rolloutReport)
        rollouts_->onReport(*message.rolloutReport);
    else if (message.departure)
        onDeparture(link, *message.departure);
    else if (message.departureAck)
        departureNotifier_->onAck(link);
    else
        log(LogLevel::Warning, "frame-unexpected", { { "link", link } });
}

void Sidecar::onFeedRequest(LinkId link, const peer::FeedRequest& request)
{
    for (const peer::FeedPosition& position : request.positions)
        store_.observeRevision(position.revision);
    feedServer_->onRequest(link, request);
}

// Objects of the fleet that came with the message are used at once. What else has changed up to their
// revision follows with the next page.
void Sidecar::onStoreChange(LinkId link, const peer::StoreChange& change, const std::string& body)
{
    store_.observeRevision(change.revision);
    if (eraOf(change.revision) < store_.era())
        return;
    auto objects = readFeedBody(change.kind, body);
    if (!objects.ok())
        log(LogLevel::Warning, "feed-page-unreadable",
            { { "from", "" }, { "cause", std::string(objects.status().message()) } });
    if (!objects.ok() || objects->empty() || change.kind != fleetKind) {
        relay_->prefer(link);
        return store_.catchUpTo(change.kind, change.revision);
    }
    directory_.apply({ *std::move(objects), false, change.revision }, false);
    onDirectoryChange();
}

void Sidecar::onDeparture(LinkId link, const peer::Departure& departure)
{
    if (departure.last) {
        peer::PeerMessage message;
        message.departureAck = peer::DepartureAck { departure.instance };
        network_->send(link, { message, {} });
        network_->retire(link);
    }
    if (!directory_.recordDeparture(departure.instance, departure.incarnation))
        return;
    log(LogLevel::Info, "instance-departs", { { "instance", departure.instance } });
    onDirectoryChange();
}

}
