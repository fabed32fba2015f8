#include "sidecar/changefeedserver.h"

#include "sidecar/feedbody.h"
#include "store/storerevision.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    // A follower that has not asked again for this long is forgotten.
    constexpr Milliseconds followTime { 6'000 };
    constexpr size_t maxKeptBytes = 512UL * 1024; // Of one kind.
    constexpr size_t maxKeptChanges = 256;
    // Followers are told at most this often how current they are.
    constexpr Milliseconds statusInterval { 200 };

}

ChangeFeedServer::ChangeFeedServer(PeerNetwork& network, std::string self)
    : network_(network)
    , self_(std::move(self))
{
}

// What the page changes. A listing also shows which objects no longer exist.
StorePage ChangeFeedServer::changesIn(const KindLog& log, const StorePage& page, bool isFullListing)
{
    if (!isFullListing)
        return page;
    StorePage changes;
    std::map<std::string, int64_t> gone = log.objects;
    for (const StoreObject& object : page.objects) {
        const auto known = log.objects.find(object.name);
        if (known == log.objects.end() || known->second < object.revision)
            changes.objects.push_back(object);
        gone.erase(object.name);
    }
    for (const auto& [name, revision] : gone) {
        StoreObject object;
        object.name = name;
        object.revision = page.revision;
        object.isDeleted = true;
        changes.objects.push_back(std::move(object));
    }
    return changes;
}

void ChangeFeedServer::record(const std::string& kind, const StorePage& page, bool isFullListing)
{
    const auto [entry, isNew] = logs_.try_emplace(kind);
    KindLog& log = entry->second;
    if (!isNew && page.revision <= log.revision)
        return;
    if (!isNew && eraOf(page.revision) != eraOf(log.revision))
        return restart(kind, page);
    const StorePage changes = changesIn(log, page, isFullListing);
    log.revision = page.revision;
    for (const StoreObject& object : changes.objects) {
        if (object.isDeleted)
            log.objects.erase(object.name);
        else
            log.objects[object.name] = object.revision;
    }
    if (isNew)
        log.firstRevision = page.revision;
    if (isNew || changes.objects.empty())
        return;
    const int64_t after = log.changes.empty() ? log.firstRevision : log.changes.back().revision;
    log.changes.push_back({ after, page.revision, writeFeedBody(changes.objects) });
    log.bytes += log.changes.back().body.size();
    trim(log);
    const TimePoint now = BootClock::now();
    for (auto follower = followers_.begin(); follower != followers_.end();) {
        if (follower->second < now) {
            follower = followers_.erase(follower);
            continue;
        }
        sendChanges(follower->first, kind, after);
        ++follower;
    }
}

// The store was restored: nothing in the log leads to this listing. The followers see a gap.
void ChangeFeedServer::restart(const std::string& kind, const StorePage& page)
{
    KindLog log;
    log.revision = log.firstRevision = page.revision;
    for (const StoreObject& object : page.objects)
        log.objects[object.name] = object.revision;
    logs_[kind] = std::move(log);
    for (const auto& [link, until] : followers_)
        sendChanges(link, kind, 0);
}

void ChangeFeedServer::trim(KindLog& log)
{
    while (!log.changes.empty() && (log.bytes > maxKeptBytes || log.changes.size() > maxKeptChanges)) {
        log.bytes -= log.changes.front().body.size();
        log.firstRevision = log.changes.front().revision;
        log.changes.pop_front();
    }
}

void ChangeFeedServer::setServing(bool isServing)
{
    if (std::exchange(isServing_, isServing) == isServing || isServing)
        return;
    for (const auto& [link, until] : std::exchange(followers_, {}))
        refuse(link);
}

void ChangeFeedServer::setCurrentAt(TimePoint at)
{
    currentAt_ = at;
    const TimePoint now = BootClock::now();
    if (now < nextStatus_)
        return;
    nextStatus_ = now + statusInterval;
    for (const auto& [link, until] : followers_)
        sendStatus(link, now);
}

void ChangeFeedServer::sendStatus(LinkId link, TimePoint now)
{
    peer::PeerMessage message;
    message.feedStatus
        = peer::FeedStatus { std::chrono::duration_cast<Milliseconds>(now - currentAt_).count() };
    network_.send(link, { message, {} });
}

void ChangeFeedServer::onRequest(LinkId link, const peer::FeedRequest& request)
{
    const auto isKnown
        = [this](const peer::FeedPosition& position) { return logs_.count(position.kind) > 0; };
    const TimePoint now = BootClock::now();
    // Those that follow already decide themselves whether the changes are current enough.
    const bool mayFollow = now - currentAt_ < maxFeedAge || followers_.count(link) > 0;
    if (!isServing_ || !mayFollow
        || !std::all_of(request.positions.begin(), request.positions.end(), isKnown))
        return refuse(link);
    followers_[link] = now + followTime;
    sendStatus(link, now);
    for (const peer::FeedPosition& position : request.positions)
        sendChanges(link, position.kind, position.revision);
}

// Sends the changes after the revision. An empty page shows that there are none, or, if it begins at a later
// revision, that they are no longer kept.
void ChangeFeedServer::sendChanges(LinkId link, const std::string& kind, int64_t revision)
{
    const auto found = logs_.find(kind);
    if (found == logs_.end())
        return;
    const KindLog& log = found->second;
    if (revision < log.firstRevision)
        return send(link, kind, { log.revision, log.revision, {} });
    bool hasSent = false;
    for (const Change& change : log.changes) {
        if (change.revision <= revision)
            continue;
        send(link, kind, change);
        hasSent = true;
    }
    if (!hasSent)
        send(link, kind, { std::min(revision, log.revision), log.revision, {} });
}

void ChangeFeedServer::send(LinkId link, const std::string& kind, const Change& change)
{
    peer::PeerMessage message;
    message.feedPage = peer::FeedPage { change.after, kind, change.revision };
    network_.send(link, { message, change.body });
}

void ChangeFeedServer::refuse(LinkId link)
{
    peer::PeerMessage message;
    message.feedRefusal = peer::FeedRefusal { self_ };
    network_.send(link, { message, {} });
}

}
