#include "sidecar/teamlimits.h"

#include "base/logger.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonfield {
namespace {

    // The maximum time that a request waits for borrowed tokens. A link may have to be opened first, and on a
    // small machine the event loop of either side may be late.
    constexpr Milliseconds maxWait { 250 };
    // An instance that does not answer within this time is assumed to have no tokens.
    constexpr Milliseconds lenderTimeout { 150 };
    constexpr Milliseconds timerInterval { 20 };
    // The number of instances that hold a team's tokens is limited: if all instances of a large fleet held
    // some, each would have too few to lend, and no instance would know which others have any. The teams with
    // lower rates have fewer holders, but enough for the loss of one.
    constexpr size_t maxHolders = 8;
    constexpr size_t minHolders = 3;
    constexpr int64_t minRatePerHolder = 30; // Tokens per second.
    // A second instance is asked at the same time only if a request has waited this long, since each question
    // costs both sides and tokens that are lent twice are missing elsewhere.
    constexpr Milliseconds secondRequestDelay { 40 };
    constexpr size_t maxOpenTokenRequests = 2;
    // An instance that has not answered is not asked again for this time.
    constexpr double silentLenderSeconds = 2;
    // After all instances have answered that they have no tokens, none is asked for this time. It grows with
    // the fleet, so that all instances together do not overload the holders of a team beyond its rate.
    constexpr Milliseconds minExhaustedBackoff { 100 };
    constexpr int64_t maxExhaustedAsksPerSecond = 400;
    // The number of tokens assumed for an instance about which nothing is known.
    constexpr double assumedLevel = 1.5;
    constexpr double nanosecondsPerSecond = 1e9;
    constexpr double millisecondsPerSecond = 1e3;

    size_t holderCount(const TeamRate& rate)
    {
        return std::clamp(static_cast<size_t>(rate.perSecond / minRatePerHolder), minHolders, maxHolders);
    }

}

TeamLimits::TeamLimits(asio::io_context& loop, const std::string& self, const FleetDirectory& directory,
    PeerNetwork& network, Counters& counters)
    : loop_(loop)
    , self_(self)
    , directory_(directory)
    , network_(network)
    , counters_(counters)
    , timer_(loop)
{
}

void TeamLimits::setConfiguration(const Configuration& configuration)
{
    std::map<std::string, TeamRate> rates;
    for (const auto& [name, team] : configuration.teams) {
        if (team.ratePerSecond > 0)
            rates[name] = { team.ratePerSecond, team.burst };
    }
    for (const auto& [name, rate] : rates) {
        const TeamRate* before = buckets_.rate(name);
        if (before && (before->perSecond != rate.perSecond || before->burst != rate.burst))
            log(LogLevel::Info, "team-rate-changed",
                { { "team", name }, { "perSecond", rate.perSecond }, { "burst", rate.burst },
                    { "before", before->perSecond } });
    }
    std::map<std::string, size_t> holderCounts;
    for (const auto& [name, rate] : rates)
        holderCounts[name] = holderCount(rate);
    holders_.setTeams(holderCounts);
    buckets_.setRates(std::move(rates), BootClock::now());
    assignHolders();
}

void TeamLimits::onDirectoryChange()
{
    if (instancesVersion_ == directory_.instancesVersion())
        return;
    instancesVersion_ = directory_.instancesVersion();
    std::map<std::string, double> cores;
    for (const auto& [name, entry] : directory_.instances())
        cores[name] = entry.value.cores.value_or(0);
    std::vector<std::string> candidates = tokenHolderCandidates(cores);
    if (candidates != holders_.instances()) {
        holders_.setInstances(std::move(candidates));
        assignHolders();
    }
}

void TeamLimits::assignHolders()
{
    if (!directory_.isLoaded())
        return;
    const TimePoint now = BootClock::now();
    for (const std::string& name : buckets_.limitedTeams()) {
        Team& team = teams_[name];
        team.holders = holders_.holders(name);
        const bool isHolder
            = std::find(team.holders.begin(), team.holders.end(), self_) != team.holders.end();
        buckets_.setFraction(name, isHolder ? 1.0 / static_cast<double>(team.holders.size()) : 0, now);
    }
}

Milliseconds TeamLimits::exhaustedBackoff() const
{
    const auto instances = static_cast<int64_t>(directory_.instances().size());
    return std::max(minExhaustedBackoff,
        Milliseconds(instances * static_cast<int64_t>(millisecondsPerSecond) / maxExhaustedAsksPerSecond));
}

void TeamLimits::charge(const std::string& team, const Done& done)
{
    const TimePoint now = BootClock::now();
    Team& state = teams_[team];
    const bool isFirst = state.waiting.empty();
    if (isFirst && buckets_.trySpend(team, now)) {
        done(std::nullopt);
        if (buckets_.shortage(team, now) > 0 && now >= state.exhaustedUntil)
            borrow(team, state, now);
        return;
    }
    if (now < state.exhaustedUntil)
        return done(refusal(team, state));
    state.waiting.push_back({ done, now, now + maxWait });
    borrow(team, state, now);
    armTimer();
}

