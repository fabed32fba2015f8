#include "daemon/storeworker.h"

#include "base/logger.h"
#include "config/configstore.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr int writerThreads = 4;
    constexpr size_t jobCapacity = 4096;
    constexpr Milliseconds callTimeout { 1'000 };
    constexpr Milliseconds watchWait { 1'000 };
    constexpr Milliseconds retryPause { 100 };
    constexpr Milliseconds retryPatience { 3'000 };
    constexpr Milliseconds idlePause { 100 };
    constexpr Milliseconds idleWait { 1'000 };
    constexpr Milliseconds reachableFor { 2'500 };

}

StoreWorker::StoreWorker(StoreWorkerOptions options)
    : options_(std::move(options))
    , jobs_(jobCapacity)
{
}

StoreWorker::~StoreWorker()
{
    stop();
}

void StoreWorker::start()
{
    for (int i = 0; i < writerThreads; ++i)
        threads_.emplace_back([this] { runWriter(); });
    threads_.emplace_back([this] { runWatcher(); });
}

void StoreWorker::stop()
{
    jobs_.close();
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
}

void StoreWorker::write(IdentifiedWrite write, const std::function<void(WriteResult, TimePoint)>& done)
{
    Job job { std::move(write), false, done };
    if (!jobs_.tryPush(std::move(job)))
        options_.post([done] {
            done({ WriteOutcome::Refused, 0, "too many writes wait" }, BootClock::now());
        });
}

void StoreWorker::remove(const std::string& name, int64_t version)
{
    jobs_.tryPush({ { name, {}, version, {} }, true, nullptr });
}

bool StoreWorker::isStoreReachable() const
{
    const TimePoint reached { Duration(lastReached_.load()) };
    return lastReached_ != 0 && BootClock::now() - reached < reachableFor;
}

void StoreWorker::noteReached()
{
    lastReached_ = BootClock::now().time_since_epoch().count();
}

void StoreWorker::runWriter()
{
    const ObjectClient client(options_.platformUrl, callTimeout);
    while (!jobs_.isClosed()) {
        auto job = jobs_.pop(idleWait);
        if (!job)
            continue;
        if (job->isRemoval) {
            client.remove(job->write.name, job->write.expectedVersion);
            continue;
        }
        const TimePoint sentAt = BootClock::now();
        WriteResult result = writeResolved(storeCalls(client, retryPause, retryPatience), job->write);
        if (result.outcome == WriteOutcome::Applied || result.outcome == WriteOutcome::Conflict)
            noteReached();
        options_.post([done = std::move(job->done), result, sentAt] { done(result, sentAt); });
    }
}

void StoreWorker::pauseAfterFailure()
{
    std::this_thread::sleep_for(idlePause);
}

// Reads all objects once. The earliest revision of the listings counts: what changed between them comes again
// with the watch.
bool StoreWorker::load(const ObjectClient& client)
{
    ObjectListing all;
    all.revision = -1;
    for (const char* prefix : { "nodes/", "table/", currentConfigObject, "config/chunk/" }) {
        auto listing = client.list(prefix);
        if (!listing.ok())
            return false;
        all.revision = all.revision < 0 ? listing->revision : std::min(all.revision, listing->revision);
        std::move(listing->objects.begin(), listing->objects.end(), std::back_inserter(all.objects));
    }
    noteReached();
    options_.post([this, all = std::move(all)] { options_.onNews(0, all); });
    return true;
}

void StoreWorker::runWatcher()
{
    const ObjectClient client(options_.platformUrl, callTimeout);
    bool isLoaded = false;
    while (!jobs_.isClosed()) {
        if (!isLoaded && options_.knownRevision() == 0) {
            isLoaded = load(client);
            if (!isLoaded)
                pauseAfterFailure();
            continue;
        }
        if (!options_.shouldWatch()) {
            std::this_thread::sleep_for(idlePause);
            continue;
        }
        const int64_t after = options_.knownRevision();
        auto news = client.watch(after, watchWait);
        if (!news.ok()) {
            pauseAfterFailure();
            continue;
        }
        noteReached();
        if (news->revision < after)
            log(LogLevel::Error, "store-went-back", { { "known", after }, { "store", news->revision } });
        else if (news->revision > after)
            options_.post([this, after, news = *std::move(news)] { options_.onNews(after, news); });
    }
}

}
