#include "limits/teamtokens.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    // The maximum time that a request waits for borrowed tokens. A link may have to be opened first, and on a
    // small machine the event loop of either side may be late.
    constexpr Milliseconds maxWait { 250 };
    // An instance that does not answer within this time is assumed to have no tokens.
    constexpr Milliseconds lenderTimeout { 150 };
    // The number of instances that hold a team's tokens is limited: if all instances of a large fleet held
    // some, each would have too few to lend, and no instance would know which others have any. The teams with
    // lower rates have fewer holders, but enough for the loss of one.
    constexpr size_t maxHolders = 8;
    constexpr size_t minHolders = 3;
    constexpr int64_t minRatePerHolder = 30; // Tokens per second.
    // A second instance is asked at the same time only if a request has waited this long, since each question
    // costs both sides and tokens that are lent twice are missing elsewhere.
    constexpr Milliseconds secondQuestionDelay { 40 };
    constexpr size_t maxOpenQuestions = 2;
    // An instance that has not answered is not asked again for this time.
    constexpr double silentLenderSeconds = 2;
    // After all instances have answered that they have no tokens, none is asked for this time. It grows with
    // the fleet, so that all instances together do not overload the holders of a team beyond its rate.
    constexpr Milliseconds minExhaustedBackoff { 100 };
    constexpr int64_t maxExhaustedQuestionsPerSecond = 400;
    // The number of tokens assumed for an instance about which nothing is known.
    constexpr double assumedLevel = 1.5;
    constexpr int64_t millisecondsPerSecond = 1'000;

    size_t holderCount(const TeamRate& rate)
    {
        return std::clamp(static_cast<size_t>(rate.perSecond / minRatePerHolder), minHolders, maxHolders);
    }

    double secondsBetween(TimePoint from, TimePoint to)
    {
        return std::chrono::duration<double>(to - from).count();
    }

}

TeamTokens::TeamTokens(std::string self)
    : self_(std::move(self))
{
}

void TeamTokens::setRates(const std::map<std::string, TeamRate>& rates, TimePoint now)
{
    std::map<std::string, size_t> counts;
    for (const auto& [name, rate] : rates)
        counts[name] = holderCount(rate);
    holders_.setTeams(counts);
    buckets_.setRates(rates, now);
    assignHolders(now);
}

void TeamTokens::setInstances(
    const std::map<std::string, double>& cores, std::set<std::string> departing, TimePoint now)
{
    instanceCount_ = cores.size();
    departing_ = std::move(departing);
    std::vector<std::string> candidates = tokenHolderCandidates(cores);
    if (candidates == holders_.instances())
        return;
    holders_.setInstances(std::move(candidates));
    assignHolders(now);
}

void TeamTokens::assignHolders(TimePoint now)
{
    if (instanceCount_ == 0)
        return;
    for (const std::string& name : buckets_.limitedTeams()) {
        Team& team = teams_[name];
        team.holders = holders_.holders(name);
        const bool isHolder
            = std::find(team.holders.begin(), team.holders.end(), self_) != team.holders.end();
        buckets_.setFraction(name, isHolder ? 1.0 / static_cast<double>(team.holders.size()) : 0, now);
    }
}

TeamTokens::Decision TeamTokens::charge(const std::string& name, RequestId request, TimePoint now)
{
    Decision decision;
    Team& team = teams_[name];
    if (team.waiting.empty() && buckets_.trySpend(name, now)) {
        decision.charged.push_back(request);
        if (buckets_.shortage(name, now) > 0 && now >= team.exhaustedUntil)
            ask(name, team, now, decision);
        return decision;
    }
    if (now < team.exhaustedUntil) {
        decision.refused.push_back(request);
        return decision;
    }
    team.waiting.push_back({ request, now });
    ask(name, team, now, decision);
    return decision;
}

TeamTokens::Decision TeamTokens::onTokens(
    const std::string& name, const std::string& holder, int64_t tokens, TimePoint now)
{
    Decision decision;
    const auto found = teams_.find(name);
    if (found == teams_.end())
        return decision;
    Team& team = found->second;
    const auto question = team.questions.find(holder);
    const bool isGrantedInFull = question != team.questions.end() && tokens >= question->second.wanted;
    if (question != team.questions.end())
        team.questions.erase(question);
    // An instance that gave less than wanted has no more tokens; one that gave everything may have more.
    team.lenders[holder] = { isGrantedInFull ? assumedLevel : 0.0, now };
    buckets_.addBorrowed(name, tokens, now);
    chargeWaiting(name, team, now, decision);
    if (!team.waiting.empty())
        ask(name, team, now, decision);
    return decision;
}

