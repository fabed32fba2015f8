#include "store/storesession.h"

#include "base/logger.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr int statusOk = 200;
    constexpr int statusCreated = 201;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusGone = 410;
    constexpr int statusTooMany = 429;
    constexpr int statusUnavailable = 503;
    // Longer than a slow store takes, shorter than the bounds on configuration.
    constexpr Milliseconds callTimeout { 1'500 };
    // A waiting watch is one call; the store ends it after 30 s at most.
    constexpr Milliseconds watchWait { 25'000 };
    // Through another instance, whose own way to the store may end meanwhile.
    constexpr Milliseconds relayedWatchWait { 500 };
    // Beyond the wait: the other instance may have ended.
    constexpr Milliseconds relayedWatchPatience { 300 };
    // How long a watch has to tell of a change that another instance knows of: longer than a slow store
    // takes.
    constexpr Milliseconds hurryPatience { 500 };
    // After one call failed: the next one may show that the store was there all the while.
    constexpr Milliseconds lostPatience { 500 };

    absl::Status statusOf(const CallResult& result)
    {
        if (result.outcome != CallOutcome::Answered)
            return absl::UnavailableError(result.detail);
        if (result.response.status == statusGone)
            return absl::OutOfRangeError("the store's history is gone");
        if (result.response.status != statusOk)
            return absl::UnavailableError(fmt::format("status {}", result.response.status));
        return absl::OkStatus();
    }

}

// Follows one kind: a whole listing, then one waiting watch after the other. After a break it lists anew: a
// store that forgets its history, or a way to it that silenced one connection, may leave a watch that goes on
// from an old revision without an answer.
class StoreSession::KindWatch : public std::enable_shared_from_this<KindWatch> {
public:
    KindWatch(StoreSession& session, std::string kind, ChangeHandler handler)
        : session_(&session)
        , kind_(std::move(kind))
        , handler_(std::move(handler))
        , timer_(session.loop_)
        , pause_(session.pauses_.first)
    {
    }

    void list()
    {
        begin(Phase::Listing);
        session_->list(
            kind_, false, [self = shared_from_this(), step = step_](const absl::StatusOr<StorePage>& page) {
                if (!self->session_ || self->step_ != step)
                    return;
                if (!page.ok())
                    return self->retry(page.status());
                self->take(*page, true);
            });
    }

    void stop()
    {
        session_ = nullptr;
        timer_.cancel();
    }

    // A watch that was waiting when the store was lost may wait on a connection that has gone silent.
    void renew()
    {
        if (phase_ == Phase::Watching)
            session_->transport_.cancelWaiting(call_);
        if (phase_ == Phase::Watching || phase_ == Phase::Retrying)
            list();
    }

    void setInterval(Milliseconds interval) { interval_ = interval; }

    void hurry(int64_t revision)
    {
        if (revision <= revision_)
            return;
        if (phase_ == Phase::Pausing || isStale_) {
            session_->transport_.cancelWaiting(call_);
            return follow(false);
        }
        if (phase_ == Phase::Listing || phase_ == Phase::Retrying) {
            toldOf_ = revision;
            return;
        }
        if (isHurried_)
            return;
        isHurried_ = true;
        await(hurryPatience, [this, revision] { giveUpIfBehind(revision); });
    }

private:
    enum class Phase {
        Listing,
        Watching,
        Pausing, // Until the interval has passed.
        Retrying, // After a pause.
    };

    // What was begun before has no effect any more.
    void begin(Phase phase)
    {
        phase_ = phase;
        ++step_;
        isHurried_ = false;
        isStale_ = false;
        timer_.cancel();
    }

    // Does it after that time, if the same step lasts until then.
    void await(Duration time, std::function<void()> action)
    {
        timer_.expires_after(time);
        timer_.async_wait(
            [self = shared_from_this(), step = step_, action = std::move(action)](std::error_code error) {
                if (!error && self->session_ && self->step_ == step)
                    action();
            });
    }

    // Follows on at once, or when the interval since the last watch has passed.
    void followInTime()
    {
        const Duration left = followedAt_ ? *followedAt_ + interval_ - BootClock::now() : Duration::zero();
        // Where changes may be learned of later anyway, they may be read from a stale copy, which costs less.
        const bool mayBeStale = interval_ > Milliseconds(0);
        if (std::exchange(toldOf_, 0) > revision_)
            return follow(false);
        if (left <= Duration::zero())
            return follow(mayBeStale);
        begin(Phase::Pausing);
        await(left, [this, mayBeStale] { follow(mayBeStale); });
    }

    void follow(bool mayBeStale)
    {
        begin(Phase::Watching);
        isStale_ = mayBeStale;
        followedAt_ = BootClock::now();
        call_ = session_->fetchEvents(kind_, revision_, mayBeStale,
            [self = shared_from_this(), step = step_](const absl::StatusOr<StorePage>& page) {
                if (!self->session_ || self->step_ != step)
                    return;
                if (absl::IsOutOfRange(page.status()))
                    return self->list();
                if (!page.ok())
                    return self->retry(page.status());
                self->take(*page, false);
            });
    }

    // The watch under way should have told of the revision by now: its connection has gone silent.
    void giveUpIfBehind(int64_t revision)
    {
        if (revision <= revision_)
            return;
        log(LogLevel::Info, "store-watch-silent",
            { { "kind", kind_ }, { "revision", revision_ }, { "newer", revision } });
        session_->transport_.cancelWaiting(call_);
        session_->transport_.closeIdle();
        list();
    }

    void take(const StorePage& page, bool isWhole)
    {
        pause_ = session_->pauses_.first;
        revision_ = std::max(revision_, page.revision);
        const auto step = step_;
        if (isWhole || !page.objects.empty())
            handler_(page, isWhole);
        if (session_ && step == step_)
            followInTime();
    }

    void retry(const absl::Status& cause)
    {
        log(LogLevel::Info, "store-watch-broken",
            { { "kind", kind_ }, { "revision", revision_ }, { "cause", std::string(cause.message()) } });
        begin(Phase::Retrying);
        await(pause_, [this] { list(); });
        pause_ = std::min(pause_ * 2, session_->pauses_.longest);
    }

    StoreSession* session_; // Null once stopped.
    std::string kind_;
    ChangeHandler handler_;
    asio::steady_timer timer_;
    Milliseconds pause_;
    Milliseconds interval_ { 0 };
    std::optional<TimePoint> followedAt_;
    Phase phase_ = Phase::Listing;
    int64_t step_ = 0; // Counts what was begun.
    bool isHurried_ = false; // The watch under way is given up soon unless it tells of a newer revision.
    bool isStale_ = false; // The watch under way reads from a copy that may be stale.
    StoreTransport::CallId call_ = 0; // The watch under way.
    int64_t revision_ = 0;
    int64_t toldOf_ = 0; // The revision that another instance told of while no watch was under way.
};

StoreSession::StoreSession(
    asio::io_context& loop, StoreTransport& transport, StoreDialect dialect, StoreRetryPauses pauses)
    : loop_(loop)
    , transport_(transport)
    , dialect_(std::move(dialect))
    , pauses_(pauses)
    , lostTimer_(loop)
    , probeTimer_(loop)
{
}

StoreSession::~StoreSession()
{
    for (const auto& [kind, watch] : watches_)
        watch->stop();
}

void StoreSession::watch(const std::string& kind, ChangeHandler handler)
{
    const auto watch = std::make_shared<KindWatch>(*this, kind, std::move(handler));
    watches_[kind] = watch;
    watch->list();
}

void StoreSession::onReachable(bool isReachable)
{
    lostTimer_.cancel();
    if (isReachable)
        return renewWatches();
    lostTimer_.expires_after(lostPatience);
    lostTimer_.async_wait([this](std::error_code error) {
        if (!error && !transport_.isReachable())
            renewWatches();
    });
}

void StoreSession::probe(const std::string& kind, Milliseconds interval)
{
    const Duration quiet = BootClock::now() - transport_.lastAnswer();
    const bool isDue = quiet >= interval;
    // A lost store is tried by the watches.
    if (isDue && transport_.isReachable())
        list(kind, true, [](const absl::StatusOr<StorePage>&) {});
    probeTimer_.expires_after(isDue ? interval : interval - quiet);
    probeTimer_.async_wait([this, kind, interval](std::error_code error) {
        if (!error)
            probe(kind, interval);
    });
}

void StoreSession::renewWatches()
{
    for (const auto& [kind, watch] : watches_)
        watch->renew();
}

void StoreSession::setWatchInterval(const std::string& kind, Milliseconds interval)
{
    watches_.at(kind)->setInterval(interval);
}

void StoreSession::hurryWatch(const std::string& kind, int64_t revision)
{
    const auto watch = watches_.find(kind);
    if (watch != watches_.end())
        watch->second->hurry(revision);
}

void StoreSession::list(const std::string& kind, bool mayBeStale, const PageDone& done)
{
    listFrom(kind, mayBeStale, {}, done);
}

// Follows the pages; the first one's revision counts, since what changed between them comes with a watch.
void StoreSession::listFrom(const std::string& kind, bool mayBeStale, StorePage before, const PageDone& done)
{
    const std::string after = before.objects.empty() ? std::string() : before.objects.back().name;
    transport_.call(dialect_.list(kind, after, mayBeStale), callTimeout,
        [this, kind, mayBeStale, before = std::move(before), done](const CallResult& result) mutable {
            if (absl::Status status = statusOf(result); !status.ok())
                return done(std::move(status));
            auto page = dialect_.readPage(kind, result.response.body);
            if (!page.ok())
                return done(page.status());
            const bool isFirst = before.revision == 0;
            before.revision = isFirst ? page->revision : before.revision;
            const bool hasMore = page->hasMore && !page->objects.empty();
            std::move(page->objects.begin(), page->objects.end(), std::back_inserter(before.objects));
            if (hasMore)
                return listFrom(kind, mayBeStale, std::move(before), done);
            done(std::move(before));
        });
}

StoreTransport::CallId StoreSession::fetchEvents(
    const std::string& kind, int64_t afterRevision, bool mayBeStale, const PageDone& done)
{
    const bool isDirect = transport_.isReachable();
    const Milliseconds wait = isDirect ? watchWait : relayedWatchWait;
    const Milliseconds patience = isDirect ? callTimeout : relayedWatchPatience;
    return transport_.callWaiting(dialect_.watch(kind, afterRevision, wait, mayBeStale), wait + patience,
        [this, kind, done](const CallResult& result) {
            if (absl::Status status = statusOf(result); !status.ok())
                return done(std::move(status));
            done(dialect_.readEvents(kind, result.response.body));
        });
}

void StoreSession::write(const StoreWrite& write, const WriteDone& done)
{
    transport_.call(
        dialect_.write(write), callTimeout, [this, kind = write.kind, done](const CallResult& result) {
            StoreWriteResult written;
            written.detail = result.detail;
            if (result.outcome == CallOutcome::NotSent)
                written.outcome = WriteOutcome::Refused;
            if (result.outcome != CallOutcome::Answered)
                return done(std::move(written));
            const int status = result.response.status;
            written.detail = fmt::format("status {}", status);
            const bool isApplied = status == statusOk || status == statusCreated;
            const bool isConflict = status == statusConflict || status == statusNotFound;
            if (isApplied)
                written.outcome = WriteOutcome::Applied;
            else if (isConflict)
                written.outcome = WriteOutcome::Conflict;
            else if (status == statusTooMany || status == statusUnavailable)
                written.outcome = WriteOutcome::Refused;
            if (isApplied || status == statusConflict) {
                auto object = dialect_.readObject(kind, result.response.body);
                if (object.ok())
                    written.object = *std::move(object);
                else if (isApplied)
                    written.outcome = WriteOutcome::Unknown;
            }
            done(std::move(written));
        });
}

}
