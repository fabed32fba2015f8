#pragma once

#include "base/time.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace persimmonfield {

// A thread-safe FIFO queue of fixed capacity, used to pass work between threads. It supports any number of
// producers and consumers.
template <typename T> class BoundedQueue {
public:
    explicit BoundedQueue(size_t capacity)
        : slots_(capacity)
    {
    }

    // Adds the item. Returns false if the queue is full or closed.
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

    // Removes the oldest item, waiting for one up to `timeout`. Returns nullopt on timeout or if the queue is
    // closed and empty.
    std::optional<T> pop(Duration timeout)
    {
        std::unique_lock lock(mutex_);
        ready_.wait_for(lock, timeout, [this] { return count_ > 0 || isClosed_; });
        if (count_ == 0)
            return std::nullopt;
        T item = std::move(slots_[first_]);
        slots_[first_] = T();
        first_ = (first_ + 1) % slots_.size();
        --count_;
        return item;
    }

    // Rejects further items and wakes all waiting threads. Items in the queue can still be popped.
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
