#include "sidecar/teamlimits.h"

#include "base/logger.h"

#include <nlohmann/json.hpp>

#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds timerInterval { 20 };

}

TeamLimits::TeamLimits(asio::io_context& loop, const std::string& self, const FleetDirectory& directory,
    PeerNetwork& network, Counters& counters)
    : loop_(loop)
    , self_(self)
    , directory_(directory)
    , network_(network)
    , counters_(counters)
    , tokens_(self)
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
        const TeamRate* before = tokens_.rate(name);
        if (before && (before->perSecond != rate.perSecond || before->burst != rate.burst))
            log(LogLevel::Info, "team-rate-changed",
                { { "team", name }, { "perSecond", rate.perSecond }, { "burst", rate.burst },
                    { "before", before->perSecond } });
    }
    tokens_.setRates(rates, BootClock::now());
}

void TeamLimits::onDirectoryChange()
{
    if (!directory_.isLoaded() || instancesVersion_ == directory_.instancesVersion())
        return;
    instancesVersion_ = directory_.instancesVersion();
    std::map<std::string, double> cores;
    std::set<std::string> departing;
    for (const auto& [name, entry] : directory_.instances()) {
        cores[name] = entry.value.cores.value_or(0);
        if (entry.value.departing)
            departing.insert(name);
    }
    tokens_.setInstances(cores, std::move(departing), BootClock::now());
}

void TeamLimits::charge(const std::string& team, const Done& done)
{
    const TeamTokens::RequestId request = nextRequest_++;
    open_[request] = done;
    carryOut(team, tokens_.charge(team, request, BootClock::now()));
    if (open_.count(request) > 0)
        armTimer();
}

void TeamLimits::carryOut(const std::string& team, const TeamTokens::Decision& decision)
{
    for (const TeamTokens::RequestId request : decision.charged)
        complete(request, std::nullopt);
    for (const TeamTokens::RequestId request : decision.refused) {
        Reply reply = notRun(RefusalReason::RateExceeded, "the team's rate is used up");
        reply.retryAfter = tokens_.retryAfter(team);
        complete(request, reply);
    }
    for (const TeamTokens::Question& question : decision.questions) {
        if (!ask(team, question))
            carryOut(team, tokens_.onUnreachable(team, question.holder, BootClock::now()));
    }
}

// Returns false if the question could not be sent.
bool TeamLimits::ask(const std::string& team, const TeamTokens::Question& question)
{
    counters_.counter("team_tokens_asked_total")++;
    const stored::InstanceEntry* entry = directory_.instance(question.holder);
    const LinkId link = entry ? network_.linkTo(entry->peerAddress) : 0;
    peer::PeerMessage message;
    message.shareRequest = peer::ShareRequest {};
    peer::ShareRequest& request = *message.shareRequest;
    request.team = team;
    request.instance.name = self_;
    request.sequence = ++sequence_;
    request.wanted = question.wanted;
    return link != 0 && network_.send(link, { message, {} });
}

void TeamLimits::complete(TeamTokens::RequestId request, const std::optional<Reply>& refusal)
{
    const auto found = open_.find(request);
    if (found == open_.end())
        return;
    const Done done = std::move(found->second);
    open_.erase(found);
    done(refusal);
}

void TeamLimits::onShareRequest(LinkId link, const peer::ShareRequest& request)
{
    peer::PeerMessage message;
    message.shareGrant = peer::ShareGrant {};
    peer::ShareGrant& grant = *message.shareGrant;
    grant.team = request.team;
    grant.home.name = self_;
    grant.sequence = request.sequence;
    grant.tokens = tokens_.lend(request.team, request.wanted, BootClock::now());
    network_.send(link, { message, {} });
}

void TeamLimits::onShareGrant(const peer::ShareGrant& grant)
{
    carryOut(grant.team, tokens_.onTokens(grant.team, grant.home.name, grant.tokens, BootClock::now()));
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
        for (const std::string& team : tokens_.waitingTeams())
            carryOut(team, tokens_.step(team, BootClock::now()));
        if (!open_.empty())
            armTimer();
    });
}

}
