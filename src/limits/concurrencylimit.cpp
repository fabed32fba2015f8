#include "limits/concurrencylimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr int minLimit = 1;
    constexpr double shedFactor = 0.5;
    constexpr int failuresBeforeSingleTries = 4;
    // A call abandoned after this multiple of the route's usual work is a failure.
    constexpr int abandonedFactor = 4;

    // Lower limits are tried in steps between these factors.
    constexpr double maxLowerFactor = 0.5;
    constexpr double minLowerFactor = 0.75;
    constexpr double raiseFactor = 4.0 / 3;
    // Answers that are compared in each phase of a trial, or fewer if they show a clear difference.
    constexpr size_t phaseSamples = 24;
    constexpr size_t minPhaseSamples = 10;
    constexpr size_t minHoldSamples = 16;
    constexpr Milliseconds maxPhaseTime { 2'000 };
    constexpr int maxPhaseLatencies = 4;
    constexpr Milliseconds maxSampleAge { 2'000 };
    constexpr Milliseconds minTrialInterval { 1'000 };
    constexpr Milliseconds maxTrialInterval { 8'000 };
    // Natural logarithms of throughput ratios.
    constexpr double minMeanGain = 0.05;
    constexpr double clearGain = 0.35;
    constexpr double clearLoss = -0.1;
    // Increases of the latency up to this logarithm are noise.
    constexpr double minSlowness = 0.2;
    // A change of the slowness by this logarithm makes the next trials due at once.
    constexpr double slownessChange = 0.25;
    // A request ran at the limit if its mean concurrency differed from the limit by less than this.
    constexpr double atLimitMargin = 0.75;
    constexpr double relativeMargin = 0.1;
    constexpr double lowConcurrency = 0.6;
    constexpr double calmWeight = 16;
    constexpr int latencyWeight = 16;

    Duration backedOff(Duration interval)
    {
        return std::min<Duration>(interval * 2, maxTrialInterval);
    }

}

ConcurrencyLimit::ConcurrencyLimit(int slots, int initialLimit)
    : slots_(std::max(minLimit, slots))
    , initialLimit_(std::clamp(initialLimit, minLimit, slots_))
    , serverCapacity_(slots_)
    , ramp_(initialLimit_)
    , rampGoal_(slots_)
    , learned_(slots_)
    , lowerInterval_(minTrialInterval)
    , raiseInterval_(minTrialInterval)
{
}

int ConcurrencyLimit::limit() const
{
    return bounded(phase_ == Phase::Trial ? trialLimit_ : learned_);
}

int ConcurrencyLimit::bounded(int limit) const
{
    return std::max(minLimit, std::min({ limit, static_cast<int>(ramp_), highestLimit() }));
}

int ConcurrencyLimit::highestLimit() const
{
    return std::min(slots_, serverCapacity_);
}

double ConcurrencyLimit::loadUntil(TimePoint now) const
{
    const Duration passed = std::max(Duration::zero(), now - loadAt_);
    return load_ + inFlight_ * static_cast<double>(passed.count());
}

ConcurrencyLimit::Call ConcurrencyLimit::begin(TimePoint now)
{
    if (loadAt_ == TimePoint())
        phaseBegan_ = now;
    load_ = loadUntil(now);
    loadAt_ = now;
    ++inFlight_;
    return { now, load_, pace_ };
}

void ConcurrencyLimit::end(TimePoint now)
{
    load_ = loadUntil(now);
    loadAt_ = now;
    inFlight_ = std::max(0, inFlight_ - 1);
}

void ConcurrencyLimit::succeed(const Call& call, const std::string& route, double pace, TimePoint now)
{
    end(now);
    failuresInRow_ = 0;
    grow();
    pace_ = std::max(0.01, pace);
    const Duration latency = std::max<Duration>(now - call.startedAt, Duration(1));
    meanLatency_ = meanLatency_ == Duration::zero() ? latency
                                                    : meanLatency_ + (latency - meanLatency_) / latencyWeight;
    const double slowness = usualWork_.add(route, latency, (call.startPace + pace_) / 2, now);
    observe(slowness, (load_ - call.startLoad) / static_cast<double>(latency.count()), now);
}

void ConcurrencyLimit::grow()
{
    ramp_ = std::min<double>(slots_, ramp_ + (ramp_ < rampGoal_ ? 1 : 1 / ramp_));
}

// Shrinks the limit once for all requests that were sent before.
void ConcurrencyLimit::shed(const Call& call, TimePoint now)
{
    const int ran = std::min(limit(), inFlight_);
    end(now);
    failuresInRow_ = 0;
    if (call.startedAt < shedAt_)
        return;
    shedAt_ = now;
    ramp_ = std::max<double>(minLimit, ran * shedFactor);
    rampGoal_ = static_cast<int>(ramp_);
}

void ConcurrencyLimit::fail(const Call&, TimePoint now)
{
    end(now);
    if (++failuresInRow_ < failuresBeforeSingleTries || ramp_ <= minLimit)
        return;
    rampGoal_ = static_cast<int>(ramp_);
    ramp_ = minLimit;
}

void ConcurrencyLimit::abandon(const Call& call, const std::string& route, TimePoint now)
{
    const Duration usual = usualWork(route);
    if (usual > Duration::zero() && now - call.startedAt > usual * abandonedFactor)
        fail(call, now);
    else
        end(now);
}

void ConcurrencyLimit::reset()
{
    ConcurrencyLimit fresh(slots_, initialLimit_);
    fresh.ramp_ = minLimit;
    fresh.serverCapacity_ = minLimit;
    fresh.inFlight_ = inFlight_;
    fresh.load_ = load_;
    fresh.loadAt_ = loadAt_;
    *this = std::move(fresh);
}

void ConcurrencyLimit::setServerCapacity(int requests)
{
    serverCapacity_ = std::max(minLimit, requests);
}

std::optional<ConcurrencyChange> ConcurrencyLimit::takeChange()
{
    return std::exchange(change_, std::nullopt);
}

void ConcurrencyLimit::observe(double slowness, double concurrency, TimePoint now)
{
    if (concurrency < limit() * lowConcurrency)
        calmSlowness_
            = calmSlowness_.value_or(slowness) + (slowness - calmSlowness_.value_or(slowness)) / calmWeight;
    if (std::abs(usualWork_.slowness() - settledSlowness_) > slownessChange && phase_ == Phase::Hold) {
        settledSlowness_ = usualWork_.slowness();
        lowerInterval_ = raiseInterval_ = minTrialInterval;
        nextLower_ = nextRaise_ = std::min({ now, nextLower_, nextRaise_ });
    }
    const bool isSettled = now - phaseBegan_ >= meanLatency_;
    const bool isAtLimit
        = std::abs(concurrency - limit()) < std::max(atLimitMargin, limit() * relativeMargin);
    const Duration longest = std::max<Duration>(maxPhaseTime, meanLatency_ * maxPhaseLatencies);
    if (phase_ != Phase::Hold) {
        const Recent& recent = phase_ == Phase::Trial ? during_ : after_;
        const bool isTooLong = now - phaseBegan_ > longest && recent.slowness.size() < minPhaseSamples;
        if (isTooLong || ramp_ < trialLimit_ || ramp_ < learned_)
            return endTrial(false, now);
    }
    if (!isSettled || !isAtLimit)
        return;
    Recent& recent = phase_ == Phase::Hold ? before_ : phase_ == Phase::Trial ? during_ : after_;
    if (phase_ == Phase::Hold && now - recent.last > maxSampleAge)
        recent.slowness.clear();
    if (recent.slowness.size() >= phaseSamples)
        recent.slowness.erase(recent.slowness.begin());
    recent.slowness.push_back(slowness);
    recent.last = now;
    const size_t count = recent.slowness.size();
    if (count < minPhaseSamples)
        return;
    if (phase_ == Phase::Hold)
        return count < minHoldSamples ? void() : startTrial(now);
    const double gain = gainOver(phase_ == Phase::Trial ? before_ : after_);
    if (gain < clearLoss && trialLimit_ < learned_)
        return endTrial(false, now);
    const bool isLong = now - phaseBegan_ > longest;
    if (count < phaseSamples && gain < clearGain && !isLong)
        return;
    if (phase_ == Phase::Trial)
        enter(Phase::Return, trialLimit_, now);
    else
        endTrial(true, now);
}

// Whether the latency at the limit leaves room for a higher throughput at a lower one.
bool ConcurrencyLimit::mayGainBelow() const
{
    return !calmSlowness_ || medianOf(before_.slowness) - *calmSlowness_ > minSlowness;
}

// The limit to try. At the throughput of now, with the latency of low concurrency, fewer requests would run
// at the same time (Little's law).
int ConcurrencyLimit::lowerLimit() const
{
    if (!calmSlowness_)
        return static_cast<int>(std::lround(learned_ * maxLowerFactor));
    const double needed = learned_ / std::exp(medianOf(before_.slowness) - *calmSlowness_);
    const double wanted = std::max(needed, learned_ * maxLowerFactor);
    return static_cast<int>(std::lround(std::min(wanted, learned_ * minLowerFactor)));
}

void ConcurrencyLimit::startTrial(TimePoint now)
{
    if (ramp_ < learned_ || learned_ > highestLimit())
        return;
    if (learned_ < highestLimit() && now >= nextRaise_) {
        const int raised = static_cast<int>(std::ceil(learned_ * raiseFactor));
        return enter(Phase::Trial, std::min(highestLimit(), raised), now);
    }
    const int lowered = std::min(learned_ - 1, lowerLimit());
    if (lowered >= minLimit && now >= nextLower_ && mayGainBelow())
        enter(Phase::Trial, lowered, now);
}

void ConcurrencyLimit::enter(Phase phase, int limit, TimePoint now)
{
    phase_ = phase;
    trialLimit_ = limit;
    phaseBegan_ = now;
    if (phase == Phase::Hold)
        before_ = {};
    if (phase == Phase::Trial)
        during_ = after_ = {};
}

// Natural logarithm of the throughput in the trial relative to that at the learned limit.
double ConcurrencyLimit::gainOver(const Recent& held) const
{
    return std::log(static_cast<double>(trialLimit_) / learned_)
        - (medianOf(during_.slowness) - medianOf(held.slowness));
}

void ConcurrencyLimit::endTrial(bool isConclusive, TimePoint now)
{
    const bool isLower = trialLimit_ < learned_;
    const double gainBefore = gainOver(before_);
    const double gainAfter = gainOver(after_);
    const bool isBetter
        = isConclusive && gainBefore > 0 && gainAfter > 0 && (gainBefore + gainAfter) / 2 > minMeanGain;
    Duration& interval = isLower ? lowerInterval_ : raiseInterval_;
    // What a lower concurrency gives is known now.
    if (isLower && !during_.slowness.empty())
        calmSlowness_ = medianOf(during_.slowness);
    if (isBetter) {
        change_ = { learned_, trialLimit_, std::exp(gainBefore) - 1, std::exp(gainAfter) - 1,
            std::exp(medianOf(before_.slowness) - medianOf(during_.slowness)) - 1 };
        learned_ = trialLimit_;
        interval = minTrialInterval;
        (isLower ? nextLower_ : nextRaise_) = now;
        (isLower ? nextRaise_ : nextLower_) = now + minTrialInterval * 2;
    } else {
        (isLower ? nextLower_ : nextRaise_) = now + interval;
        interval = backedOff(interval);
    }
    settledSlowness_ = usualWork_.slowness();
    enter(Phase::Hold, learned_, now);
}

}
