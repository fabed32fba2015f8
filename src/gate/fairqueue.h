#pragma once

#include "base/time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace persimmonfield {

// Requests that wait for a backend server, one line a team; teams take turns, so that a team within its
// share waits no longer however much another one sends. Not thread-safe.
template <typename Item> class FairQueue {
public:
    // Holds at most `capacity` items, none for longer than `longestWait`.
    FairQueue(size_t capacity, Duration longestWait)
        : capacity_(capacity)
        , longestWait_(longestWait)
    {
    }

    size_t size() const { return size_; }

    // Adds the item. When the queue is full, the newest item of the longest line makes room and is answered;
    // that can be the added one itself.
    std::optional<Item> push(const std::string& team, Item item, TimePoint now)
    {
        lines_[team].push_back({ std::move(item), now });
        ++size_;
        if (size_ <= capacity_)
            return std::nullopt;
        auto longest = lines_.begin();
        for (auto line = lines_.begin(); line != lines_.end(); ++line) {
            if (line->second.size() > longest->second.size())
                longest = line;
        }
        Item evicted = std::move(longest->second.back().item);
        longest->second.pop_back();
        --size_;
        removeIfEmpty(longest);
        return evicted;
    }

    // The oldest item of the team whose turn it is.
    std::optional<Item> pop()
    {
        if (size_ == 0)
            return std::nullopt;
        auto line = lines_.upper_bound(lastServed_);
        if (line == lines_.end())
            line = lines_.begin();
        lastServed_ = line->first;
        Item item = std::move(line->second.front().item);
        line->second.pop_front();
        --size_;
        removeIfEmpty(line);
        return item;
    }

    // An item that has waited for too long, if there is one.
    std::optional<Item> popOverdue(TimePoint now)
    {
        for (auto line = lines_.begin(); line != lines_.end(); ++line) {
            if (now - line->second.front().arrived <= longestWait_)
                continue;
            Item item = std::move(line->second.front().item);
            line->second.pop_front();
            --size_;
            removeIfEmpty(line);
            return item;
        }
        return std::nullopt;
    }

private:
    struct Waiting {
        Item item;
        TimePoint arrived;
    };
    using Lines = std::map<std::string, std::deque<Waiting>>;

    void removeIfEmpty(typename Lines::iterator line)
    {
        if (line->second.empty())
            lines_.erase(line);
    }

    size_t capacity_;
    Duration longestWait_;
    size_t size_ = 0;
    std::string lastServed_;
    Lines lines_;
};

}
