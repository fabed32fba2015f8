#include "sidecar/ingress.h"

#include "base/logger.h"
#include "base/random.h"
#include "sidecar/loadboard.h"
#include "sidecar/teamlimits.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    // A caller that does not say how long it waits.
    constexpr Milliseconds defaultPatience { 10'000 };
    constexpr Milliseconds longestPatience { 300'000 };
    // Requests whose key has no owner wait for so large a part of their objective, others for less.
    constexpr int keyedHoldPart = 2;
    constexpr int holdPart = 8;
    constexpr Milliseconds retryPause { 30 };
    // When to come back after a refusal that does not say it better.
    constexpr Milliseconds usualRetryAfter { 200 };
    // Before all priorities that a configuration gives.
    constexpr int64_t callPriority = -1;
    // Gates that may turn one request away before it is refused.
    constexpr int mostGates = 4;
    // Owners that gates told and that are remembered, of one service; older ones are dropped.
    constexpr size_t mostNewerOwners = 64;
    // The part of the fleet's reserve of retries that all instances together may use.
    constexpr double reservePart = 0.6;

    // Weight of one sample in the usual latency of a route.
    constexpr int usualLatencyWeight = 32;
    constexpr Duration comparedLatency = Milliseconds(100);
    // A server in another availability zone is worth its way only when it is so much less busy.
    constexpr double otherZoneCost = 1.5;
    constexpr double wholePercent = 100;

    ServerChoice::Load loadOf(const peer::ServerLoad& load, Duration usualWork)
    {
        return { static_cast<int>(load.running + load.waiting), static_cast<int>(load.slots),
            static_cast<double>(load.pacePercent) / wholePercent, usualWork };
    }

    Milliseconds toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<Milliseconds>(duration);
    }

    // Whether the request reached the server, which counts as a try of it.
    bool hasArrived(const Reply& reply)
    {
        return !reply.isNotRun() || reply.reason == RefusalReason::ServerShedding
            || reply.reason == RefusalReason::ServerStaleFence;
    }

}

// One request of a caller on its way.
struct Ingress::Passage {
    explicit Passage(asio::io_context& loop)
        : deadlineTimer(loop)
        , retryTimer(loop)
    {
    }

    std::shared_ptr<HttpExchange> exchange;
    std::string id;
    RoutedRequest routed;
    peer::ForwardedRequest request {};
    TimePoint arrived;
    TimePoint deadline;
    TimePoint objectiveEnd;
    TimePoint holdEnd;
    int arrivals = 0; // At servers.
    int gates = 0; // That turned it away.
    bool mayHaveRun = false;
    bool isWaiting = false; // For an owner or a server.
    bool isSendOpen = false; // Whether the last send was not replied to yet.
    bool isOver = false;
    std::vector<InstanceId> tried;
    std::function<void()> cancelCall; // Null while nothing is under way.
    Reply last;
    asio::steady_timer deadlineTimer;
    asio::steady_timer retryTimer;
    std::list<PassagePtr>::iterator place;
};

Ingress::Ingress(IngressOptions options)
    : options_(std::move(options))
{
}

Ingress::~Ingress() = default;

void Ingress::setConfiguration(const std::shared_ptr<const Configuration>& configuration)
{
    router_ = std::make_shared<Router>(configuration, options_.edges->credentialScheme, randomSource());
}

void Ingress::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    options_.counters->counter("requests_total")++;
    auto passage = std::make_shared<Passage>(*options_.loop);
    passage->exchange = exchange;
    passage->arrived = exchange->arrived();
    open_.push_back(passage);
    passage->place = std::prev(open_.end());
    exchange->setLeaveHandler([this, weak = std::weak_ptr<Passage>(passage)] {
        if (const auto left = weak.lock())
            callerLeft(left);
    });
    if (auto refusal = admit(*passage))
        return finish(passage, *std::move(refusal));
    passage->deadlineTimer.expires_after(passage->deadline - BootClock::now());
    passage->deadlineTimer.async_wait([this, weak = std::weak_ptr<Passage>(passage)](std::error_code error) {
        const auto late = weak.lock();
        if (!error && late)
            timedOut(late);
    });
    budgetOf(passage->routed.service).recordRequest();
    options_.limits->charge(
        passage->routed.team, [this, weak = std::weak_ptr<Passage>(passage)](std::optional<Reply> refusal) {
            const auto charged = weak.lock();
            if (!charged || charged->isOver)
                return;
            if (refusal)
                return finish(charged, *std::move(refusal));
            attempt(charged);
        });
}

