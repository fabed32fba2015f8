#include "store/storesession.h"

#include "base/logger.h"

#include <asio/steady_timer.hpp>
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

// Follows one kind: a whole listing, then one waiting watch after the other.
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
        session_->list(kind_, false, [self = shared_from_this()](const absl::StatusOr<StorePage>& page) {
            if (!self->session_)
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

    void retryNow()
    {
        if (!std::exchange(isRetrying_, false))
            return;
        timer_.cancel();
        resume();
    }

    void setInterval(Milliseconds interval) { interval_ = interval; }

    void hurry(int64_t revision)
    {
        if (!isPausing_ || revision <= revision_)
            return;
        timer_.cancel();
        follow();
    }

private:
    // Follows on at once, or when the interval since the last watch has passed.
    void followInTime()
    {
        const Duration left = followedAt_ ? *followedAt_ + interval_ - BootClock::now() : Duration::zero();
        if (left <= Duration::zero())
            return follow();
        isPausing_ = true;
        timer_.expires_after(left);
        timer_.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error && self->session_ && self->isPausing_)
                self->follow();
        });
    }

    void follow()
    {
        isPausing_ = false;
        followedAt_ = BootClock::now();
        session_->fetchEvents(
            kind_, revision_, [self = shared_from_this()](const absl::StatusOr<StorePage>& page) {
                if (!self->session_)
                    return;
                if (absl::IsOutOfRange(page.status()))
                    return self->list();
                if (!page.ok())
                    return self->retry(page.status());
                self->take(*page, false);
            });
    }

    void take(const StorePage& page, bool isWhole)
    {
        pause_ = session_->pauses_.first;
        revision_ = std::max(revision_, page.revision);
        if (isWhole || !page.objects.empty())
            handler_(page, isWhole);
        if (session_)
            followInTime();
    }

    void retry(const absl::Status& cause)
    {
        log(LogLevel::Info, "store-watch-broken",
            { { "kind", kind_ }, { "revision", revision_ }, { "cause", std::string(cause.message()) } });
        isRetrying_ = true;
        timer_.expires_after(pause_);
        pause_ = std::min(pause_ * 2, session_->pauses_.longest);
        timer_.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error && self->session_ && std::exchange(self->isRetrying_, false))
                self->resume();
        });
    }

    void resume()
    {
        if (revision_ > 0)
            follow();
        else
            list();
    }

    StoreSession* session_; // Null once stopped.
    std::string kind_;
    ChangeHandler handler_;
    asio::steady_timer timer_;
    Milliseconds pause_;
    bool isRetrying_ = false; // After the pause.
    Milliseconds interval_ { 0 };
    std::optional<TimePoint> followedAt_;
    bool isPausing_ = false; // Until the interval has passed.
    int64_t revision_ = 0;
};

StoreSession::StoreSession(
    asio::io_context& loop, StoreTransport& transport, StoreDialect dialect, StoreRetryPauses pauses)
    : loop_(loop)
    , transport_(transport)
    , dialect_(std::move(dialect))
    , pauses_(pauses)
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

void StoreSession::retryWatches()
{
    for (const auto& [kind, watch] : watches_)
        watch->retryNow();
}

void StoreSession::setWatchInterval(const std::string& kind, Milliseconds interval)
{
    watches_.at(kind)->setInterval(interval);
}

void StoreSession::hurryWatch(const std::string& kind, int64_t revision)
{
    watches_.at(kind)->hurry(revision);
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

void StoreSession::fetchEvents(const std::string& kind, int64_t afterRevision, const PageDone& done)
{
    const bool isDirect = transport_.isReachable();
    const Milliseconds wait = isDirect ? watchWait : relayedWatchWait;
    const Milliseconds patience = isDirect ? callTimeout : relayedWatchPatience;
    transport_.callWaiting(dialect_.watch(kind, afterRevision, wait), wait + patience,
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
