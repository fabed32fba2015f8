#include "limits/admissionqueue.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    // The work of a route without samples is assumed to be the time left of the objective divided by this.
    constexpr int unknownWorkDivisor = 3;
    // A less urgent request starts after this number of more urgent ones, so that it gets a tenth.
    constexpr int maxPassedOver = 9;
    // The least share of a server's room that is expected to be left by more urgent requests yet to come.
    constexpr double minShareLeft = 0.1;
    // Callers are told to return within this time after room is expected, each at a time of its own.
    constexpr Milliseconds maxReturnSpread { 1'000 };
    constexpr Milliseconds minRetryAfter { 20 };
    // Waiting requests are checked this often for those that cannot be answered any more.
    constexpr Milliseconds reviewInterval { 20 };

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
    }

    int64_t slotsOf(const ServerRoom& room)
    {
        return static_cast<int64_t>(std::max<size_t>(1, room.slots));
    }

}

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : options_(std::move(options))
{
}

Duration AdmissionQueue::expectedWork(const QueuedRequest& request, TimePoint now) const
{
    const Duration work = work_.mean(request.route);
    return work == Duration::zero() ? (request.objectiveEnd - now) / unknownWorkDivisor : work;
}

TimePoint AdmissionQueue::latestStartOf(const QueuedRequest& request, TimePoint now) const
{
    const Duration work = likelyWork(request);
    return request.objectiveEnd - (work > Duration::zero() ? work : expectedWork(request, now));
}

// The work that the request should have time for. Work that already runs depends on a call, so that is worth
// an attempt.
Duration AdmissionQueue::likelyWork(const QueuedRequest& request) const
{
    const bool usesSpread = servesLate() && request.priority >= 0;
    return usesSpread ? work_.likely(request.route) : work_.mean(request.route);
}

AdmissionQueue::Rank AdmissionQueue::rankOf(const Entry& entry, TimePoint now) const
{
    Rank rank { Stage::InTime, entry.request.priority, 0, entry.latestStart, entry.request.id };
    if (!servesLate())
        return rank;
    if (entry.request.priority < 0)
        rank.stage = Stage::RunningWork;
    else if (now > entry.latestStart)
        rank.stage = Stage::Late;
    return rank;
}

// The share of the server's room that is expected to go to requests yet to come that start before this one.
double AdmissionQueue::overtakenShare(const Rank& rank, TimePoint now) const
{
    if (!servesLate())
        return 0;
    double share = 0;
    for (const auto& [priority, meter] : demand_) {
        if (priority < rank.priority || rank.stage == Stage::Late)
            share += meter.mean(now);
    }
    return std::min(share, 1 - minShareLeft);
}

// The time until a request starts that waits for this work and number of requests before it.
Duration AdmissionQueue::waitBehind(Duration work, size_t requests, double overtaken, const ServerRoom& room)
{
    const bool hasFreeSlot = room.running + requests < room.slots;
    const Duration forSlot
        = hasFreeSlot ? Duration::zero() : scaled(work / slotsOf(room), 1 / (1 - overtaken));
    const Duration forStart = room.cold.delay + static_cast<int64_t>(requests) * room.cold.interval;
    return std::max(forSlot, std::min(forStart, room.cold.left));
}

// The waiting requests in their expected order.
std::vector<AdmissionQueue::Ranked> AdmissionQueue::ranked(TimePoint now) const
{
    std::vector<Ranked> result;
    for (const auto& [id, entry] : waiting_)
        result.push_back({ rankOf(entry, now), &entry });
    const auto precedes = [](const Ranked& left, const Ranked& right) { return left.rank < right.rank; };
    std::sort(result.begin(), result.end(), precedes);
    if (!servesLate())
        return result;
    std::map<std::tuple<Stage, int64_t, int64_t>, int> turns;
    for (Ranked& each : result)
        each.rank.turn = turns[{ each.rank.stage, each.rank.priority, each.entry->request.asker }]++;
    std::sort(result.begin(), result.end(), precedes);
    return result;
}

// Sets the turn of a request that does not wait yet.
void AdmissionQueue::setTurn(Rank& rank, int64_t asker, const std::vector<Ranked>& others)
{
    rank.turn = static_cast<int>(std::count_if(others.begin(), others.end(), [&](const Ranked& other) {
        return other.entry->request.asker == asker && other.rank.stage == rank.stage
            && other.rank.priority == rank.priority
            && std::tie(other.rank.latestStart, other.rank.id) < std::tie(rank.latestStart, rank.id);
    }));
}

