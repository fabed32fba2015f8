#pragma once

#include "base/logger.h"
#include "store/storesession.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {

// Tracks one kind: a full listing followed by consecutive long-poll watches. After a failure it starts with a
// new listing, because a watch that continues from an old revision may never get a response if the store
// dropped its history or the network silently drops the packets of that connection.
class StoreSession::KindWatch : public std::enable_shared_from_this<KindWatch> {
public:
    KindWatch(StoreSession& session, std::string kind, ChangeHandler handler)
        : session_(&session)
        , kind_(std::move(kind))
        , handler_(std::move(handler))
        , timer_(session.loop_)
        , nextBackoff_(session.backoff_.initial)
    {
    }

    void list()
    {
        const PageCallback done = beginListing();
        session_->list(kind_, false, done);
    }

    // For a store that is reachable to others, but from which nothing comes directly.
    void listBothWays()
    {
        const PageCallback done = beginListing();
        session_->listBothWays(kind_, done);
    }

    void stop()
    {
        session_ = nullptr;
        timer_.cancel();
    }

    // A watch in flight when the store became unreachable may wait on a dead connection, so it is cancelled.
    void restart()
    {
        if (phase_ == Phase::Watching)
            session_->transport_.cancelLongPoll(call_);
        if (phase_ == Phase::Watching || phase_ == Phase::Retrying)
            list();
    }

    // Called when the store is suspected to be silent to this instance only. Changes of a kind with an
    // interval may come late.
    void readThroughOthers()
    {
        if (phase_ != Phase::Watching || interval_ > Milliseconds(0))
            return;
        session_->transport_.cancelLongPoll(call_);
        listBothWays();
    }

    // Whether a change would be delivered; changes of a kind with an interval may always come late.
    bool isOpen() const
    {
        return interval_ > Milliseconds(0) || phase_ == Phase::Watching || phase_ == Phase::Pausing;
    }

    void setInterval(Milliseconds interval) { interval_ = interval; }

    void setFollowing(bool isFollowing)
    {
        const bool hasListed = phase_ != Phase::Listing && isKnown();
        if (isFollowing && hasListed && phase_ != Phase::Following) {
            if (phase_ == Phase::Watching)
                session_->transport_.cancelLongPoll(call_);
            enterPhase(Phase::Following);
        } else if (!isFollowing && phase_ == Phase::Following) {
            scheduleWatch();
        }
    }

    // Nullopt while the kind is being listed.
    std::optional<int64_t> knownRevision() const
    {
        const bool isListed = phase_ != Phase::Listing && phase_ != Phase::Retrying;
        return isListed ? std::optional(revision_) : std::nullopt;
    }

    FeedResult applyFeedPage(int64_t after, const StorePage& page)
    {
        const bool isOfOtherEra = eraOf(page.revision) != eraOf(revision_);
        if (phase_ != Phase::Following || page.revision <= revision_ || isOfOtherEra)
            return FeedResult::Ignored;
        if (after > revision_)
            return FeedResult::Gap;
        pendingRevision_ = catchUpRevision_;
        handlePage(page, false);
        return FeedResult::Applied;
    }

    void relist()
    {
        if (phase_ == Phase::Following)
            list();
    }

    // What is known is of an older era, and a watch cannot continue from it.
    void onNewEra(Milliseconds delay)
    {
        // The listing in flight is of the new era, or is repeated.
        if (phase_ == Phase::Listing)
            return;
        if (phase_ == Phase::Watching)
            session_->transport_.cancelLongPoll(call_);
        pendingRevision_ = 0;
        enterPhase(Phase::Retrying);
        runAfter(delay, [this] { list(); });
    }

    void catchUpTo(int64_t revision)
    {
        if (revision <= revision_)
            return;
        // The changes of a kind with an interval would arrive late.
        const bool isPaced = phase_ == Phase::Following && interval_ > Milliseconds(0);
        if (isPaced || phase_ == Phase::Pausing || allowsStaleRead_) {
            session_->transport_.cancelLongPoll(call_);
            return startWatch(false);
        }
        if (phase_ == Phase::Listing || phase_ == Phase::Retrying) {
            pendingRevision_ = revision;
            return;
        }
        if (isCatchingUp_)
            return;
        isCatchingUp_ = true;
        catchUpRevision_ = revision;
        runAfter(catchUpTimeout, [this, revision] { restartIfBehind(revision); });
    }

private:
    // Whether the kind was listed in the store's present era.
    bool isKnown() const { return revision_ > 0 && eraOf(revision_) == session_->era_; }

    enum class Phase {
        Listing,
        Watching,
        Pausing, // Waits until the watch interval has passed.
        Following, // Another instance passes on the changes.
        Retrying, // Waits for the backoff before the next listing.
    };

    // Enters a phase; callbacks of earlier phases are ignored from now on.
    void enterPhase(Phase phase)
    {
        phase_ = phase;
        ++generation_;
        isCatchingUp_ = false;
        allowsStaleRead_ = false;
        timer_.cancel();
    }

    // Enters the phase and returns the callback of its call.
    PageCallback beginListing()
    {
        enterPhase(Phase::Listing);
        return [self = shared_from_this(), generation = generation_](const absl::StatusOr<StorePage>& page) {
            if (!self->session_ || self->generation_ != generation)
                return;
            if (!page.ok())
                return self->retry(page.status());
            self->handlePage(*page, true);
        };
    }

