#include "sidecar/ingress.h"

#include "base/logger.h"
#include "base/random.h"
#include "sidecar/ingressrequest.h"
#include "sidecar/peerloadtracker.h"
#include "sidecar/teamlimits.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    // For a caller that does not state how long it waits.
    constexpr Milliseconds defaultCallerTimeout { 10'000 };
    constexpr Milliseconds maxCallerTimeout { 300'000 };
    // A request whose key has no owner waits for its latency objective divided by the first number, a request
    // without a key for less: its objective divided by the second one.
    constexpr int keyedWaitDivisor = 2;
    constexpr int unkeyedWaitDivisor = 8;
    constexpr Milliseconds retryInterval { 30 };
    // The delay before a retry for refusals that do not name one.
    constexpr Milliseconds defaultRetryAfter { 200 };
    // Precedes all priorities that a configuration can assign.
    constexpr int64_t serverCallPriority = -1;
    // A request without a key is refused to its caller after this number of refusals by gates.
    constexpr int maxGateRefusals = 4;
    // The share of the fleet's retry reserve that all instances together may use.
    constexpr double usableReserveShare = 0.6;

    constexpr double wholePercent = 100;

    ServerChoice::Load loadOf(const peer::ServerLoad& load, Duration usualWork)
    {
        return { static_cast<int>(load.running + load.waiting), static_cast<int>(load.slots),
            static_cast<double>(load.pacePercent) / wholePercent, usualWork };
    }

}

Ingress::Ingress(IngressOptions options)
    : options_(std::move(options))
    , reportedOwners_([this](const std::string& service, int64_t key) {
        return options_.directory->keyTableRevision(service, key);
    })
{
}

Ingress::~Ingress() = default;

void Ingress::setConfiguration(const std::shared_ptr<const Configuration>& configuration)
{
    configuration_ = configuration;
    router_ = std::make_shared<Router>(configuration, options_.protocol->credentialScheme, randomSource());
}

void Ingress::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    options_.counters->counter("requests_total")++;
    auto pending = std::make_shared<PendingRequest>(*options_.loop);
    pending->exchange = exchange;
    pending->arrivedAt = exchange->arrivedAt();
    pendingRequests_.push_back(pending);
    pending->listPosition = std::prev(pendingRequests_.end());
    exchange->setDisconnectHandler([this, weak = std::weak_ptr<PendingRequest>(pending)] {
        if (const auto disconnected = weak.lock())
            onCallerDisconnected(disconnected);
    });
    if (auto refusal = admit(*pending))
        return finish(pending, *std::move(refusal));
    pending->deadlineTimer.expires_after(pending->deadline - BootClock::now());
    pending->deadlineTimer.async_wait(
        [this, weak = std::weak_ptr<PendingRequest>(pending)](std::error_code error) {
            const auto late = weak.lock();
            if (!error && late)
                onDeadline(late);
        });
    budgetOf(pending->routed.service).recordRequest();
    options_.teamLimits->charge(pending->routed.team,
        [this, weak = std::weak_ptr<PendingRequest>(pending)](std::optional<Reply> refusal) {
            const auto charged = weak.lock();
            if (!charged || charged->isFinished)
                return;
            if (refusal)
                return finish(charged, *std::move(refusal));
            attempt(charged);
        });
}

