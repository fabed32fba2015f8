#include "gate/requestrecord.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace persimmonfield {
namespace {

    constexpr size_t uuidLength = 36;
    constexpr size_t versionPosition = 14;
    constexpr size_t timeDigits = 12;
    // How far the clocks of a caller and of this instance may lie apart.
    constexpr Milliseconds clockTolerance { 2'000 };

    bool isDashPosition(size_t position)
    {
        return position == 8 || position == 13 || position == 18 || position == 23;
    }

}

std::optional<Milliseconds> uuidTime(std::string_view text)
{
    if (text.size() != uuidLength || text[versionPosition] != '7')
        return std::nullopt;
    std::string digits;
    for (size_t i = 0; i < text.size(); ++i) {
        const auto letter = static_cast<unsigned char>(text[i]);
        if (isDashPosition(i) ? letter != '-' : !absl::ascii_isxdigit(letter))
            return std::nullopt;
        if (!isDashPosition(i))
            digits += text[i];
    }
    return Milliseconds(std::stoll(digits.substr(0, timeDigits), nullptr, 16));
}

RequestRecord::RequestRecord(size_t capacity)
    : capacity_(capacity)
{
}

RecordDecision RequestRecord::admit(const std::string& team, const std::string& key, Milliseconds grantBegan)
{
    const auto time = uuidTime(key);
    if (!time)
        return RecordDecision::KeyInvalid;
    const std::string name = entryName(team, key);
    if (seen_.count(name) > 0)
        return RecordDecision::AlreadySeen;
    if (*time <= std::max(grantBegan + clockTolerance, droppedUntil_))
        return RecordDecision::MayHaveRunEarlier;
    seen_[name] = *time;
    byTime_.emplace(*time, name);
    if (seen_.size() > capacity_) {
        const auto oldest = byTime_.begin();
        droppedUntil_ = std::max(droppedUntil_, oldest->first);
        seen_.erase(oldest->second);
        byTime_.erase(oldest);
    }
    return RecordDecision::Run;
}

void RequestRecord::forget(const std::string& team, const std::string& key)
{
    const auto found = seen_.find(entryName(team, key));
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

std::string RequestRecord::entryName(const std::string& team, const std::string& key) const
{
    return team + '\n' + absl::AsciiStrToLower(key);
}

}