// Requests tokens from more instances while there are any that may have some.
void TeamLimits::borrow(const std::string& name, Team& team, TimePoint now)
{
    for (auto tokenRequest = team.tokenRequests.begin(); tokenRequest != team.tokenRequests.end();) {
        const bool hasTimedOut = now - tokenRequest->second.at >= lenderTimeout;
        if (hasTimedOut)
            team.lenders[tokenRequest->first] = { 1 - holderRate(name, team) * silentLenderSeconds, now };
        tokenRequest = hasTimedOut ? team.tokenRequests.erase(tokenRequest) : std::next(tokenRequest);
    }
    const bool isUrgent = !team.waiting.empty() && now - team.waiting.front().since >= secondRequestDelay;
    const size_t maxOpen = isUrgent ? maxOpenTokenRequests : 1;
    while (team.tokenRequests.size() < maxOpen) {
        const std::string lender = likeliestLender(name, team, now);
        if (lender.empty())
            break;
        const int64_t wanted = static_cast<int64_t>(team.waiting.size()) + buckets_.shortage(name, now);
        peer::PeerMessage message;
        message.shareRequest = peer::ShareRequest {};
        peer::ShareRequest& request = *message.shareRequest;
        request.team = name;
        request.instance.name = self_;
        request.sequence = ++team.sequence;
        request.wanted = wanted;
        const LinkId link = network_.linkTo(directory_.instance(lender)->peerAddress);
        if (link == 0 || !network_.send(link, { message, {} }))
            team.lenders[lender] = { 0, now };
        else
            team.tokenRequests[lender] = { now, wanted };
        counters_.counter("team_tokens_asked_total")++;
    }
    if (team.tokenRequests.empty() && !team.waiting.empty()) {
        team.exhaustedUntil = now + exhaustedBackoff();
        refuseWaiting(name, team, now, true);
    }
}

// The tokens that each holder gains in a second.
double TeamLimits::holderRate(const std::string& name, const Team& team) const
{
    const TeamRate* rate = buckets_.rate(name);
    return static_cast<double>(rate ? rate->perSecond : 0)
        / static_cast<double>(std::max<size_t>(1, team.holders.size()));
}

// The instance that is likely to have the most tokens; empty if none is likely to have at least one.
std::string TeamLimits::likeliestLender(const std::string& name, const Team& team, TimePoint now) const
{
    const double perSecond = holderRate(name, team);
    std::string likeliest;
    double highestLevel = 1;
    for (const std::string& instance : team.holders) {
        const stored::InstanceEntry* entry = directory_.instance(instance);
        if (instance == self_ || !entry || entry->departing || team.tokenRequests.count(instance) > 0)
            continue;
        const auto known = team.lenders.find(instance);
        double level = assumedLevel;
        if (known != team.lenders.end())
            level = known->second.level
                + perSecond * static_cast<double>((now - known->second.seenAt).count())
                    / nanosecondsPerSecond;
        if (level < highestLevel)
            continue;
        highestLevel = level;
        likeliest = instance;
    }
    return likeliest;
}

void TeamLimits::onShareRequest(LinkId link, const peer::ShareRequest& request)
{
    const TimePoint now = BootClock::now();
    peer::PeerMessage message;
    message.shareGrant = peer::ShareGrant {};
    peer::ShareGrant& grant = *message.shareGrant;
    grant.team = request.team;
    grant.home.name = self_;
    grant.sequence = request.sequence;
    grant.tokens = buckets_.lend(request.team, request.wanted, now);
    network_.send(link, { message, {} });
}

void TeamLimits::onShareGrant(const peer::ShareGrant& grant)
{
    const TimePoint now = BootClock::now();
    const auto found = teams_.find(grant.team);
    if (found == teams_.end())
        return;
    Team& team = found->second;
    const auto tokenRequest = team.tokenRequests.find(grant.home.name);
    const bool isGrantedInFull
        = tokenRequest != team.tokenRequests.end() && grant.tokens >= tokenRequest->second.wanted;
    if (tokenRequest != team.tokenRequests.end())
        team.tokenRequests.erase(tokenRequest);
    // An instance that granted less than requested has no more tokens; one that granted everything may have
    // more.
    team.lenders[grant.home.name] = { isGrantedInFull ? assumedLevel : 0.0, now };
    buckets_.addBorrowed(grant.team, grant.tokens, now);
    chargeWaiting(grant.team, team, now);
    if (!team.waiting.empty())
        borrow(grant.team, team, now);
}

void TeamLimits::chargeWaiting(const std::string& name, Team& team, TimePoint now)
{
    while (!team.waiting.empty() && buckets_.trySpend(name, now)) {
        const Done done = std::move(team.waiting.front().done);
        team.waiting.pop_front();
        done(std::nullopt);
    }
}

void TeamLimits::refuseWaiting(const std::string& name, Team& team, TimePoint now, bool isAll)
{
    std::vector<Done> refused;
    while (!team.waiting.empty() && (isAll || team.waiting.front().until <= now)) {
        refused.push_back(std::move(team.waiting.front().done));
        team.waiting.pop_front();
    }
    for (const Done& done : refused)
        done(refusal(name, team));
}

Reply TeamLimits::refusal(const std::string& name, const Team& team) const
{
    Reply reply = notRun(RefusalReason::RateExceeded, "the team's rate is used up");
    reply.retryAfter
        = buckets_.refillTime(name, static_cast<int64_t>(team.waiting.size()) + 1) + exhaustedBackoff();
    return reply;
}

void TeamLimits::armTimer()
{
    if (std::exchange(isTimerArmed_, true))
        return;
    timer_.expires_after(timerInterval);
    timer_.async_wait([this](std::error_code error) {
        isTimerArmed_ = false;
        if (error)
            return;
        const TimePoint now = BootClock::now();
        bool isWaiting = false;
        for (auto& [name, team] : teams_) {
            if (team.waiting.empty())
                continue;
            chargeWaiting(name, team, now);
            refuseWaiting(name, team, now, false);
            if (!team.waiting.empty())
                borrow(name, team, now);
            isWaiting = isWaiting || !team.waiting.empty();
        }
        if (isWaiting)
            armTimer();
    });
}

}