// Validates and routes the request. A request that is refused here has certainly not run.
std::optional<Reply> Ingress::admit(PendingRequest& pending)
{
    const HttpRequest& received = pending.exchange->request();
    auto caller = options_.protocol->readCaller(received);
    if (!caller.ok())
        return notRun(RefusalReason::BadRequest, std::string(caller.status().message()));
    pending.id = caller->requestId;
    if (!router_ || !options_.zones->areKnown())
        return notRun(RefusalReason::NoConfiguration, "the configuration is not known yet");
    RoutingResult result = router_->route({ received.method, received.target, received.headers });
    if (auto* refusal = std::get_if<Reply>(&result))
        return std::move(*refusal);
    pending.routed = std::move(std::get<RoutedRequest>(result));
    const RoutedRequest& routed = pending.routed;
    Milliseconds callerTimeout = std::min(caller->timeout.value_or(defaultCallerTimeout), maxCallerTimeout);
    if (routed.timeout > Milliseconds(0))
        callerTimeout = std::min(callerTimeout, routed.timeout);
    // Calls of backend servers have the highest priority and no latency objective: work that is already
    // running depends on them, so a late answer is better than none.
    const bool isServerCall
        = configuration_->isOpen() ? options_.gate->isRunning(caller->parentRequestId) : routed.team.empty();
    const Milliseconds objective = routed.objective > Milliseconds(0) && !isServerCall
        ? std::min(routed.objective, callerTimeout)
        : callerTimeout;
    pending.deadline = pending.arrivedAt + callerTimeout;
    const bool isForRunningWork = isServerCall && !options_.gate->isIdle();
    if (processEnd_ && !(isForRunningWork && pending.deadline <= *processEnd_))
        return notRun(RefusalReason::Stopping, "this instance is stopping");
    pending.objectiveEnd = pending.arrivedAt + objective;
    pending.waitEnd
        = pending.arrivedAt + objective / (routed.partition >= 0 ? keyedWaitDivisor : unkeyedWaitDivisor);
    peer::ForwardedRequest& request = pending.request;
    request.requestId = pending.id;
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
    request.priority = isServerCall ? serverCallPriority : routed.priority;
    request.callerService = options_.settings.service;
    return options_.quarantine->refusal(request, received.body, pending.arrivedAt);
}

void Ingress::attempt(const PendingRequestPtr& pending)
{
    pending->isWaiting = false;
    auto quarantined
        = options_.quarantine->refusal(pending->request, pending->exchange->request().body, BootClock::now());
    if (quarantined)
        return finish(pending, *std::move(quarantined));
    const auto target = chooseTarget(*pending);
    if (target)
        return send(pending, *target);
    Reply noTarget = pending->gateRefusals + pending->serverAttempts > 0
        ? pending->lastReply
        : notRun(RefusalReason::NoOwner, "nobody serves the request at present");
    waitOrRefuse(pending, std::move(noTarget));
}

void Ingress::send(const PendingRequestPtr& pending, const Target& target)
{
    // If the event loop is late, the caller may have disconnected without that having been read yet.
    if (pending->exchange->hasCallerDisconnected())
        return onCallerDisconnected(pending);
    const TimePoint now = BootClock::now();
    peer::ForwardedRequest request = pending->request;
    request.timeoutMs = std::max<int64_t>(1, toMilliseconds(pending->deadline - now).count());
    request.objectiveMs = std::max<int64_t>(0, toMilliseconds(pending->objectiveEnd - now).count());
    const bool isKeyed = pending->routed.partition >= 0;
    if (!isKeyed)
        choiceOf(pending->routed.service).began(target.server);
    const auto done = [this, weak = std::weak_ptr<PendingRequest>(pending), target, now](Reply reply) {
        const auto replyTo = weak.lock();
        if (replyTo && !replyTo->isFinished)
            onReply(replyTo, target, now, std::move(reply));
    };
    // The reply may arrive before the call returns; then there is nothing to cancel.
    pending->isAwaitingReply = true;
    std::function<void()> cancel;
    if (target.peerAddress.empty()) {
        GateCall call { std::move(request), pending->exchange->request().body, pending->deadline,
            pending->objectiveEnd, done, 0, {} };
        cancel = [this, id = options_.gate->submit(std::move(call))] { options_.gate->cancel(id); };
    } else {
        const auto id = options_.peerCalls->send(
            target.peerAddress, std::move(request), pending->exchange->request().body, done);
        cancel = [this, id] { options_.peerCalls->cancel(id); };
    }
    if (pending->isAwaitingReply && !pending->cancelCall)
        pending->cancelCall = std::move(cancel);
}

