#include "ownership/keyoffload.h"

#include <utility>

namespace persimmonfield {
namespace {

    // The loads may have changed after that.
    constexpr Milliseconds maxAge { 1'000 };

}

void KeyOffload::begin(std::vector<LoadPortion> portions, TimePoint now)
{
    open_ = std::move(portions);
    pending_.clear();
    until_ = now + maxAge;
}

std::optional<stored::KeyTable> KeyOffload::nextTable(
    const stored::KeyTable& table, const std::string& instance, const KeyLoad& load, TimePoint now)
{
    if (!isOpen(now))
        return std::nullopt;
    std::optional<stored::KeyTable> result;
    std::optional<int> part;
    std::vector<LoadPortion> left;
    pending_.clear();
    for (const LoadPortion& portion : open_) {
        const stored::KeyTable& before = result ? *result : table;
        auto after = offloadKeys(before, instance, load, portion.share, portion.target);
        if (!after)
            continue;
        const auto changedPart = firstChangedPart(before, *after);
        if (part && part != changedPart) {
            left.push_back(portion);
            continue;
        }
        part = changedPart;
        result = std::move(after);
        pending_.push_back(portion);
    }
    open_ = std::move(left);
    return result;
}

void KeyOffload::onWritten(bool isApplied)
{
    if (!isApplied)
        open_.insert(open_.end(), pending_.begin(), pending_.end());
    pending_.clear();
}

}
