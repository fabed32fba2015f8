#include "soak/promises.h"

#include <fmt/format.h>

namespace persimmonfield::soak {
namespace {

    constexpr int statusOk = 200;
    constexpr int statusTooMany = 429;
    constexpr int statusUnavailable = 503;
    constexpr const char* idHeader = "Persimmonfield-Request-Id";
    // The platform's bounds: what a team's runs may exceed its rate by, over any such window.
    constexpr std::chrono::seconds rateWindow { 5 };
    constexpr double rateOverage = 0.1;
    constexpr int rateSlack = 20;

    std::string headerOf(const HeaderFields& headers, const char* name)
    {
        const std::string* value = findHeader(headers, name);
        return value ? *value : std::string();
    }

    bool overlap(const StandInServer::Held& left, const StandInServer::Held& right)
    {
        return left.first <= right.last && right.first <= left.last;
    }

    bool mayRunOnce(const HttpRequest& request)
    {
        return request.method == "POST";
    }

}

void Promises::broken(const std::string& what)
{
    breaks_.push_back(what);
}

void Promises::ran(
    const StandInServer& server, const HttpRequest& request, const Servers& others, TimePoint now)
{
    const std::string id = headerOf(request.headers, idHeader);
    auto& servers = runs_[id];
    servers.insert(server.id());
    if (mayRunOnce(request) && servers.size() > 1)
        broken(fmt::format("request {} ran {} times", id, servers.size()));
    if (mayRunOnce(request) && refused_.count(id) > 0)
        broken(fmt::format("request {} ran after it was said not to run", id));
    const std::string key = headerOf(request.headers, "Persimmonfield-Shard-Key");
    for (const StandInServer* other : others) {
        if (!key.empty() && other->holds(std::stoi(key)))
            broken(fmt::format("key {} is held by {} and {}", key, server.id(), other->id()));
    }
    if (headerOf(request.headers, "Persimmonfield-Tenant") != limitedTeam)
        return;
    limitedRuns_.push_back(now);
    checkRate(now);
}

void Promises::checkRate(TimePoint now)
{
    while (now - limitedRuns_.front() > rateWindow)
        limitedRuns_.pop_front();
    constexpr int inWindow = limitedRate * static_cast<int>(rateWindow.count()) + limitedRate;
    constexpr double most = inWindow * (1 + rateOverage) + rateSlack;
    if (static_cast<double>(limitedRuns_.size()) > most)
        broken(fmt::format("{} runs of the limited team in 5 s, {} allowed", limitedRuns_.size(), most));
}

void Promises::took(const StandInServer& server, const StandInServer::Held& range, const Servers& others)
{
    for (const StandInServer* other : others) {
        if (other->isBusyWith(range))
            broken(fmt::format("{} takes {} to {} while {} holds keys of it", server.id(), range.first,
                range.last, other->id()));
    }
    for (const Taken& taken : taken_) {
        if (taken.server != &server && overlap(taken.range, range) && taken.range.fence >= range.fence)
            broken(fmt::format("{} takes {} to {} with fence {}, {} had {}", server.id(), range.first,
                range.last, range.fence, taken.server->id(), taken.range.fence));
    }
    taken_.push_back({ range, &server });
}

void Promises::answered(const HttpRequest& request, const HttpResponse& response)
{
    const std::string id = headerOf(request.headers, idHeader);
    if (headerOf(response.headers, idHeader) != id)
        broken(fmt::format("request {} got an answer of another one", id));
    if (response.status == statusTooMany || response.status == statusUnavailable) {
        refused_.insert(id);
        if (mayRunOnce(request) && hasRun(id))
            broken(fmt::format("request {} ran and was answered with {}", id, response.status));
    }
    if (response.status != statusOk)
        return;
    ++served_;
    const std::string prefix = "from ";
    const bool isWhole = response.body.compare(0, prefix.size(), prefix) == 0 && hasRun(id)
        && runs_.at(id).count(response.body.substr(prefix.size())) > 0;
    if (!isWhole || headerOf(response.headers, "Persimmonfield-Response-Signature").empty())
        broken(fmt::format("request {} got '{}', which none of its servers sent", id, response.body));
}

}