// Checks the request and fills in where it goes; a refusal is always a certain not-run.
std::optional<Reply> Ingress::admit(Passage& passage)
{
    const HttpRequest& received = passage.exchange->request();
    auto head = options_.edges->readCaller(received);
    if (!head.ok())
        return notRun(RefusalReason::BadRequest, std::string(head.status().message()));
    passage.id = head->requestId;
    if (!router_ || !options_.zones->areKnown())
        return notRun(RefusalReason::NoConfiguration, "the configuration is not known yet");
    RoutingResult result = router_->route({ received.method, received.target, received.headers });
    if (auto* refusal = std::get_if<Reply>(&result))
        return std::move(*refusal);
    passage.routed = std::move(std::get<RoutedRequest>(result));
    const RoutedRequest& routed = passage.routed;
    Milliseconds patience = std::min(head->patience.value_or(defaultPatience), longestPatience);
    if (routed.timeout > Milliseconds(0))
        patience = std::min(patience, routed.timeout);
    // Work that has begun depends on the calls of servers: they go first, and late is better than not at all.
    const bool isServersCall = routed.team.empty();
    const Milliseconds objective = routed.objective > Milliseconds(0) && !isServersCall
        ? std::min(routed.objective, patience)
        : patience;
    passage.deadline = passage.arrived + patience;
    const bool isOfRunningWork = isServersCall && !options_.gate->isIdle();
    if (end_ && !(isOfRunningWork && passage.deadline <= *end_))
        return notRun(RefusalReason::Stopping, "this instance is stopping");
    passage.objectiveEnd = passage.arrived + objective;
    passage.holdEnd = passage.arrived + objective / (routed.partition >= 0 ? keyedHoldPart : holdPart);
    peer::ForwardedRequest& request = passage.request;
    request.requestId = passage.id;
    request.service = routed.service;
    request.route = routed.routeName;
    request.partition = routed.partition;
    request.fence = 0;
    request.key = routed.key;
    request.team = routed.team;
    request.method = received.method;
    request.target = received.target;
    request.headers = forwardableHeaders(received.headers);
    request.idempotent = routed.isIdempotent;
    request.priority = isServersCall ? callPriority : routed.priority;
    request.callerService = options_.settings.service;
    return std::nullopt;
}

void Ingress::attempt(const PassagePtr& passage)
{
    passage->isWaiting = false;
    const auto target = chooseTarget(*passage);
    if (target)
        return send(passage, *target);
    Reply nobody = passage->gates + passage->arrivals > 0
        ? passage->last
        : notRun(RefusalReason::NoOwner, "nobody serves the request at present");
    waitOrRefuse(passage, std::move(nobody));
}

std::optional<Ingress::Target> Ingress::chooseTarget(const Passage& passage)
{
    if (passage.routed.partition >= 0)
        return ownerOf(passage);
    const Candidates& candidates = candidatesOf(passage.routed.service);
    const auto chosen
        = choiceOf(passage.routed.service).choose(candidates.servers, passage.tried, BootClock::now());
    if (!chosen)
        return std::nullopt;
    return Target { *chosen, candidates.peerAddresses.at(chosen->name) };
}

std::optional<Ingress::Target> Ingress::ownerOf(const Passage& passage)
{
    const auto* table = options_.directory->keyTable(passage.routed.service);
    if (const auto* newer = newerOwner(passage))
        return targetOf(newer->instance, newer->server);
    const stored::KeyRange* range
        = table ? findRange(table->value, static_cast<int>(passage.routed.partition)) : nullptr;
    if (!range || !isOwned(*range))
        return std::nullopt;
    return targetOf(range->instance, range->server);
}

