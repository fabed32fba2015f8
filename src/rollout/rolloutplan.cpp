#include "rollout/rolloutplan.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace persimmonfield {
namespace {

    struct Stage {
        double end; // In relation to the duration.
        double share; // In relation to the canary share if it is a canary stage, else of all requests.
        size_t minServers;
        bool isCanary;
    };

    // The second canary stage uses fewer servers, which have left their warm-up by then. The steps after it
    // are short: a version that turns bad now has had few requests when the roll-out is seen as a whole.
    constexpr std::array<Stage, 4> stages { {
        { 0.25, 0.8, 4, true },
        { 0.5, 0.8, 2, true },
        { 0.62, 0.25, 2, false },
        { 0.72, 0.5, 2, false },
    } };
    // The roll-out is taken back if the old servers are still in use then.
    constexpr double lastChance = 0.96;
    // No stage is shorter than this, in relation to the duration.
    constexpr double minStage = 0.06;

    int rank(const RolloutPosition& position)
    {
        return static_cast<int>(position.state);
    }

    Duration partOf(Duration duration, double part)
    {
        return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * part));
    }

}

bool RolloutPosition::isAfter(const RolloutPosition& other) const
{
    if (state != other.state) {
        if (isOver() && other.isOver())
            return state == RolloutState::Completed;
        return rank(*this) > rank(other);
    }
    return stage > other.stage;
}

RolloutPlan::RolloutPlan(Milliseconds duration, double canaryShare)
    : duration_(duration)
    , canaryShare_(canaryShare)
{
}

double RolloutPlan::share(const RolloutPosition& position) const
{
    if (position.state == RolloutState::RolledBack)
        return 0;
    if (position.state != RolloutState::Running)
        return 1;
    const Stage& stage = stages.at(std::min(static_cast<size_t>(position.stage), stages.size() - 1));
    return stage.isCanary ? stage.share * canaryShare_ : std::max(stage.share, canaryShare_);
}

size_t RolloutPlan::serversInUse(const RolloutPosition& position, size_t newServers) const
{
    if (position.state != RolloutState::Running)
        return position.state == RolloutState::RolledBack ? 0 : newServers;
    const Stage& stage = stages.at(std::min(static_cast<size_t>(position.stage), stages.size() - 1));
    const auto needed = static_cast<size_t>(std::ceil(share(position) * static_cast<double>(newServers)));
    return std::min(newServers, std::max(needed, stage.minServers));
}

std::optional<RolloutPlan::Step> RolloutPlan::nextStep(
    const RolloutPosition& position, const Inputs& inputs) const
{
    using Verdict = RolloutJudgement::Verdict;
    if (position.isOver())
        return std::nullopt;
    if (inputs.judgement.verdict == Verdict::Worse)
        return Step { { RolloutState::RolledBack, position.stage }, inputs.judgement.cause };
    if (position.state == RolloutState::Closing) {
        if (!inputs.areOldServersIdle)
            return std::nullopt;
        return Step { { RolloutState::Completed, position.stage }, "the old servers are idle" };
    }
    if (inputs.elapsed >= partOf(duration_, lastChance))
        return Step { { RolloutState::RolledBack, position.stage },
            inputs.judgement.cause.empty() ? "its time is over" : inputs.judgement.cause };
    const auto index = std::min(static_cast<size_t>(position.stage), stages.size() - 1);
    const bool isDue = inputs.elapsed >= partOf(duration_, stages.at(index).end)
        && inputs.stageElapsed >= partOf(duration_, minStage);
    // Only the first stage may be left without a judgement, since the second one exposes no more.
    if (!isDue || (index > 0 && inputs.judgement.verdict != Verdict::Sound))
        return std::nullopt;
    const int next = position.stage + 1;
    const bool isLast = index + 1 == stages.size();
    return Step { { isLast ? RolloutState::Closing : RolloutState::Running, next },
        index > 0 ? "the new version is sound" : "the first stage is over" };
}

}