// The time that a request of this rank is expected to wait. Suspects take one slot at most.
Duration AdmissionQueue::waitOf(Rank rank, int64_t asker, const ServerRoom& room, TimePoint now) const
{
    const std::vector<Ranked> others = ranked(now);
    if (servesLate())
        setTurn(rank, asker, others);
    Duration work = room.runningWork;
    size_t usual = 0;
    size_t ahead = 0;
    for (const Ranked& other : others) {
        if (options_.isSuspect(other.entry->request.id))
            continue;
        ++usual;
        if (!(other.rank < rank))
            continue;
        ++ahead;
        work += work_.mean(other.entry->request.route);
    }
    return waitBehind(work, servesLate() ? ahead : usual, overtakenShare(rank, now), room);
}

// The time that a suspect of this rank is expected to wait for the suspects before it.
Duration AdmissionQueue::suspectWait(const Rank& rank, const ServerRoom& room, TimePoint now) const
{
    Duration wait = room.runningSuspectWork;
    for (const auto& [id, entry] : waiting_) {
        if (rankOf(entry, now) < rank && options_.isSuspect(id))
            wait += work_.mean(entry.request.route);
    }
    return wait;
}

Admission AdmissionQueue::decide(const QueuedRequest& request, const ServerRoom& room, TimePoint now)
{
    Rank rank = rankOf({ request, latestStartOf(request, now) }, now);
    Admission admission;
    const bool isSuspect = options_.isSuspect(request.id);
    admission.wait = waitOf(rank, request.asker, room, now);
    if (isSuspect)
        admission.wait = std::max(admission.wait, suspectWait(rank, room, now));
    admission.isLate = rank.stage == Stage::Late || now + admission.wait > rank.latestStart;
    if (admission.wait == Duration::zero() || !admission.isLate) {
        admission.isAdmitted = true;
        return admission;
    }
    const Duration untilRoom = now + admission.wait - rank.latestStart;
    if (!servesLate()) {
        admission.retryAfter = toMilliseconds(admission.wait);
        return admission;
    }
    if (rank.stage == Stage::InTime) {
        rank.stage = Stage::Late;
        admission.wait = std::max(admission.wait, waitOf(rank, request.asker, room, now));
    }
    admission.isAdmitted = now + admission.wait + likelyWork(request) <= request.deadline;
    if (!admission.isAdmitted)
        admission.retryAfter = returnTime(request, std::max(Duration::zero(), untilRoom), room, now);
    return admission;
}

// Each caller gets a time of its own: one after the other as the server completes their requests, beginning
// when there should be room.
Milliseconds AdmissionQueue::returnTime(
    const QueuedRequest& request, Duration untilRoom, const ServerRoom& room, TimePoint now)
{
    const TimePoint roomAt = now + std::max<Duration>(untilRoom, minRetryAfter);
    const Duration step = expectedWork(request, now) / slotsOf(room);
    nextReturn_ += std::max(Duration::zero(), step);
    if (nextReturn_ < roomAt || nextReturn_ > roomAt + maxReturnSpread)
        nextReturn_ = roomAt;
    return toMilliseconds(nextReturn_ - now);
}

void AdmissionQueue::add(const QueuedRequest& request, TimePoint now)
{
    if (servesLate()) {
        const bool isAskerWaiting = std::any_of(waiting_.begin(), waiting_.end(),
            [&request](const auto& each) { return each.second.request.asker == request.asker; });
        Duration& work = workOfAskers_[request.asker];
        if (!isAskerWaiting)
            work = std::max(work, turn_);
    }
    waiting_[request.id] = { request, latestStartOf(request, now) };
}

bool AdmissionQueue::remove(int64_t id)
{
    return waiting_.erase(id) > 0;
}

// The least urgent priority that waits and was passed over too often.
std::optional<int64_t> AdmissionQueue::starvedPriority() const
{
    for (auto entry = passedOver_.rbegin(); entry != passedOver_.rend(); ++entry) {
        if (entry->second >= maxPassedOver)
            return entry->first;
    }
    return std::nullopt;
}