std::optional<Ingress::Target> Ingress::targetOf(const std::string& instance, const std::string& server) const
{
    const bool isLocal = instance == options_.settings.name;
    const stored::InstanceEntry* entry = isLocal ? nullptr : options_.directory->instance(instance);
    if (!isLocal && !entry)
        return std::nullopt;
    const std::string& zone = isLocal ? options_.settings.zone : entry->zone;
    if (options_.zones->use(zone, BootClock::now()) == ZoneUse::Nothing)
        return std::nullopt;
    return Target { { instance, server }, isLocal ? std::string() : entry->peerAddress };
}

// What a gate told of the key, if that was of a newer table than the directory's.
const peer::KeyOwner* Ingress::newerOwner(const Passage& passage)
{
    const auto known = newerOwners_.find(passage.routed.service);
    if (known == newerOwners_.end())
        return nullptr;
    const int64_t revision = options_.directory->keyTableRevision(passage.routed.service);
    auto& owners = known->second;
    owners.erase(std::remove_if(owners.begin(), owners.end(),
                     [revision](const peer::KeyOwner& owner) { return owner.revision <= revision; }),
        owners.end());
    const auto newest = std::find_if(owners.rbegin(), owners.rend(), [&passage](const peer::KeyOwner& owner) {
        return owner.first <= passage.routed.partition && passage.routed.partition <= owner.last;
    });
    return newest == owners.rend() ? nullptr : &*newest;
}

// Whether the refusal names an owner of the key that was not known here.
bool Ingress::noteOwner(const Passage& passage, const Reply& reply)
{
    if (!reply.owner)
        return false;
    const std::string& service = passage.routed.service;
    const peer::KeyOwner* newer = newerOwner(passage);
    if (reply.owner->revision <= (newer ? newer->revision : options_.directory->keyTableRevision(service)))
        return false;
    auto& owners = newerOwners_[service];
    owners.push_back(*reply.owner);
    if (owners.size() > mostNewerOwners)
        owners.erase(owners.begin());
    return true;
}

// The servers of the service that take work; made anew when the fleet or the zones have changed.
const Ingress::Candidates& Ingress::candidatesOf(const std::string& service)
{
    if (candidatesVersion_ != options_.directory->version()) {
        candidates_.clear();
        candidatesVersion_ = options_.directory->version();
    }
    const auto [entry, isNew] = candidates_.try_emplace(service);
    if (isNew)
        fill(entry->second, service);
    return entry->second;
}

void Ingress::fill(Candidates& candidates, const std::string& service)
{
    for (const auto& [name, entry] : options_.directory->instances()) {
        const stored::InstanceEntry& instance = entry.value;
        const bool takesWork = instance.service == service && instance.server && !instance.departing
            && instance.server->readiness == stored::Readiness::Ready
            && !options_.zones->isOut(instance.zone);
        if (!takesWork)
            continue;
        const bool isLocal = name == options_.settings.name;
        const bool isNear = instance.zone == options_.settings.zone;
        choiceOf(service).setDistance({ name, instance.server->id }, isNear ? 1 : otherZoneCost);
        candidates.servers.push_back({ name, instance.server->id });
        candidates.peerAddresses[name] = isLocal ? std::string() : instance.peerAddress;
    }
}

void Ingress::send(const PassagePtr& passage, const Target& target)
{
    // On a late loop the leaving may have arrived without having been read.
    if (passage->exchange->hasCallerLeft())
        return callerLeft(passage);
    const TimePoint now = BootClock::now();
    peer::ForwardedRequest request = passage->request;
    request.timeoutMs = std::max<int64_t>(1, toMilliseconds(passage->deadline - now).count());
    request.objectiveMs = std::max<int64_t>(0, toMilliseconds(passage->objectiveEnd - now).count());
    const bool isKeyed = passage->routed.partition >= 0;
    if (!isKeyed)
        choiceOf(passage->routed.service).began(target.server);
    const auto done = [this, weak = std::weak_ptr<Passage>(passage), target, now](Reply reply) {
        const auto replyTo = weak.lock();
        if (replyTo && !replyTo->isOver)
            replied(replyTo, target, now, std::move(reply));
    };
    // The reply may come before the call returns; then there is nothing to cancel.
    passage->isSendOpen = true;
    std::function<void()> cancel;
    if (target.peerAddress.empty()) {
        GateCall call { std::move(request), passage->exchange->request().body, passage->deadline,
            passage->objectiveEnd, done };
        cancel = [this, id = options_.gate->submit(std::move(call))] { options_.gate->cancel(id); };
    } else {
        const auto id = options_.peers->send(
            target.peerAddress, std::move(request), passage->exchange->request().body, done);
        cancel = [this, id] { options_.peers->cancel(id); };
    }
    if (passage->isSendOpen && !passage->cancelCall)
        passage->cancelCall = std::move(cancel);
}

