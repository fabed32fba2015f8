#include "daemon/teamlimiter.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    // How long a request waits for tokens that the home expects to have soon, and for a home that does not
    // answer.
    constexpr Milliseconds tokenTimeout { 30 };
    constexpr Milliseconds homeTimeout { 3'000 };
    // Shorter than `tokenTimeout`, so that a single refusal does not use up the whole wait.
    constexpr Milliseconds refusalValidity { 20 };
    constexpr Milliseconds waitInterval { 5 };
    constexpr Milliseconds maintenanceInterval { 50 };
    constexpr Milliseconds homeCheckInterval { 200 };

}

TeamLimiter::TeamLimiter(TeamLimiterOptions options)
    : options_(std::move(options))
{
}

TeamLimiter::~TeamLimiter()
{
    stop();
}

void TeamLimiter::start()
{
    thread_ = std::thread([this] { runMaintenance(); });
}

void TeamLimiter::stop()
{
    {
        std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

int TeamLimiter::partitionOf(const std::string& team)
{
    return FleetView::partitionOf(team, teamHomePartitions);
}

TeamLimiter::HomeId TeamLimiter::homeOf(const FleetView& view, const std::string& team) const
{
    const stored::PartitionRow* row = view.row(teamHomeService, partitionOf(team));
    if (!row)
        return {};
    return { { row->owner, row->incarnation }, row->fence };
}

TeamLimiter::ShareState& TeamLimiter::shareOf(const FleetView& view, const std::string& team)
{
    ShareState& state = shares_[team];
    const HomeId home = homeOf(view, team);
    if (!(home == state.home)) {
        state.home = home;
        state.share.onHomeChanged();
    }
    return state;
}

RateDecision TeamLimiter::acquire(const std::string& team, TimePoint deadline)
{
    const TimePoint startedAt = BootClock::now();
    std::unique_lock lock(mutex_);
    bool isWaiting = false;
    RateDecision decision;
    while (!isStopping_) {
        const TimePoint now = BootClock::now();
        const auto view = options_.view();
        ShareState& state = shareOf(*view, team);
        if (state.share.trySpend(now)) {
            decision.verdict = RateVerdict::Admitted;
            sendTokenRequest(*view, team, state, now);
            break;
        }
        if (!isWaiting)
            state.share.addWaiter();
        isWaiting = true;
        const auto refusedUntil = state.share.refusedUntil();
        // An old refusal is ignored: the home may have moved, and the new one may not have answered yet.
        const bool isRefused = refusedUntil && now < *refusedUntil + refusalValidity;
        const TimePoint waitEnd = std::min(deadline, startedAt + (isRefused ? tokenTimeout : homeTimeout));
        if (isRefused && *refusedUntil > waitEnd) {
            decision = { RateVerdict::Exceeded, *refusedUntil - now };
            break;
        }
        if (now >= waitEnd) {
            decision.verdict = isRefused ? RateVerdict::Exceeded : RateVerdict::Unavailable;
            break;
        }
        sendTokenRequest(*view, team, state, now);
        if (state.share.available(now) == 0)
            changed_.wait_for(lock, waitInterval);
    }
    if (isWaiting)
        shares_[team].share.removeWaiter();
    return decision;
}

void TeamLimiter::sendTokenRequest(
    const FleetView& view, const std::string& team, ShareState& state, TimePoint now)
{
    const KnownNode* home = view.node(state.home.owner);
    if (!home)
        return;
    const auto tokenRequest = state.share.nextRequest(now);
    if (!tokenRequest)
        return;
    const InstanceId self = options_.self();
    if (state.home.owner == self) {
        if (const auto answer = grantTokens(team, nodeObject(self), *tokenRequest, now))
            state.share.onGrant(tokenRequest->sequence, *answer, now);
        return;
    }
    peer::ShareRequest request {};
    request.team = team;
    request.instance = toMessage(self);
    request.sequence = tokenRequest->sequence;
    request.wanted = tokenRequest->wanted;
    request.spent = tokenRequest->spent;
    request.returned = tokenRequest->returned;
    peer::PeerMessage message;
    message.shareRequest = request;
    options_.network->send(options_.network->linkTo(home->entry.peerAddress), { message, {} });
}

// Returns the home of the team's bucket, or null if this daemon does not own it or the team is not
// configured.
TeamLimiter::HomeState* TeamLimiter::ownHome(const FleetView& view, const std::string& team, TimePoint now)
{
    const Permit permit = options_.authority->check({ teamHomeService, partitionOf(team) }, now);
    const auto configured = view.configuration->teams.find(team);
    if (!permit.isGranted() || configured == view.configuration->teams.end())
        return nullptr;
    const int64_t rate = configured->second.ratePerSecond;
    const int64_t burst = configured->second.burst;
    auto found = homes_.find(team);
    if (found == homes_.end() || found->second.fence != permit.fence) {
        HomeState fresh { TeamHome(rate, burst, now), permit.fence, rate, burst };
        found = homes_.insert_or_assign(team, std::move(fresh)).first;
    }
    HomeState& state = found->second;
    if (state.rate != rate || state.burst != burst) {
        state.home.reconfigure(rate, burst, now);
        state.rate = rate;
        state.burst = burst;
    }
    return &state;
}

std::optional<TokenGrant> TeamLimiter::grantTokens(
    const std::string& team, const std::string& instance, const TokenRequest& tokenRequest, TimePoint now)
{
    HomeState* state = ownHome(*options_.view(), team, now);
    if (!state)
        return std::nullopt;
    return state->home.grantTokens(instance, tokenRequest, now);
}

void TeamLimiter::onShareRequest(LinkId link, const peer::ShareRequest& request)
{
    const TokenRequest tokenRequest { request.sequence, request.wanted, request.spent, request.returned };
    std::optional<TokenGrant> answer;
    {
        std::lock_guard lock(mutex_);
        answer = grantTokens(
            request.team, nodeObject(instanceId(request.instance)), tokenRequest, BootClock::now());
    }
    if (!answer)
        return;
    peer::ShareGrant grant {};
    grant.team = request.team;
    grant.home = toMessage(options_.self());
    grant.sequence = request.sequence;
    grant.tokens = answer->tokens;
    grant.lifetimeMs = answer->lifetime.count();
    grant.retryAfterMs = answer->retryAfter.count();
    peer::PeerMessage message;
    message.shareGrant = grant;
    options_.network->send(link, { message, {} });
}

void TeamLimiter::onShareGrant(const peer::ShareGrant& grant)
{
    {
        std::lock_guard lock(mutex_);
        const auto found = shares_.find(grant.team);
        if (found == shares_.end() || found->second.home.owner != instanceId(grant.home))
            return;
        const TokenGrant answer { grant.tokens, Milliseconds(grant.lifetimeMs),
            Milliseconds(grant.retryAfterMs) };
        found->second.share.onGrant(grant.sequence, answer, BootClock::now());
    }
    changed_.notify_all();
}

void TeamLimiter::runMaintenance()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        changed_.wait_for(lock, maintenanceInterval);
        const auto view = options_.view();
        const TimePoint now = BootClock::now();
        for (auto& [team, state] : shares_)
            sendTokenRequest(*view, team, state, now);
        if (now < nextHomeCheck_)
            continue;
        nextHomeCheck_ = now + homeCheckInterval;
        // A bucket starts to fill when this daemon acquires the home, not at the first request.
        for (const auto& [team, configured] : view->configuration->teams)
            ownHome(*view, team, now);
    }
}

}
