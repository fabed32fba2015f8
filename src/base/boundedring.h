#pragma once

#include "base/time.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace persimmonfield {

// A first-in first-out queue of fixed capacity that joins the threads of two duties. Any number of threads
// may push and pop.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(size_t capacity)
        : slots_(capacity)
    {
    }

    // Adds the item and answers true, or answers false when the ring is full or closed.
    bool tryPush(T item)
    {
        {
            std::lock_guard lock(mutex_);
            if (isClosed_ || count_ == slots_.size())
                return false;
            slots_[(first_ + count_) % slots_.size()] = std::move(item);
            ++count_;
        }
        ready_.notify_one();
        return true;
    }

    // Takes the oldest item, waiting for one at most `patience`; nothing when none came or the ring is
    // closed and empty.
    std::optional<T> pop(Duration patience)
    {
        std::unique_lock lock(mutex_);
        ready_.wait_for(lock, patience, [this] { return count_ > 0 || isClosed_; });
        if (count_ == 0)
            return std::nullopt;
        T item = std::move(slots_[first_]);
        slots_[first_] = T();
        first_ = (first_ + 1) % slots_.size();
        --count_;
        return item;
    }

    // Refuses further items and wakes every waiting thread; what is inside can still be popped.
    void close()
    {
        {
            std::lock_guard lock(mutex_);
            isClosed_ = true;
        }
        ready_.notify_all();
    }

    bool isClosed() const
    {
        std::lock_guard lock(mutex_);
        return isClosed_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable ready_;
    std::vector<T> slots_;
    size_t first_ = 0;
    size_t count_ = 0;
    bool isClosed_ = false;
};

}