std::optional<int64_t> AdmissionQueue::takeNext(bool isSuspectRunning, size_t slots, TimePoint now)
{
    const std::optional<int64_t> starved = starvedPriority();
    // By the starved priority, the stage and the priority; then in turn of the askers.
    const auto orderOf = [&](const Entry& entry) {
        const Rank rank = rankOf(entry, now);
        const bool yields = rank.stage != Stage::RunningWork && starved && *starved != rank.priority;
        const auto asker = workOfAskers_.find(entry.request.asker);
        const Duration work = asker == workOfAskers_.end() ? Duration::zero() : asker->second;
        return std::make_tuple(yields, rank.stage, rank.priority, work, rank.latestStart, rank.id);
    };
    auto next = waiting_.end();
    for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
        if (isSuspectRunning && options_.isSuspect(entry->first))
            continue;
        if (next == waiting_.end() || orderOf(entry->second) < orderOf(next->second))
            next = entry;
    }
    if (next == waiting_.end())
        return std::nullopt;
    const Entry taken = std::move(next->second);
    waiting_.erase(next);
    if (servesLate())
        recordStart(taken, slots, now);
    return taken.request.id;
}

void AdmissionQueue::recordStart(const Entry& entry, size_t slots, TimePoint now)
{
    const Duration own = work_.mean(entry.request.route);
    // Late requests overtake nobody.
    if (rankOf(entry, now).stage != Stage::Late)
        demand_[entry.request.priority].add(own / static_cast<int64_t>(std::max<size_t>(1, slots)), now);
    Duration& work = workOfAskers_[entry.request.asker];
    turn_ = work;
    work += own;
    if (waiting_.empty())
        workOfAskers_.clear();
    if (entry.request.priority < 0)
        return;
    std::map<int64_t, int> passedOver;
    for (const auto& [id, waiting] : waiting_) {
        const int64_t priority = waiting.request.priority;
        if (priority > entry.request.priority)
            passedOver[priority] = passedOver_[priority] + 1;
        else if (priority >= 0 && priority < entry.request.priority)
            passedOver[priority] = passedOver_[priority];
    }
    passedOver_ = std::move(passedOver);
}

std::vector<int64_t> AdmissionQueue::takeHopeless(const ServerRoom& room, TimePoint processEnd, TimePoint now)
{
    std::vector<int64_t> hopeless;
    if (servesLate() && now >= reviewedAt_ + reviewInterval) {
        reviewedAt_ = now;
        hopeless = hopelessByProjection(room, processEnd, now);
    }
    for (const auto& [id, entry] : waiting_) {
        const QueuedRequest& request = entry.request;
        const TimePoint end
            = servesLate() ? request.deadline : std::min(request.objectiveEnd, request.deadline);
        if (std::min(end, processEnd) - work_.mean(request.route) <= now)
            hopeless.push_back(id);
    }
    std::sort(hopeless.begin(), hopeless.end());
    hopeless.erase(std::unique(hopeless.begin(), hopeless.end()), hopeless.end());
    for (const int64_t id : hopeless)
        waiting_.erase(id);
    return hopeless;
}

// The requests that would not be answered before their deadline if the server went through the others in
// order. Those that are refused make room for the ones behind them.
std::vector<int64_t> AdmissionQueue::hopelessByProjection(
    const ServerRoom& room, TimePoint processEnd, TimePoint now)
{
    std::vector<int64_t> hopeless;
    Duration work = room.runningWork;
    size_t ahead = 0;
    for (const auto& [rank, entry] : ranked(now)) {
        const Duration own = work_.mean(entry->request.route);
        const TimePoint start = now + waitBehind(work, ahead, overtakenShare(rank, now), room);
        if (start > now && start + own > std::min(entry->request.deadline, processEnd)) {
            hopeless.push_back(entry->request.id);
            continue;
        }
        work += own;
        ++ahead;
    }
    return hopeless;
}

std::vector<int64_t> AdmissionQueue::takeAll()
{
    std::vector<int64_t> ids;
    for (const auto& [id, entry] : waiting_)
        ids.push_back(id);
    waiting_.clear();
    return ids;
}

TimePoint AdmissionQueue::nextReview(TimePoint processEnd, TimePoint now) const
{
    if (waiting_.empty())
        return TimePoint::max();
    if (servesLate())
        return now + reviewInterval;
    TimePoint next = TimePoint::max();
    for (const auto& [id, entry] : waiting_) {
        const QueuedRequest& request = entry.request;
        next = std::min(next,
            std::min({ request.objectiveEnd, request.deadline, processEnd }) - work_.mean(request.route));
    }
    return next;
}

}
