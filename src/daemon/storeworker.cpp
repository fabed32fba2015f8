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
    constexpr Milliseconds retryTimeout { 3'000 };
    constexpr Milliseconds idlePause { 100 };
    constexpr Milliseconds idleWait { 1'000 };
    constexpr Milliseconds reachableTimeout { 2'500 };

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
            done({ WriteOutcome::Refused, 0, "too many writes are queued" }, BootClock::now());
        });
}

void StoreWorker::remove(const std::string& name, int64_t version)
{
    jobs_.tryPush({ { name, {}, version, {} }, true, nullptr });
}

bool StoreWorker::isStoreReachable() const
{
    const TimePoint reached { Duration(lastSuccess_.load()) };
    return lastSuccess_ != 0 && BootClock::now() - reached < reachableTimeout;
}

void StoreWorker::recordSuccess()
{
    lastSuccess_ = BootClock::now().time_since_epoch().count();
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
        WriteResult result = writeResolved(storeCalls(client, retryPause, retryTimeout), job->write);
        if (result.outcome == WriteOutcome::Applied || result.outcome == WriteOutcome::Conflict)
            recordSuccess();
        options_.post([done = std::move(job->done), result, sentAt] { done(result, sentAt); });
    }
}

void StoreWorker::pauseAfterFailure()
{
    std::this_thread::sleep_for(idlePause);
}

// Lists all objects once and reports them with the lowest revision of the listings. Changes between the
// listings are thus returned again by the watch.
bool StoreWorker::loadObjects(const ObjectClient& client)
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
    recordSuccess();
    options_.post([this, all = std::move(all)] { options_.onChanges(0, all); });
    return true;
}

void StoreWorker::runWatcher()
{
    const ObjectClient client(options_.platformUrl, callTimeout);
    bool isLoaded = false;
    while (!jobs_.isClosed()) {
        if (!isLoaded && options_.knownRevision() == 0) {
            isLoaded = loadObjects(client);
            if (!isLoaded)
                pauseAfterFailure();
            continue;
        }
        if (!options_.shouldWatch()) {
            std::this_thread::sleep_for(idlePause);
            continue;
        }
        const int64_t after = options_.knownRevision();
        auto changes = client.watch(after, watchWait);
        if (!changes.ok()) {
            pauseAfterFailure();
            continue;
        }
        recordSuccess();
        if (changes->revision < after)
            log(LogLevel::Error, "store-went-back", { { "known", after }, { "store", changes->revision } });
        else if (changes->revision > after)
            options_.post(
                [this, after, changes = *std::move(changes)] { options_.onChanges(after, changes); });
    }
}

}