    // Runs the action after `time`, unless another phase begins or the watch is stopped first.
    void runAfter(Duration time, std::function<void()> action)
    {
        timer_.expires_after(time);
        timer_.async_wait([self = shared_from_this(), generation = generation_, action = std::move(action)](
                              std::error_code error) {
            if (!error && self->session_ && self->generation_ == generation)
                action();
        });
    }

    // Starts the next watch now, or once the interval since the start of the last watch has passed.
    void scheduleWatch()
    {
        if (session_->isFollowing_) {
            const int64_t pending = std::exchange(pendingRevision_, 0);
            enterPhase(Phase::Following);
            return catchUpTo(pending);
        }
        const Duration left
            = watchStartedAt_ ? *watchStartedAt_ + interval_ - BootClock::now() : Duration::zero();
        // With an interval, changes may arrive late anyway, so a stale read is sufficient and cheaper.
        const bool mayBeStale = interval_ > Milliseconds(0);
        if (std::exchange(pendingRevision_, 0) > revision_)
            return startWatch(false);
        if (left <= Duration::zero())
            return startWatch(mayBeStale);
        enterPhase(Phase::Pausing);
        runAfter(left, [this, mayBeStale] { startWatch(mayBeStale); });
    }

    void startWatch(bool mayBeStale)
    {
        enterPhase(Phase::Watching);
        allowsStaleRead_ = mayBeStale;
        watchStartedAt_ = BootClock::now();
        call_ = session_->fetchEvents(kind_, revision_, mayBeStale,
            [self = shared_from_this(), generation = generation_](const absl::StatusOr<StorePage>& page) {
                if (!self->session_ || self->generation_ != generation)
                    return;
                if (absl::IsOutOfRange(page.status()))
                    return self->list();
                if (!page.ok())
                    return self->retry(page.status());
                self->handlePage(*page, false);
            });
    }

    // If the watch in flight has not delivered the revision by now, its connection is considered dead.
    void restartIfBehind(int64_t revision)
    {
        if (revision <= revision_)
            return;
        log(LogLevel::Info, "store-watch-silent",
            { { "kind", kind_ }, { "revision", revision_ }, { "newer", revision } });
        session_->transport_.cancelLongPoll(call_);
        session_->transport_.closeIdle();
        listBothWays();
    }

    void handlePage(const StorePage& page, bool isFullListing)
    {
        nextBackoff_ = session_->backoff_.initial;
        revision_ = std::max(revision_, page.revision);
        const auto generation = generation_;
        if (std::exchange(unreadable_, page.unreadable) != page.unreadable && page.unreadable > 0)
            log(LogLevel::Warning, "objects-unreadable",
                { { "kind", kind_ }, { "count", page.unreadable }, { "cause", page.cause } });
        if (session_->pageObserver_)
            session_->pageObserver_(kind_, page, isFullListing);
        if (isFullListing || !page.objects.empty())
            handler_(page, isFullListing);
        if (!session_ || generation != generation_)
            return;
        const bool isEmpty = isFullListing && page.objects.empty();
        const bool isPaced = interval_ > Milliseconds(0);
        if (!isEmpty || isPaced || session_->isFollowing_ || pendingRevision_ > revision_) {
            scheduleWatch();
        } else {
            enterPhase(Phase::Pausing);
            runAfter(emptyKindDelay, [this] { scheduleWatch(); });
        }
        session_->onDirectAnswer();
    }

    void retry(const absl::Status& cause)
    {
        log(LogLevel::Info, "store-watch-broken",
            { { "kind", kind_ }, { "revision", revision_ }, { "cause", std::string(cause.message()) } });
        // The other instance notices itself whether it can pass on all changes since the last known revision.
        if (session_->isFollowing_ && isKnown())
            return enterPhase(Phase::Following);
        enterPhase(Phase::Retrying);
        runAfter(nextBackoff_, [this] { list(); });
        nextBackoff_ = std::min(nextBackoff_ * 2, session_->backoff_.max);
    }

    // The time in which a watch must deliver a change that another instance has seen. It is longer than the
    // response time of a slow store.
    static constexpr Milliseconds catchUpTimeout { 500 };
    // The first watch of a kind without objects is delayed: when a whole fleet starts, another instance may
    // pass its first objects on by then.
    static constexpr Milliseconds emptyKindDelay { 2'000 };

    StoreSession* session_; // Null after stop().
    std::string kind_;
    ChangeHandler handler_;
    asio::steady_timer timer_;
    Milliseconds nextBackoff_;
    Milliseconds interval_ { 0 };
    std::optional<TimePoint> watchStartedAt_;
    Phase phase_ = Phase::Listing;
    int64_t generation_ = 0; // Incremented on each phase change to recognize outdated callbacks.
    bool isCatchingUp_ = false; // catchUpRevision_ must be delivered within catchUpTimeout.
    int64_t catchUpRevision_ = 0;
    bool allowsStaleRead_ = false; // The watch in flight allows stale reads.
    StoreTransport::CallId call_ = 0; // The watch in flight.
    int64_t revision_ = 0;
    int unreadable_ = 0; // Objects that the last page left out.
    int64_t pendingRevision_ = 0; // Announced by another instance while no watch was in flight.
};

}
