#include "limits/bytebudget.h"

#include <algorithm>
#include <tuple>

namespace persimmonfield {

ByteBudget::ByteBudget(const ByteBudgetOptions& options)
    : options_(options)
{
}

ByteBudget::HolderId ByteBudget::open(const std::string& caller, HeldFor purpose, TimePoint now)
{
    const HolderId id = nextId_++;
    holders_[id] = { caller, purpose, 0, true, now };
    return id;
}

void ByteBudget::close(HolderId id)
{
    const auto found = holders_.find(id);
    if (found == holders_.end())
        return;
    change(found->second, 0);
    holders_.erase(found);
    waiting_.erase(id);
}

void ByteBudget::change(Holder& holder, size_t bytes)
{
    size_t& held = heldFor_[static_cast<size_t>(holder.purpose)];
    held = held - holder.bytes + bytes;
    total_ = total_ - holder.bytes + bytes;
    const auto caller = callers_.try_emplace(holder.caller, 0).first;
    caller->second = caller->second - holder.bytes + bytes;
    if (caller->second == 0)
        callers_.erase(caller);
    holder.bytes = bytes;
}

size_t ByteBudget::heldBy(const std::string& caller) const
{
    const auto found = callers_.find(caller);
    return found == callers_.end() ? 0 : found->second;
}

bool ByteBudget::hasRoom(const Holder& holder, size_t bytes) const
{
    const size_t more = bytes - std::min(bytes, holder.bytes);
    const bool isSmall = bytes <= options_.smallBody;
    return total_ + more <= options_.limit
        && (isSmall || held(HeldFor::Request) + more <= options_.requestLimit);
}

ByteBudget::Verdict ByteBudget::reserve(HolderId id, size_t bytes, TimePoint now)
{
    const auto found = holders_.find(id);
    if (found == holders_.end() || bytes > options_.requestLimit)
        return Verdict::TooLarge;
    // Those that wait already come first, except before small bodies.
    const bool isInTurn = waiting_.empty() || bytes <= options_.smallBody;
    if (isInTurn && hasRoom(found->second, bytes)) {
        change(found->second, bytes);
        return Verdict::Granted;
    }
    waiting_.try_emplace(id, Waiter { bytes, now });
    return Verdict::Wait;
}

void ByteBudget::set(HolderId id, size_t bytes)
{
    const auto found = holders_.find(id);
    if (found != holders_.end())
        change(found->second, bytes);
}

void ByteBudget::recordProgress(HolderId id, TimePoint now)
{
    const auto found = holders_.find(id);
    if (found != holders_.end())
        found->second.progressAt = now;
}

void ByteBudget::setYielding(HolderId id, bool isYielding)
{
    const auto found = holders_.find(id);
    if (found != holders_.end())
        found->second.isYielding = isYielding;
}

// The waiter whose caller holds the least; the first one of those.
std::map<ByteBudget::HolderId, ByteBudget::Waiter>::iterator ByteBudget::nextWaiter()
{
    const auto rank = [this](const auto& entry) {
        return std::tuple(heldBy(holders_.at(entry.first).caller), entry.second.since, entry.first);
    };
    return std::min_element(waiting_.begin(), waiting_.end(),
        [&rank](const auto& left, const auto& right) { return rank(left) < rank(right); });
}

// The holders that make room for the waiter: those without progress for longest, of the callers that hold the
// most. Empty if they could not make enough. Holders that wait themselves are refused after their time
// instead.
std::vector<ByteBudget::HolderId> ByteBudget::yieldingTo(HolderId waiter, TimePoint now) const
{
    const Waiter& wanted = waiting_.at(waiter);
    const Holder& holder = holders_.at(waiter);
    const size_t more = wanted.bytes - std::min(wanted.bytes, holder.bytes);
    const size_t heldByWaiter = heldBy(holder.caller) + more;
    const bool hasWaited = now - wanted.since >= options_.stallTime;
    // Answers that are cut off make no room for the bodies of requests beyond their own limit.
    const bool needsRequests = total_ + more <= options_.limit;
    std::map<std::string, size_t> left = callers_;
    std::vector<HolderId> chosen;
    size_t requests = held(HeldFor::Request) + more;
    size_t total = total_ + more;
    while (requests > options_.requestLimit || total > options_.limit) {
        const Holder* next = nullptr;
        HolderId nextId = 0;
        std::tuple<size_t, Duration> nextRank;
        for (const auto& [id, other] : holders_) {
            const bool isRequest = other.purpose == HeldFor::Request;
            const bool mayYield = id != waiter && other.isYielding && other.bytes > 0
                && waiting_.count(id) == 0 && (isRequest || !needsRequests)
                && std::find(chosen.begin(), chosen.end(), id) == chosen.end();
            if (!mayYield)
                continue;
            const Duration stalled = now - other.progressAt;
            const std::tuple rank { left.at(other.caller), stalled };
            const bool isUnfair = hasWaited && left.at(other.caller) - other.bytes >= heldByWaiter;
            if ((stalled >= options_.stallTime || isUnfair) && (!next || rank > nextRank)) {
                next = &other;
                nextId = id;
                nextRank = rank;
            }
        }
        if (!next)
            return {};
        chosen.push_back(nextId);
        left.at(next->caller) -= next->bytes;
        total -= next->bytes;
        requests -= next->purpose == HeldFor::Request ? next->bytes : 0;
    }
    return chosen;
}

void ByteBudget::refuse(HolderId id, std::vector<HolderId>& list)
{
    change(holders_.at(id), 0);
    waiting_.erase(id);
    holders_.erase(id);
    list.push_back(id);
}

// Whether there is room for the waiter, after others have made some.
bool ByteBudget::makeRoom(HolderId waiter, TimePoint now, Decisions& decisions)
{
    if (hasRoom(holders_.at(waiter), waiting_.at(waiter).bytes))
        return true;
    const auto yielding = yieldingTo(waiter, now);
    for (const HolderId id : yielding) {
        const bool isRequest = holders_.at(id).purpose == HeldFor::Request;
        refuse(id, isRequest ? decisions.refused : decisions.cut);
    }
    return !yielding.empty();
}

// The holder to cut off when too much is held: of the callers that hold the most, the one without progress
// for longest.
std::optional<ByteBudget::HolderId> ByteBudget::nextToCut() const
{
    std::optional<HolderId> chosen;
    std::tuple<size_t, TimePoint> chosenRank;
    for (const auto& [id, holder] : holders_) {
        if (holder.bytes == 0 || !holder.isYielding)
            continue;
        const std::tuple rank { callers_.at(holder.caller), holder.progressAt };
        const bool isBefore = !chosen || std::get<0>(rank) > std::get<0>(chosenRank)
            || (std::get<0>(rank) == std::get<0>(chosenRank) && std::get<1>(rank) < std::get<1>(chosenRank));
        if (isBefore) {
            chosen = id;
            chosenRank = rank;
        }
    }
    return chosen;
}

ByteBudget::Decisions ByteBudget::decide(TimePoint now)
{
    Decisions decisions;
    while (isFull()) {
        const auto cut = nextToCut();
        if (!cut)
            break;
        const bool isRequest = holders_.at(*cut).purpose == HeldFor::Request;
        refuse(*cut, isRequest ? decisions.refused : decisions.cut);
    }
    while (!waiting_.empty()) {
        const auto next = nextWaiter();
        const HolderId id = next->first;
        if (makeRoom(id, now, decisions)) {
            change(holders_.at(id), next->second.bytes);
            holders_.at(id).progressAt = now;
            waiting_.erase(id);
            decisions.granted.push_back(id);
            continue;
        }
        const auto oldest = std::min_element(waiting_.begin(), waiting_.end(),
            [](const auto& left, const auto& right) { return left.second.since < right.second.since; });
        if (now - oldest->second.since < options_.maxWait)
            break;
        refuse(oldest->first, decisions.refused);
    }
    return decisions;
}

std::optional<TimePoint> ByteBudget::nextDecision(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto add = [&next, now](TimePoint at) {
        if (at > now && (!next || at < *next))
            next = at;
    };
    for (const auto& [id, waiter] : waiting_) {
        add(waiter.since + options_.stallTime);
        add(waiter.since + options_.maxWait);
    }
    if (waiting_.empty())
        return next;
    for (const auto& [id, holder] : holders_) {
        if (holder.isYielding && holder.bytes > 0 && waiting_.count(id) == 0)
            add(holder.progressAt + options_.stallTime);
    }
    return next;
}

}
