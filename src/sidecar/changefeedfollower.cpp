#include "sidecar/changefeedfollower.h"

#include "base/logger.h"
#include "sidecar/feedbody.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace persimmonfield {
namespace {

    constexpr Milliseconds stepInterval { 500 };
    // Keeps the link in use, so that its pings detect the loss of the other instance.
    constexpr Milliseconds requestInterval { 2'000 };
    // An instance that has not answered for this long is given up.
    constexpr Milliseconds answerTimeout { 1'000 };
    constexpr Milliseconds avoidedAfterFailure { 10'000 };
    // An instance that refuses may be about to begin to watch the store.
    constexpr Milliseconds avoidedAfterRefusal { 1'000 };
    // An instance to which the store was silent may soon be current again.
    constexpr Milliseconds avoidedAfterStaleness { 2'000 };
    // While the followed instance is not current, the store is asked this often whether it responds to this
    // one. It is longer than the response time of a slow store.
    constexpr Milliseconds storeCheckInterval { 1'000 };
    constexpr Milliseconds storeCheckTimeout { 500 };
    // When the store responds again, it probably does so to the followed instance as well.
    constexpr Milliseconds recoveryTime { 500 };
    constexpr int64_t maxAgeMs = 3'600'000; // Of a message; larger values are not valid.

}

ChangeFeedFollower::ChangeFeedFollower(asio::io_context& loop, std::string self, std::string zone,
    const FleetDirectory& directory, PeerNetwork& network, StoreSession& store, ChangeFeedServer& server)
    : choice_(std::move(self))
    , zone_(std::move(zone))
    , directory_(directory)
    , network_(network)
    , store_(store)
    , server_(server)
    , timer_(loop)
    , currentTimer_(loop)
{
}

void ChangeFeedFollower::start()
{
    isStarted_ = true;
    server_.setServing(true);
    step();
}

void ChangeFeedFollower::step()
{
    const TimePoint now = BootClock::now();
    if (isAwaitingPage_ && now - requestedAt_ >= answerTimeout)
        leave(avoidedAfterFailure, "silent");
    choose(now);
    if (!followed_.empty() && !isAwaitingPage_ && now - requestedAt_ >= requestInterval)
        request(now);
    timer_.expires_after(stepInterval);
    timer_.async_wait([this](std::error_code error) {
        if (!error)
            step();
    });
}

void ChangeFeedFollower::onDirectoryChange()
{
    if (isStarted_ && instancesVersion_ != directory_.instancesVersion())
        choose(BootClock::now());
}

void ChangeFeedFollower::choose(TimePoint now)
{
    if (instancesVersion_ != directory_.instancesVersion()) {
        instancesVersion_ = directory_.instancesVersion();
        std::vector<FeedChoice::Candidate> instances;
        for (const auto& [name, entry] : directory_.instances()) {
            if (entry.value.zone == zone_ && !entry.value.departing)
                instances.push_back({ name, entry.value.cores.value_or(0) });
        }
        choice_.setInstances(std::move(instances));
    }
    std::set<std::string> avoided;
    for (auto instance = avoidedUntil_.begin(); instance != avoidedUntil_.end();) {
        if (instance->second <= now) {
            instance = avoidedUntil_.erase(instance);
            continue;
        }
        avoided.insert(instance->first);
        ++instance;
    }
    const std::string chosen = choice_.choose(avoided);
    if (chosen == followed_)
        return;
    followed_ = chosen;
    isAwaitingPage_ = false;
    if (followed_.empty())
        return setFollowing(false);
    // The changes come from the former instance, or from watches, until the new one has answered.
    formerLink_ = std::exchange(link_, 0);
    formerCurrentAt_ = std::exchange(linkCurrentAt_, TimePoint());
    request(now);
}

void ChangeFeedFollower::request(TimePoint now)
{
    const stored::InstanceEntry* entry = directory_.instance(followed_);
    peer::PeerMessage message;
    message.feedRequest = peer::FeedRequest {};
    for (const auto& [kind, revision] : store_.revisions())
        message.feedRequest->positions.push_back({ kind, revision });
    link_ = entry ? network_.linkTo(entry->peerAddress) : 0;
    if (link_ == 0 || !network_.send(link_, { message, {} }))
        return leave(avoidedAfterFailure, "unreachable");
    requestedAt_ = now;
    isAwaitingPage_ = true;
}

void ChangeFeedFollower::onPage(LinkId link, const peer::FeedPage& page, const std::string& body)
{
    const bool isCurrent = link == link_;
    if (followed_.empty() || (!isCurrent && link != formerLink_))
        return;
    auto objects = readFeedBody(page.kind, body);
    if (!objects.ok()) {
        log(LogLevel::Warning, "feed-page-unreadable",
            { { "from", followed_ }, { "cause", std::string(objects.status().message()) } });
        return leave(avoidedAfterFailure, "unreadable");
    }
    if (isCurrent) {
        isAwaitingPage_ = false;
        const bool isNew = formerLink_ != 0 || !store_.isFollowing();
        if (isNew && BootClock::now() - linkCurrentAt_ >= maxFeedAge)
            return leave(avoidedAfterStaleness, "not-current");
        formerLink_ = 0;
        setFollowing(true);
    }
    StorePage changes;
    changes.objects = *std::move(objects);
    changes.revision = page.revision;
    store_.observeRevision(page.revision);
    const bool isEmpty = changes.objects.empty();
    if (store_.applyFeedPage(page.kind, page.after, changes) != StoreSession::FeedResult::Gap)
        return;
    // An empty page after a gap shows that the missing changes are no longer kept.
    if (isEmpty)
        store_.relist(page.kind);
    else if (isCurrent)
        request(BootClock::now());
}

void ChangeFeedFollower::onStatus(LinkId link, const peer::FeedStatus& status)
{
    const TimePoint at = BootClock::now() - Milliseconds(std::clamp<int64_t>(status.ageMs, 0, maxAgeMs));
    if (link == link_)
        linkCurrentAt_ = at;
    else if (link == formerLink_)
        formerCurrentAt_ = at;
}

void ChangeFeedFollower::checkAfter(Duration time)
{
    currentTimer_.expires_after(time);
    currentTimer_.async_wait([this](std::error_code error) {
        if (!error)
            checkCurrent();
    });
}

// Asks the store whether it responds to this instance once the changes passed on have become too old. If it
// responds to neither, nothing is gained by watching it.
void ChangeFeedFollower::checkCurrent()
{
    if (!store_.isFollowing() || isCheckingStore_)
        return;
    const Duration left = currentAt() + maxFeedAge - BootClock::now();
    if (left > Duration::zero())
        return checkAfter(left);
    isCheckingStore_ = true;
    store_.checkStore(storeCheckTimeout, [this](bool hasResponded) { onStoreChecked(hasResponded); });
}

void ChangeFeedFollower::onStoreChecked(bool hasResponded)
{
    isCheckingStore_ = false;
    const bool wasSilent = std::exchange(wasStoreSilent_, !hasResponded);
    if (!store_.isFollowing())
        return;
    if (BootClock::now() - currentAt() < maxFeedAge)
        return checkCurrent();
    if (!hasResponded)
        return checkAfter(storeCheckInterval);
    if (wasSilent)
        return checkAfter(recoveryTime);
    leave(avoidedAfterStaleness, "not-current");
}

void ChangeFeedFollower::onRefusal(LinkId link)
{
    if (link == link_ && !followed_.empty())
        leave(avoidedAfterRefusal, "refused");
}

void ChangeFeedFollower::onClosed(LinkId link)
{
    if (link == link_ && !followed_.empty())
        leave(avoidedAfterFailure, "link-lost");
}

// Watches the store again until another instance has answered.
void ChangeFeedFollower::leave(Duration avoidedFor, const char* cause)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(BootClock::now() - linkCurrentAt_);
    log(LogLevel::Info, "feed-left",
        { { "from", followed_ }, { "cause", cause },
            { "currentMsAgo",
                linkCurrentAt_ == TimePoint() ? nlohmann::json() : nlohmann::json(age.count()) } });
    avoidedUntil_[followed_] = BootClock::now() + avoidedFor;
    followed_.clear();
    link_ = formerLink_ = 0;
    linkCurrentAt_ = formerCurrentAt_ = TimePoint();
    isAwaitingPage_ = false;
    setFollowing(false);
}

void ChangeFeedFollower::setFollowing(bool isFollowing)
{
    const bool wasFollowing = store_.isFollowing();
    store_.setFollowing(isFollowing);
    server_.setServing(!isFollowing);
    if (isFollowing && !wasFollowing)
        checkCurrent();
}

}
