#include "gate/idempotencycache.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace persimmonfield {
namespace {

    constexpr size_t uuidLength = 36;
    constexpr size_t versionPosition = 14;
    constexpr size_t timestampDigits = 12;
    // Maximum expected difference between the clocks of a caller and of this instance.
    constexpr Milliseconds clockTolerance { 2'000 };

    bool isDashPosition(size_t position)
    {
        return position == 8 || position == 13 || position == 18 || position == 23;
    }

}

std::optional<Milliseconds> uuidV7Timestamp(std::string_view text)
{
    if (text.size() != uuidLength || text[versionPosition] != '7')
        return std::nullopt;
    std::string digits;
    for (size_t i = 0; i < text.size(); ++i) {
        const auto character = static_cast<unsigned char>(text[i]);
        if (isDashPosition(i) ? character != '-' : !absl::ascii_isxdigit(character))
            return std::nullopt;
        if (!isDashPosition(i))
            digits += text[i];
    }
    return Milliseconds(std::stoll(digits.substr(0, timestampDigits), nullptr, 16));
}

IdempotencyCache::IdempotencyCache(size_t capacity)
    : capacity_(capacity)
{
}

IdempotencyDecision IdempotencyCache::admit(
    const std::string& team, const std::string& key, Milliseconds grantBegan)
{
    const auto time = uuidV7Timestamp(key);
    if (!time)
        return IdempotencyDecision::KeyInvalid;
    const std::string name = cacheKey(team, key);
    if (seen_.count(name) > 0)
        return IdempotencyDecision::AlreadySeen;
    if (*time <= std::max(grantBegan + clockTolerance, evictedUntil_))
        return IdempotencyDecision::MayHaveRunEarlier;
    seen_[name] = *time;
    byTime_.emplace(*time, name);
    if (seen_.size() > capacity_) {
        const auto oldest = byTime_.begin();
        evictedUntil_ = std::max(evictedUntil_, oldest->first);
        seen_.erase(oldest->second);
        byTime_.erase(oldest);
    }
    return IdempotencyDecision::Run;
}

void IdempotencyCache::forget(const std::string& team, const std::string& key)
{
    const auto found = seen_.find(cacheKey(team, key));
    if (found == seen_.end())
        return;
    const auto range = byTime_.equal_range(found->second);
    for (auto entry = range.first; entry != range.second; ++entry) {
        if (entry->second == found->first) {
            byTime_.erase(entry);
            break;
        }
    }
    seen_.erase(found);
}

std::string IdempotencyCache::cacheKey(const std::string& team, const std::string& key) const
{
    return team + '\n' + absl::AsciiStrToLower(key);
}

}