TeamTokens::Decision TeamTokens::onUnreachable(
    const std::string& name, const std::string& holder, TimePoint now)
{
    Decision decision;
    Team& team = teams_[name];
    team.questions.erase(holder);
    team.lenders[holder] = { 0, now };
    ask(name, team, now, decision);
    return decision;
}

TeamTokens::Decision TeamTokens::step(const std::string& name, TimePoint now)
{
    Decision decision;
    Team& team = teams_[name];
    chargeWaiting(name, team, now, decision);
    while (!team.waiting.empty() && now - team.waiting.front().since >= maxWait) {
        decision.refused.push_back(team.waiting.front().request);
        team.waiting.pop_front();
    }
    if (!team.waiting.empty())
        ask(name, team, now, decision);
    return decision;
}

std::vector<std::string> TeamTokens::waitingTeams() const
{
    std::vector<std::string> names;
    for (const auto& [name, team] : teams_) {
        if (!team.waiting.empty())
            names.push_back(name);
    }
    return names;
}

void TeamTokens::chargeWaiting(const std::string& name, Team& team, TimePoint now, Decision& decision)
{
    while (!team.waiting.empty() && buckets_.trySpend(name, now)) {
        decision.charged.push_back(team.waiting.front().request);
        team.waiting.pop_front();
    }
}

// Asks more instances while there are any that may have tokens. If none is left, all waiting requests are
// refused.
void TeamTokens::ask(const std::string& name, Team& team, TimePoint now, Decision& decision)
{
    for (auto question = team.questions.begin(); question != team.questions.end();) {
        const bool hasTimedOut = now - question->second.at >= lenderTimeout;
        if (hasTimedOut)
            team.lenders[question->first] = { 1 - holderRate(name, team) * silentLenderSeconds, now };
        question = hasTimedOut ? team.questions.erase(question) : std::next(question);
    }
    const bool isUrgent = !team.waiting.empty() && now - team.waiting.front().since >= secondQuestionDelay;
    const size_t maxOpen = isUrgent ? maxOpenQuestions : 1;
    while (team.questions.size() < maxOpen) {
        const std::string lender = likeliestLender(name, team, now);
        if (lender.empty())
            break;
        const int64_t wanted = static_cast<int64_t>(team.waiting.size()) + buckets_.shortage(name, now);
        team.questions[lender] = { now, wanted };
        decision.questions.push_back({ lender, wanted });
    }
    if (!team.questions.empty() || team.waiting.empty())
        return;
    team.exhaustedUntil = now + exhaustedBackoff();
    for (const Waiter& waiter : std::exchange(team.waiting, {}))
        decision.refused.push_back(waiter.request);
}

// The tokens that each holder gains in a second.
double TeamTokens::holderRate(const std::string& name, const Team& team) const
{
    const TeamRate* known = buckets_.rate(name);
    return static_cast<double>(known ? known->perSecond : 0)
        / static_cast<double>(std::max<size_t>(1, team.holders.size()));
}

// The instance that is likely to have the most tokens; empty if none is likely to have at least one.
std::string TeamTokens::likeliestLender(const std::string& name, const Team& team, TimePoint now) const
{
    const double perSecond = holderRate(name, team);
    std::string likeliest;
    double highestLevel = 1;
    for (const std::string& instance : team.holders) {
        if (instance == self_ || departing_.count(instance) > 0 || team.questions.count(instance) > 0)
            continue;
        const auto known = team.lenders.find(instance);
        const double level = known == team.lenders.end()
            ? assumedLevel
            : known->second.level + perSecond * secondsBetween(known->second.seenAt, now);
        if (level < highestLevel)
            continue;
        highestLevel = level;
        likeliest = instance;
    }
    return likeliest;
}

int64_t TeamTokens::lend(const std::string& team, int64_t wanted, TimePoint now)
{
    return buckets_.lend(team, wanted, now);
}

Milliseconds TeamTokens::exhaustedBackoff() const
{
    return std::max(minExhaustedBackoff,
        Milliseconds(
            static_cast<int64_t>(instanceCount_) * millisecondsPerSecond / maxExhaustedQuestionsPerSecond));
}

Milliseconds TeamTokens::retryAfter(const std::string& name) const
{
    const auto team = teams_.find(name);
    const size_t waiting = team == teams_.end() ? 0 : team->second.waiting.size();
    return buckets_.refillTime(name, static_cast<int64_t>(waiting) + 1) + exhaustedBackoff();
}

}
