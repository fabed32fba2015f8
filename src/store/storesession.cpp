#include "store/storesession.h"

#include "base/logger.h"
#include "store/kindwatch.h"
#include "store/storeanswers.h"

#include <absl/strings/numbers.h>
#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    // Longer than the response time of a slow store, shorter than the time limits on configuration changes.
    constexpr Milliseconds callTimeout { 1'500 };
    // The wait of one long-poll call. The store ends such calls after at most 30 s.
    constexpr Milliseconds watchWait { 25'000 };
    // The wait of a relayed watch. It is short because the other instance may lose the store in the meantime.
    constexpr Milliseconds relayedWatchWait { 500 };
    // Added to the wait to get the call's timeout. It is short because the other instance may have stopped.
    constexpr Milliseconds relayedWatchMargin { 300 };
    // A probe that has no answer after this time suggests that the store is silent to this instance. It is
    // longer than the response time of a slow store.
    constexpr Milliseconds silenceTime { 500 };
    // Delay after a failed call before watches restart. The next call may show that the store is reachable.
    constexpr Milliseconds restartDelay { 500 };

}

StoreSession::StoreSession(
    asio::io_context& loop, StoreTransport& transport, StoreDialect dialect, StoreRetryBackoff backoff)
    : loop_(loop)
    , transport_(transport)
    , dialect_(std::move(dialect))
    , backoff_(backoff)
    , restartTimer_(loop)
    , probeTimer_(loop)
    , silenceTimer_(loop)
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

void StoreSession::onReachabilityChanged(bool isReachable)
{
    restartTimer_.cancel();
    if (isReachable)
        return restartWatches();
    restartTimer_.expires_after(restartDelay);
    restartTimer_.async_wait([this](std::error_code error) {
        if (!error && !transport_.isReachable())
            restartWatches();
    });
}

void StoreSession::probe(const std::string& kind, Milliseconds interval)
{
    probedKind_ = kind;
    const Duration sinceLastAnswer = BootClock::now() - transport_.lastAnswerAt();
    const bool isDue = sinceLastAnswer >= interval;
    // While the store is unreachable, the watches retry it.
    if (isDue && transport_.isReachable() && !isFollowing_) {
        list(kind, true, [](const absl::StatusOr<StorePage>&) {});
        suspectSilence(transport_.lastAnswerAt());
    }
    probeTimer_.expires_after(isDue ? interval : interval - sinceLastAnswer);
    probeTimer_.async_wait([this, kind, interval](std::error_code error) {
        if (!error)
            probe(kind, interval);
    });
}

// Reads through other instances if the store has sent no response for a while since `lastAnswerAt`.
void StoreSession::suspectSilence(TimePoint lastAnswerAt)
{
    if (std::exchange(suspectedSince_, lastAnswerAt) == lastAnswerAt)
        return;
    silenceTimer_.expires_after(silenceTime);
    silenceTimer_.async_wait([this, lastAnswerAt](std::error_code error) {
        if (error || !transport_.isReachable() || transport_.lastAnswerAt() != lastAnswerAt)
            return;
        for (const auto& [kind, watch] : watches_)
            watch->readThroughOthers();
    });
}

void StoreSession::onDirectAnswer()
{
    const bool areAllOpen = std::all_of(
        watches_.begin(), watches_.end(), [](const auto& watch) { return watch.second->isOpen(); });
    // Pages that came through another instance do not show that the direct watches are alive.
    if (!areAllOpen || transport_.lastAnswerAt() <= currentAt_)
        return;
    currentAt_ = transport_.lastAnswerAt();
    if (onCurrent_)
        onCurrent_(currentAt_);
}

void StoreSession::checkStore(Milliseconds timeout, const std::function<void(bool hasResponded)>& done)
{
    countCall("list", probedKind_, true);
    transport_.callOnlyDirectly(
        dialect_.list(probedKind_, {}, true), timeout, [this, done](const CallResult& result) {
            const bool hasResponded = isOfStore(result) && eraOfAnswer(result);
            if (!hasResponded)
                transport_.closeIdle();
            done(hasResponded);
        });
}

void StoreSession::observeEra(int64_t era)
{
    if (era > maxEra || (isEraKnown_ && era <= era_))
        return;
    const bool isFirst = !std::exchange(isEraKnown_, true);
    const int64_t before = std::exchange(era_, era);
    if (onNewEra_ && (era > 0 || !isFirst))
        onNewEra_(era);
    if (isFirst)
        return;
    log(LogLevel::Warning, "store-restored", { { "era", era }, { "before", before } });
    for (const auto& [kind, watch] : watches_)
        watch->onNewEra(relistDelay());
}

// The era in which the store gave the answer; nullopt if the store has been restored since, so that nothing
// in the answer is true any more.
std::optional<int64_t> StoreSession::eraOfAnswer(const CallResult& result)
{
    int64_t era = 0;
    const std::string* header
        = dialect_.eraHeader.empty() ? nullptr : result.response.header(dialect_.eraHeader);
    if (header && !absl::SimpleAtoi(*header, &era))
        return std::nullopt;
    observeEra(era);
    return era == era_ ? std::optional(era) : std::nullopt;
}

void StoreSession::restartWatches()
{
    for (const auto& [kind, watch] : watches_)
        watch->restart();
}

void StoreSession::setFollowing(bool isFollowing)
{
    if (std::exchange(isFollowing_, isFollowing) == isFollowing)
        return;
    for (const auto& [kind, watch] : watches_)
        watch->setFollowing(isFollowing);
}

std::map<std::string, int64_t> StoreSession::revisions() const
{
    std::map<std::string, int64_t> revisions;
    for (const auto& [kind, watch] : watches_) {
        if (const auto revision = watch->knownRevision())
            revisions[kind] = *revision;
    }
    return revisions;
}

StoreSession::FeedResult StoreSession::applyFeedPage(
    const std::string& kind, int64_t after, const StorePage& page)
{
    const auto watch = watches_.find(kind);
    return watch == watches_.end() ? FeedResult::Ignored : watch->second->applyFeedPage(after, page);
}

void StoreSession::relist(const std::string& kind)
{
    if (const auto watch = watches_.find(kind); watch != watches_.end())
        watch->second->relist();
}

void StoreSession::setWatchInterval(const std::string& kind, Milliseconds interval)
{
    watches_.at(kind)->setInterval(interval);
}

void StoreSession::catchUpTo(const std::string& kind, int64_t revision)
{
    const auto watch = watches_.find(kind);
    if (watch != watches_.end())
        watch->second->catchUpTo(revision);
}

void StoreSession::list(const std::string& kind, bool mayBeStale, const PageCallback& done)
{
    // While the store is unreachable, a direct call would probably use up the whole timeout first.
    const ReadPath path = transport_.isReachable() ? ReadPath::Usual : ReadPath::BothWays;
    listFrom(kind, mayBeStale, path, {}, done);
}

void StoreSession::listBothWays(const std::string& kind, const PageCallback& done)
{
    listFrom(kind, false, ReadPath::BothWays, {}, done);
}

void StoreSession::countCall(const char* action, const std::string& kind, bool mayBeStale) const
{
    if (counters_)
        counters_->counter(
            "store_calls_total", "call", fmt::format("{}{} {}", action, mayBeStale ? "-stale" : "", kind))++;
}

// Reads page after page. The result has the first page's revision; a watch delivers what changed since then.
void StoreSession::listFrom(
    const std::string& kind, bool mayBeStale, ReadPath path, StorePage collected, const PageCallback& done)
{
    countCall("list", kind, mayBeStale);
    const std::string after = collected.objects.empty() ? std::string() : collected.objects.back().name;
    const auto onResult = [this, kind, mayBeStale, path, collected = std::move(collected), done](
                              const CallResult& result) mutable {
        if (absl::Status status = statusOf(result); !status.ok())
            return done(std::move(status));
        const auto era = eraOfAnswer(result);
        if (!era)
            return done(absl::UnavailableError(olderEraCause));
        auto page = inEra(*era, dialect_.readPage(kind, result.response.body));
        if (!page.ok())
            return done(page.status());
        const bool isFirst = collected.revision == 0;
        if (!isFirst && eraOf(collected.revision) != *era)
            return done(absl::UnavailableError("the store was restored during the listing"));
        collected.revision = isFirst ? page->revision : collected.revision;
        collected.unreadable += page->unreadable;
        if (page->unreadable > 0)
            collected.cause = page->cause;
        const bool hasMore = page->hasMore && !page->objects.empty();
        std::move(page->objects.begin(), page->objects.end(), std::back_inserter(collected.objects));
        if (hasMore)
            return listFrom(kind, mayBeStale, path, std::move(collected), done);
        done(std::move(collected));
    };
    const HttpRequest request = dialect_.list(kind, after, mayBeStale);
    if (path == ReadPath::BothWays)
        transport_.callBothWays(request, callTimeout, onResult);
    else
        transport_.call(request, callTimeout, onResult);
}

StoreTransport::CallId StoreSession::fetchEvents(
    const std::string& kind, int64_t afterRevision, bool mayBeStale, const PageCallback& done)
{
    countCall("watch", kind, mayBeStale);
    const bool isDirect = transport_.isReachable();
    const Milliseconds wait = isDirect ? watchWait : relayedWatchWait;
    const Milliseconds margin = isDirect ? callTimeout : relayedWatchMargin;
    return transport_.callLongPoll(dialect_.watch(kind, storeNumberOf(afterRevision), wait, mayBeStale),
        wait + margin, [this, kind, afterRevision, done](const CallResult& result) {
            if (absl::Status status = statusOf(result); !status.ok())
                return done(std::move(status));
            const auto era = eraOfAnswer(result);
            if (!era)
                return done(absl::UnavailableError(olderEraCause));
            if (*era != eraOf(afterRevision))
                return done(absl::OutOfRangeError("the store was restored during the watch"));
            done(inEra(*era, dialect_.readEvents(kind, result.response.body)));
        });
}

void StoreSession::write(const StoreWrite& write, const WriteCallback& done)
{
    if (write.expectedRevision > 0 && eraOf(write.expectedRevision) != era_) {
        asio::post(loop_, [done] { done({ WriteOutcome::Conflict, std::nullopt, olderEraCause }); });
        return;
    }
    countCall("write", write.kind, false);
    StoreWrite sent = write;
    sent.expectedRevision = storeNumberOf(write.expectedRevision);
    transport_.call(dialect_.write(sent), callTimeout,
        [this, write, done](const CallResult& result) { done(writeResult(write, result)); });
}

StoreWriteResult StoreSession::writeResult(const StoreWrite& write, const CallResult& result)
{
    return readWriteResult(dialect_, write, result, isOfStore(result) ? eraOfAnswer(result) : std::nullopt);
}

}