void Ingress::onReply(const PendingRequestPtr& pending, const Target& target, TimePoint sentAt, Reply reply)
{
    pending->cancelCall = nullptr;
    pending->isAwaitingReply = false;
    recordReply(*pending, target, BootClock::now() - sentAt, reply);
    recordExposure(*pending, reply);
    if (reply.isAnswer) {
        const bool isLocalServer = target.peerAddress.empty();
        options_.quarantine->onAnswer(
            pending->request, pending->exchange->request().body, reply, sentAt, isLocalServer);
        return finish(pending, std::move(reply));
    }
    if (hasReachedServer(reply))
        ++pending->serverAttempts;
    else
        ++pending->gateRefusals;
    pending->mayHaveRun = pending->mayHaveRun || !reply.isNotRun();
    pending->triedServers.push_back(target.server);
    pending->lastReply = std::move(reply);
    if (!mayRetry(*pending, pending->lastReply))
        return finish(pending, pending->lastReply);
    const auto& newOwner = pending->lastReply.owner;
    const bool isKeyed = pending->routed.partition >= 0;
    if (isKeyed
        && !(newOwner && reportedOwners_.add(pending->routed.service, pending->routed.partition, *newOwner)))
        return waitOrRefuse(pending, pending->lastReply);
    attempt(pending);
}

void Ingress::recordReply(
    const PendingRequest& pending, const Target& target, Duration latency, const Reply& reply)
{
    const TimePoint now = BootClock::now();
    if (reply.load)
        options_.peerLoads->record(target.server.name, *reply.load, now);
    const bool isKeyed = pending.routed.partition >= 0;
    Duration normalizedWork { 0 };
    if (reply.load && reply.load->usualWorkMs > 0 && (!isKeyed || learnsConcurrency(pending.routed.service)))
        normalizedWork = workScale_.scaled(pending.routed.routeName, Milliseconds(reply.load->usualWorkMs));
    if (isKeyed) {
        const std::chrono::duration<double> work = normalizedWork;
        return options_.peerLoads->recordWork(target.server.name, work / LatencyScale::reference, now);
    }
    ServerChoice& choice = choiceOf(pending.routed.service);
    if (reply.load && reply.load->slots > 0)
        choice.recordLoad(target.server, loadOf(*reply.load, normalizedWork), now);
    if (reply.isAnswer)
        choice.succeeded(target.server, latencyScale_.scaled(pending.routed.routeName, latency), now);
    else if (reply.isNotRun()
        && (reply.reason == RefusalReason::QueueFull || reply.reason == RefusalReason::Quarantined))
        choice.abandoned(target.server, Duration::zero(), now);
    else
        choice.failed(target.server, now);
}

bool Ingress::mayRetry(const PendingRequest& pending, const Reply& reply)
{
    // Requests that wait for the owner of their key are limited by `waitEnd` instead.
    const bool hasTooManyGateRefusals
        = pending.gateRefusals >= maxGateRefusals && pending.routed.partition < 0;
    const bool isQuarantined = reply.reason == RefusalReason::Quarantined;
    if (BootClock::now() >= pending.deadline || hasTooManyGateRefusals || isQuarantined)
        return false;
    // A request that may have run is retried only if it is idempotent.
    if (!reply.isNotRun() && !pending.routed.isIdempotent)
        return false;
    if (!hasReachedServer(reply))
        return reply.reason != RefusalReason::QueueFull || pending.routed.partition < 0;
    return pending.serverAttempts < pending.routed.maxAttempts
        && budgetOf(pending.routed.service).tryAcquire();
}

void Ingress::waitOrRefuse(const PendingRequestPtr& pending, Reply reply)
{
    const TimePoint now = BootClock::now();
    if (now + retryInterval >= pending->waitEnd)
        return finish(pending, std::move(reply));
    pending->isWaiting = true;
    pending->lastReply = std::move(reply);
    pending->retryTimer.expires_after(retryInterval);
    pending->retryTimer.async_wait(
        [this, weak = std::weak_ptr<PendingRequest>(pending)](std::error_code error) {
            const auto waiting = weak.lock();
            if (!error && waiting && !waiting->isFinished && waiting->isWaiting)
                attempt(waiting);
        });
}

