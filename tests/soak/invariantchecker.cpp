#include "soak/invariantchecker.h"

#include <fmt/format.h>

namespace persimmonfield::soak {
namespace {

    constexpr int statusOk = 200;
    constexpr int statusTooManyRequests = 429;
    constexpr int statusUnavailable = 503;
    constexpr const char* idHeader = "Persimmonfield-Request-Id";
    // Bounds of the platform: how far a team's runs may exceed its rate limit in any window of this length.
    constexpr std::chrono::seconds rateWindow { 5 };
    constexpr double rateTolerance = 0.1;
    constexpr int rateSlack = 20;

    std::string headerOf(const HeaderFields& headers, const char* name)
    {
        const std::string* value = findHeader(headers, name);
        return value ? *value : std::string();
    }

    bool overlap(const StandInServer::HeldRange& left, const StandInServer::HeldRange& right)
    {
        return left.first <= right.last && right.first <= left.last;
    }

    bool mustRunAtMostOnce(const HttpRequest& request)
    {
        return request.method == "POST";
    }

}

void InvariantChecker::reportViolation(const std::string& what)
{
    violations_.push_back(what);
}

void InvariantChecker::onRequestStarted(
    const StandInServer& server, const HttpRequest& request, const Servers& others, TimePoint now)
{
    const std::string id = headerOf(request.headers, idHeader);
    auto& servers = runs_[id];
    servers.insert(server.id());
    if (mustRunAtMostOnce(request) && servers.size() > 1)
        reportViolation(fmt::format("request {} ran {} times", id, servers.size()));
    if (mustRunAtMostOnce(request) && rejected_.count(id) > 0)
        reportViolation(fmt::format("request {} ran after the caller was told that it would not run", id));
    const std::string key = headerOf(request.headers, "Persimmonfield-Shard-Key");
    for (const StandInServer* other : others) {
        if (!key.empty() && other->holds(std::stoi(key)))
            reportViolation(fmt::format("key {} is held by {} and {}", key, server.id(), other->id()));
    }
    if (headerOf(request.headers, "Persimmonfield-Tenant") != limitedTeam)
        return;
    limitedRuns_.push_back(now);
    checkRateLimit(now);
}

void InvariantChecker::checkRateLimit(TimePoint now)
{
    while (now - limitedRuns_.front() > rateWindow)
        limitedRuns_.pop_front();
    constexpr int allowedInWindow = limitedRate * static_cast<int>(rateWindow.count()) + limitedRate;
    constexpr double maxRuns = allowedInWindow * (1 + rateTolerance) + rateSlack;
    if (static_cast<double>(limitedRuns_.size()) > maxRuns)
        reportViolation(
            fmt::format("{} runs of the limited team in 5 s, {} allowed", limitedRuns_.size(), maxRuns));
}

void InvariantChecker::onRangeAcquired(
    const StandInServer& server, const StandInServer::HeldRange& range, const Servers& others)
{
    for (const StandInServer* other : others) {
        if (other->isBusyWith(range))
            reportViolation(fmt::format("{} acquires {} to {} while {} holds keys of it", server.id(),
                range.first, range.last, other->id()));
    }
    for (const Acquisition& acquired : acquisitions_) {
        if (acquired.server != &server && overlap(acquired.range, range)
            && acquired.range.fence >= range.fence)
            reportViolation(fmt::format("{} acquires {} to {} with fence {}, {} had {}", server.id(),
                range.first, range.last, range.fence, acquired.server->id(), acquired.range.fence));
    }
    acquisitions_.push_back({ range, &server });
}

void InvariantChecker::onResponse(const HttpRequest& request, const HttpResponse& response)
{
    const std::string id = headerOf(request.headers, idHeader);
    if (headerOf(response.headers, idHeader) != id)
        reportViolation(fmt::format("request {} got the response of another request", id));
    if (response.status == statusTooManyRequests || response.status == statusUnavailable) {
        rejected_.insert(id);
        if (mustRunAtMostOnce(request) && hasRun(id))
            reportViolation(
                fmt::format("request {} ran although it was answered with {}", id, response.status));
    }
    if (response.status != statusOk)
        return;
    ++served_;
    const std::string prefix = "from ";
    const bool isBodyExpected = response.body.compare(0, prefix.size(), prefix) == 0 && hasRun(id)
        && runs_.at(id).count(response.body.substr(prefix.size())) > 0;
    if (!isBodyExpected || headerOf(response.headers, "Persimmonfield-Response-Signature").empty())
        reportViolation(
            fmt::format("request {} received '{}', which none of its servers sent", id, response.body));
}

}
