#pragma once

#include "base/boundedqueue.h"
#include "store/resolvedwrite.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace persimmonfield {

struct StoreWorkerOptions {
    std::string platformUrl;
    // Runs a function on the control thread.
    std::function<void(const std::function<void()>&)> post;
    // Called on the control thread with news from the store.
    std::function<void(int64_t after, ObjectListing news)> onNews;
    // The revision up to which this daemon knows everything.
    std::function<int64_t()> knownRevision;
    // Whether this daemon is one of the few that watch the store.
    std::function<bool()> shouldWatch;
};

// The threads that wait for the platform's store: a few that write, one that watches.
class StoreWorker {
public:
    explicit StoreWorker(StoreWorkerOptions options);
    ~StoreWorker();

    void start();
    void stop();

    // Carries the write out; `done` runs on the control thread. `sentAt` is from when on it may have taken
    // effect.
    void write(IdentifiedWrite write, const std::function<void(WriteResult result, TimePoint sentAt)>& done);

    // Removes an object nobody needs any more, if its version is still that; nobody waits for it.
    void remove(const std::string& name, int64_t version);

    // Whether a call to the store succeeded lately.
    bool isStoreReachable() const;

private:
    struct Job {
        IdentifiedWrite write;
        bool isRemoval = false;
        std::function<void(WriteResult, TimePoint)> done;
    };

    void runWriter();
    void runWatcher();
    bool load(const ObjectClient& client);
    void pauseAfterFailure();
    void noteReached();

    StoreWorkerOptions options_;
    BoundedQueue<Job> jobs_;
    std::atomic<int64_t> lastReached_ { 0 }; // BootClock, nanoseconds; 0 for never.
    std::vector<std::thread> threads_;
};

}