void Ingress::onDirectoryChange()
{
    const std::vector<PendingRequestPtr> pendingRequests(pendingRequests_.begin(), pendingRequests_.end());
    for (const PendingRequestPtr& pending : pendingRequests) {
        if (pending->isFinished || !pending->isWaiting)
            continue;
        pending->retryTimer.cancel();
        attempt(pending);
    }
}

void Ingress::onDeadline(const PendingRequestPtr& pending)
{
    abandon(pending, notRun(RefusalReason::DeadlinePassed, "no answer came before the deadline"));
}

void Ingress::abandonAll()
{
    const std::vector<PendingRequestPtr> pendingRequests(pendingRequests_.begin(), pendingRequests_.end());
    for (const PendingRequestPtr& pending : pendingRequests)
        abandon(pending, notRun(RefusalReason::Stopping, "no answer came before this instance ended"));
}

// Ends the request even if a call is in flight, which is cancelled. `reply` is a not-run refusal; finish()
// changes its outcome to unknown if the request may have run.
void Ingress::abandon(const PendingRequestPtr& pending, Reply reply)
{
    if (pending->isFinished)
        return;
    const bool isInFlight = pending->cancelCall != nullptr;
    cancelCall(*pending);
    pending->mayHaveRun = pending->mayHaveRun || isInFlight;
    finish(pending, std::move(reply));
}

void Ingress::onCallerDisconnected(const PendingRequestPtr& pending)
{
    if (pending->isFinished)
        return;
    cancelCall(*pending);
    pending->isFinished = true;
    pending->deadlineTimer.cancel();
    pending->retryTimer.cancel();
    pendingRequests_.erase(pending->listPosition);
    log(LogLevel::Info, "caller-left",
        { { "request", pending->id }, { "route", pending->routed.routeName },
            { "afterMs", toMilliseconds(BootClock::now() - pending->arrivedAt).count() } });
}

void Ingress::cancelCall(PendingRequest& pending)
{
    if (const auto cancel = std::exchange(pending.cancelCall, nullptr))
        cancel();
}

void Ingress::finish(const PendingRequestPtr& pending, Reply reply)
{
    if (std::exchange(pending->isFinished, true))
        return;
    pending->deadlineTimer.cancel();
    pending->retryTimer.cancel();
    pendingRequests_.erase(pending->listPosition);
    if (pending->mayHaveRun && reply.isNotRun())
        reply.outcome = peer::Outcome::Unknown;
    if (!reply.isAnswer) {
        if (reply.retryAfter <= Milliseconds(0))
            reply.retryAfter = defaultRetryAfter;
        options_.counters->counter("refusals_total", "reason", refusalToken(reply.reason))++;
    }
    const Duration took = BootClock::now() - pending->arrivedAt;
    options_.counters->histogram("request_seconds", "service", pending->routed.service).observe(took);
    log(LogLevel::Info, "request",
        { { "request", pending->id }, { "route", pending->routed.routeName },
            { "team", pending->routed.team }, { "key", pending->routed.partition },
            { "servers", pending->serverAttempts }, { "gates", pending->gateRefusals },
            { "status", reply.status },
            { "outcome", reply.isAnswer ? "answered" : std::string(refusalToken(reply.reason)) },
            { "isNotRun", reply.isNotRun() }, { "cause", reply.detail },
            { "tookMs", toMilliseconds(took).count() } });
    pending->exchange->respond(options_.protocol->writeReply(reply, pending->id));
}

ServerChoice& Ingress::choiceOf(const std::string& service)
{
    return serverChoices_.try_emplace(service, randomSource()).first->second;
}

// The retry budget is shared by all instances: each one gets an equal part of the reserve.
RetryBudget& Ingress::budgetOf(const std::string& service)
{
    const auto instances = std::max<size_t>(1, options_.directory->instances().size());
    const double reserve
        = std::max(1.0, options_.settings.retryReserve * usableReserveShare / static_cast<double>(instances));
    RetryBudget& budget
        = retryBudgets_.try_emplace(service, RetryBudget(options_.settings.retryRatio, reserve))
              .first->second;
    budget.setMaxTokens(reserve);
    return budget;
}

}
