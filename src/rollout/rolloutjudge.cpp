#include "rollout/rolloutjudge.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr size_t maxSlots = 64;
    constexpr size_t maxRoutes = 64;
    // Routes beyond the maximum are counted together.
    constexpr const char* otherRoutes = "(other)";
    constexpr double neededEvidence = 8;
    // Evidence that a version as good as the old one shows on a route by chance; subtracted before the
    // evidence of all routes is added up.
    constexpr double evidenceByChance = 1;
    constexpr double toleratedFailureFactor = 1.5;
    constexpr double toleratedSlowFactor = 2;
    constexpr double toleratedPoints = 0.05;
    constexpr double maxTolerated = 0.95;
    // Shares of the old version's answers above which an answer is slow.
    constexpr std::array<double, 2> slowShares { 0.1, 0.025 };
    // Weight of a time in relation to an independent sample.
    constexpr double timeWeight = 0.5;
    // With fewer answers of the old version in a window, it is compared by all of its answers.
    constexpr int64_t minOldAnswers = 50;
    // Answers of the old version without which nothing is compared.
    constexpr int64_t minComparable = 10;
    // Standard deviations by which the old version's share may be higher than observed.
    constexpr double oldShareDeviations = 1.5;
    constexpr std::array<int64_t, 4> windows { 4, 8, 16, std::numeric_limits<int64_t>::max() };
    constexpr int64_t soundAnswers = 60;
    constexpr int64_t soundRouteAnswers = 25;
    constexpr double mainRouteShare = 0.05;

    struct Sample {
        int64_t all = 0;
        int64_t hits = 0;
    };

    // An upper estimate of the share of hits.
    double upperShare(const Sample& sample)
    {
        const auto all = static_cast<double>(sample.all);
        const double share = (static_cast<double>(sample.hits) + 1) / (all + 2);
        return share + oldShareDeviations * std::sqrt(share * (1 - share) / (all + 2));
    }

    // The log-likelihood ratio of the observed share to the tolerated one; 0 if it is not above that.
    double evidenceAgainst(const Sample& sample, double tolerated)
    {
        if (sample.all <= 0)
            return 0;
        const double share = static_cast<double>(sample.hits) / static_cast<double>(sample.all);
        if (share <= tolerated)
            return 0;
        double each = share * std::log(share / tolerated);
        if (share < 1)
            each += (1 - share) * std::log((1 - share) / (1 - tolerated));
        return each * static_cast<double>(sample.all);
    }

    double toleratedShare(const Sample& oldSample, double factor)
    {
        return std::min(maxTolerated, upperShare(oldSample) * factor + toleratedPoints);
    }

    // The evidence that the new version is worse than what is tolerated beside the old one.
    RolloutEvidence compare(const char* cause, const Sample& newSample, const Sample& oldSample,
        double factor = toleratedFailureFactor, double weight = 1)
    {
        RolloutEvidence result;
        result.figures = { RolloutJudgement::Verdict::Worse, cause, {}, newSample.all, newSample.hits,
            oldSample.all, oldSample.hits };
        if (oldSample.all >= minComparable)
            result.strength = evidenceAgainst(newSample, toleratedShare(oldSample, factor)) * weight;
        return result;
    }

    void addTo(RolloutEvidence& sum, const RolloutEvidence& route)
    {
        sum.strength += std::max(0.0, route.strength - evidenceByChance);
        sum.figures.verdict = route.figures.verdict;
        sum.figures.cause = route.figures.cause;
        sum.figures.newAnswers += route.figures.newAnswers;
        sum.figures.newHits += route.figures.newHits;
        sum.figures.oldAnswers += route.figures.oldAnswers;
        sum.figures.oldHits += route.figures.oldHits;
    }

    RolloutEvidence stronger(
        const RolloutEvidence& known, const RolloutEvidence& other, const std::string& route)
    {
        if (other.strength <= known.strength)
            return known;
        RolloutEvidence result = other;
        result.figures.route = route;
        return result;
    }

    // The first bucket of times that at most `share` of the answers reach.
    size_t slowBucket(const RolloutFigures& figures, double share)
    {
        const double allowed = share * static_cast<double>(figures.timed());
        size_t bucket = RolloutFigures::timeBuckets;
        while (bucket > 0 && static_cast<double>(figures.timedFrom(bucket - 1)) <= allowed)
            --bucket;
        return bucket;
    }

}