void Ingress::replied(const PassagePtr& passage, const Target& target, TimePoint sentAt, Reply reply)
{
    passage->cancelCall = nullptr;
    passage->isSendOpen = false;
    noteReply(*passage, target, BootClock::now() - sentAt, reply);
    if (reply.isAnswer)
        return finish(passage, std::move(reply));
    if (hasArrived(reply))
        ++passage->arrivals;
    else
        ++passage->gates;
    passage->mayHaveRun = passage->mayHaveRun || !reply.isNotRun();
    passage->tried.push_back(target.server);
    passage->last = std::move(reply);
    if (!mayTryAgain(*passage, passage->last))
        return finish(passage, passage->last);
    if (passage->routed.partition >= 0 && !noteOwner(*passage, passage->last))
        return waitOrRefuse(passage, passage->last);
    attempt(passage);
}

void Ingress::noteReply(const Passage& passage, const Target& target, Duration latency, const Reply& reply)
{
    const TimePoint now = BootClock::now();
    if (reply.load)
        options_.loads->note(target.server.name, *reply.load, now);
    if (passage.routed.partition >= 0)
        return;
    ServerChoice& choice = choiceOf(passage.routed.service);
    if (reply.load && reply.load->slots > 0) {
        const Milliseconds work(reply.load->usualWorkMs);
        const Duration compared
            = work > Milliseconds(0) ? asUsual(usualWork_[passage.routed.routeName], work) : Duration::zero();
        choice.recordLoad(target.server, loadOf(*reply.load, compared), now);
    }
    if (reply.isAnswer)
        choice.succeeded(target.server, asUsual(usualLatency_[passage.routed.routeName], latency), now);
    else if (reply.isNotRun() && reply.reason == RefusalReason::QueueFull)
        choice.abandoned(target.server, Duration::zero(), now);
    else
        choice.failed(target.server, now);
}

// The time as it would be if all routes took the same, so that servers can be compared by it.
Duration Ingress::asUsual(Duration& usual, Duration sample)
{
    usual = usual == Duration::zero() ? sample : usual + (sample - usual) / usualLatencyWeight;
    const double ratio
        = static_cast<double>(sample.count()) / static_cast<double>(std::max<int64_t>(1, usual.count()));
    return Duration(static_cast<int64_t>(ratio * static_cast<double>(comparedLatency.count())));
}

bool Ingress::mayTryAgain(const Passage& passage, const Reply& reply)
{
    // What waits for its key's owner is bounded by its hold.
    const bool isTurnedAway = passage.gates >= mostGates && passage.routed.partition < 0;
    if (BootClock::now() >= passage.deadline || isTurnedAway)
        return false;
    // What may have run is sent again only where that does no harm.
    if (!reply.isNotRun() && !passage.routed.isIdempotent)
        return false;
    if (!hasArrived(reply))
        return reply.reason != RefusalReason::QueueFull || passage.routed.partition < 0;
    return passage.arrivals < passage.routed.maxAttempts && budgetOf(passage.routed.service).tryAcquire();
}

