#pragma once

#include "base/time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace persimmonfield {

// Requests that wait for a backend server, in one queue per team. The teams are served in round-robin order,
// so that the load of one team does not delay a team that stays within its share. Not thread-safe.
template <typename Item> class FairQueue {
public:
    // Holds at most `capacity` items. An item that waits longer than `maxWait` is overdue.
    FairQueue(size_t capacity, Duration maxWait)
        : capacity_(capacity)
        , maxWait_(maxWait)
    {
    }

    size_t size() const { return size_; }

    // Adds the item. If the capacity is exceeded, removes and returns the newest item of the longest team
    // queue, which may be the added item itself.
    std::optional<Item> push(const std::string& team, Item item, TimePoint now)
    {
        teamQueues_[team].push_back({ std::move(item), now });
        ++size_;
        if (size_ <= capacity_)
            return std::nullopt;
        auto longest = teamQueues_.begin();
        for (auto queue = teamQueues_.begin(); queue != teamQueues_.end(); ++queue) {
            if (queue->second.size() > longest->second.size())
                longest = queue;
        }
        Item evicted = std::move(longest->second.back().item);
        longest->second.pop_back();
        --size_;
        removeIfEmpty(longest);
        return evicted;
    }

    // Removes and returns the oldest item of the next team in turn.
    std::optional<Item> pop()
    {
        if (size_ == 0)
            return std::nullopt;
        auto queue = teamQueues_.upper_bound(lastServedTeam_);
        if (queue == teamQueues_.end())
            queue = teamQueues_.begin();
        lastServedTeam_ = queue->first;
        Item item = std::move(queue->second.front().item);
        queue->second.pop_front();
        --size_;
        removeIfEmpty(queue);
        return item;
    }

    // Removes and returns an item that has waited longer than the maximum, if there is one.
    std::optional<Item> popOverdue(TimePoint now)
    {
        for (auto queue = teamQueues_.begin(); queue != teamQueues_.end(); ++queue) {
            if (now - queue->second.front().enqueuedAt <= maxWait_)
                continue;
            Item item = std::move(queue->second.front().item);
            queue->second.pop_front();
            --size_;
            removeIfEmpty(queue);
            return item;
        }
        return std::nullopt;
    }

private:
    struct Entry {
        Item item;
        TimePoint enqueuedAt;
    };
    using TeamQueues = std::map<std::string, std::deque<Entry>>;

    void removeIfEmpty(typename TeamQueues::iterator queue)
    {
        if (queue->second.empty())
            teamQueues_.erase(queue);
    }

    size_t capacity_;
    Duration maxWait_;
    size_t size_ = 0;
    std::string lastServedTeam_;
    TeamQueues teamQueues_;
};

}