RolloutJudge::RolloutJudge(Duration slot)
    : slot_(slot)
{
}

void RolloutJudge::record(
    const std::string& source, bool isNewVersion, const FiguresByRoute& counts, TimePoint now)
{
    currentSlot_ = std::max<int64_t>(currentSlot_, now.time_since_epoch() / slot_);
    FiguresByRoute& reported = reported_[source];
    for (const auto& [name, count] : counts) {
        RolloutFigures& before = reported[name];
        if (count.answers < before.answers || count.failures < before.failures
            || count.timed() < before.timed())
            continue;
        RolloutFigures added = count;
        added -= before;
        before = count;
        const bool isKnown = routes_.count(name) > 0 || routes_.size() < maxRoutes;
        Route& route = routes_[isKnown ? name : otherRoutes];
        Series& series = isNewVersion ? route.newVersion : route.oldVersion;
        if (series.slots.empty() || series.slots.back().number != currentSlot_)
            series.slots.push_back({ currentSlot_, {} });
        series.slots.back().figures += added;
        series.total += added;
        if (series.slots.size() <= maxSlots)
            continue;
        series.slots[1].figures += series.slots[0].figures;
        series.slots.pop_front();
    }
}

RolloutFigures RolloutJudge::since(const Series& series, int64_t firstSlot)
{
    RolloutFigures sum;
    for (auto slot = series.slots.rbegin(); slot != series.slots.rend() && slot->number >= firstSlot; ++slot)
        sum += slot->figures;
    return sum;
}

// The strongest evidence against the new version in the last slots: of one route, or of all together.
RolloutEvidence RolloutJudge::strongestEvidence(int64_t slots) const
{
    RolloutEvidence strongest;
    std::array<RolloutEvidence, 1 + slowShares.size()>
        sums; // Over all routes: of failures, and of slow answers.
    const int64_t first = currentSlot_ >= slots ? currentSlot_ - slots + 1 : 0;
    for (const auto& [name, route] : routes_) {
        const RolloutFigures observed = since(route.newVersion, first);
        RolloutFigures reference = since(route.oldVersion, first);
        if (reference.answers < minOldAnswers)
            reference = route.oldVersion.total;
        const RolloutEvidence failing = compare(
            "failures", { observed.answers, observed.failures }, { reference.answers, reference.failures });
        addTo(sums.front(), failing);
        strongest = stronger(strongest, failing, name);
        for (size_t i = 0; i < slowShares.size(); ++i) {
            const size_t bucket = slowBucket(reference, slowShares.at(i));
            const RolloutEvidence slow = compare("slow", { observed.timed(), observed.timedFrom(bucket) },
                { reference.timed(), reference.timedFrom(bucket) }, toleratedSlowFactor, timeWeight);
            addTo(sums.at(i + 1), slow);
            strongest = stronger(strongest, slow, name);
        }
    }
    for (const RolloutEvidence& sum : sums)
        strongest = stronger(strongest, sum, {});
    return strongest;
}

RolloutJudgement RolloutJudge::judgement() const
{
    RolloutEvidence strongest;
    for (const int64_t slots : windows) {
        RolloutEvidence evidence = strongestEvidence(slots);
        if (evidence.strength > strongest.strength)
            strongest = std::move(evidence);
    }
    return strongest.strength >= neededEvidence ? strongest.figures : soundness();
}

// Whether there are enough answers to call the new version sound.
RolloutJudgement RolloutJudge::soundness() const
{
    RolloutJudgement result;
    result.newAnswers = answers(true);
    result.oldAnswers = answers(false);
    for (const auto& [name, route] : routes_) {
        result.newHits += route.newVersion.total.failures;
        result.oldHits += route.oldVersion.total.failures;
        const bool isMain = static_cast<double>(route.oldVersion.total.answers)
            >= mainRouteShare * static_cast<double>(result.oldAnswers);
        if (!isMain || route.newVersion.total.answers >= soundRouteAnswers)
            continue;
        result.cause = "too few answers on a route";
        result.route = name;
    }
    if (result.newAnswers < soundAnswers)
        result.cause = "too few answers";
    if (result.cause.empty())
        result.verdict = RolloutJudgement::Verdict::Sound;
    return result;
}

int64_t RolloutJudge::answers(bool isNewVersion) const
{
    int64_t sum = 0;
    for (const auto& [name, route] : routes_)
        sum += (isNewVersion ? route.newVersion : route.oldVersion).total.answers;
    return sum;
}

}