void Ingress::waitOrRefuse(const PassagePtr& passage, Reply reply)
{
    const TimePoint now = BootClock::now();
    if (now + retryPause >= passage->holdEnd)
        return finish(passage, std::move(reply));
    passage->isWaiting = true;
    passage->last = std::move(reply);
    passage->retryTimer.expires_after(retryPause);
    passage->retryTimer.async_wait([this, weak = std::weak_ptr<Passage>(passage)](std::error_code error) {
        const auto waiting = weak.lock();
        if (!error && waiting && !waiting->isOver && waiting->isWaiting)
            attempt(waiting);
    });
}

void Ingress::onDirectoryChange()
{
    const std::vector<PassagePtr> open(open_.begin(), open_.end());
    for (const PassagePtr& passage : open) {
        if (passage->isOver || !passage->isWaiting)
            continue;
        passage->retryTimer.cancel();
        attempt(passage);
    }
}

void Ingress::timedOut(const PassagePtr& passage)
{
    end(passage, notRun(RefusalReason::DeadlinePassed, "no answer came before the deadline"));
}

void Ingress::giveUp()
{
    const std::vector<PassagePtr> open(open_.begin(), open_.end());
    for (const PassagePtr& passage : open)
        end(passage, notRun(RefusalReason::Stopping, "no answer came before this instance ended"));
}

// Ends the request whatever is under way; the reply is that of one that has not run.
void Ingress::end(const PassagePtr& passage, Reply reply)
{
    if (passage->isOver)
        return;
    const bool isUnderWay = passage->cancelCall != nullptr;
    cancelCall(*passage);
    passage->mayHaveRun = passage->mayHaveRun || isUnderWay;
    finish(passage, std::move(reply));
}

void Ingress::callerLeft(const PassagePtr& passage)
{
    if (passage->isOver)
        return;
    cancelCall(*passage);
    passage->isOver = true;
    passage->deadlineTimer.cancel();
    passage->retryTimer.cancel();
    open_.erase(passage->place);
    log(LogLevel::Info, "caller-left",
        { { "request", passage->id }, { "route", passage->routed.routeName },
            { "afterMs", toMilliseconds(BootClock::now() - passage->arrived).count() } });
}

void Ingress::cancelCall(Passage& passage)
{
    if (const auto cancel = std::exchange(passage.cancelCall, nullptr))
        cancel();
}

void Ingress::finish(const PassagePtr& passage, Reply reply)
{
    if (std::exchange(passage->isOver, true))
        return;
    passage->deadlineTimer.cancel();
    passage->retryTimer.cancel();
    open_.erase(passage->place);
    if (passage->mayHaveRun && reply.isNotRun())
        reply.outcome = peer::Outcome::Unknown;
    if (!reply.isAnswer) {
        if (reply.retryAfter <= Milliseconds(0))
            reply.retryAfter = usualRetryAfter;
        options_.counters->counter("refusals_total", "reason", refusalToken(reply.reason))++;
    }
    const Duration took = BootClock::now() - passage->arrived;
    options_.counters->histogram("request_seconds", "service", passage->routed.service).observe(took);
    log(LogLevel::Info, "request",
        { { "request", passage->id }, { "route", passage->routed.routeName },
            { "team", passage->routed.team }, { "key", passage->routed.partition },
            { "servers", passage->arrivals }, { "gates", passage->gates }, { "status", reply.status },
            { "outcome", reply.isAnswer ? "answered" : std::string(refusalToken(reply.reason)) },
            { "isNotRun", reply.isNotRun() }, { "cause", reply.detail },
            { "tookMs", toMilliseconds(took).count() } });
    passage->exchange->respond(options_.edges->writeReply(reply, passage->id));
}

ServerChoice& Ingress::choiceOf(const std::string& service)
{
    return choices_.try_emplace(service, randomSource()).first->second;
}

// The budget is shared by all instances: each has its part of the reserve.
RetryBudget& Ingress::budgetOf(const std::string& service)
{
    const auto instances = std::max<size_t>(1, options_.directory->instances().size());
    const double reserve
        = std::max(1.0, options_.settings.retryReserve * reservePart / static_cast<double>(instances));
    RetryBudget& budget
        = budgets_.try_emplace(service, RetryBudget(options_.settings.retryShare, reserve)).first->second;
    budget.setMaxTokens(reserve);
    return budget;
}

}
