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
    // Called on the control thread with changes that were read from the store.
    std::function<void(int64_t after, ObjectListing changes)> onChanges;
    // The revision up to which this daemon's copy of the store is complete.
    std::function<int64_t()> knownRevision;
    // Whether this daemon has to watch the store; only a few daemons do.
    std::function<bool()> shouldWatch;
};

// Runs the blocking calls to the platform's store on threads of its own: several for writes, one for the
// watch.
class StoreWorker {
public:
    explicit StoreWorker(StoreWorkerOptions options);
    ~StoreWorker();

    void start();
    void stop();

    // Performs the write and calls `done` on the control thread. The write cannot have taken effect before
    // `sentAt`.
    void write(IdentifiedWrite write, const std::function<void(WriteResult result, TimePoint sentAt)>& done);

    // Removes an object if it still has this version. The result is not reported.
    void remove(const std::string& name, int64_t version);

    // Whether a call to the store has succeeded recently.
    bool isStoreReachable() const;

private:
    struct Job {
        IdentifiedWrite write;
        bool isRemoval = false;
        std::function<void(WriteResult, TimePoint)> done;
    };

    void runWriter();
    void runWatcher();
    bool loadObjects(const ObjectClient& client);
    void pauseAfterFailure();
    void recordSuccess();

    StoreWorkerOptions options_;
    BoundedQueue<Job> jobs_;
    std::atomic<int64_t> lastSuccess_ { 0 }; // Nanoseconds of BootClock; 0 if no call has succeeded yet.
    std::vector<std::thread> threads_;
};

}
