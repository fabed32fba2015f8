#include "sidecar/servergate.h"

#include "base/logger.h"
#include "limits/memorylimits.h"
#include "messages/frame.h"
#include "sidecar/serverreply.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonfield {
namespace {

    // After the server refused a connection, all requests are refused for this time without an attempt.
    constexpr Milliseconds unreachableBackoff { 150 };
    // A draining server gets no more requests when less than this is left of the drain time.
    constexpr Milliseconds drainMargin { 500 };
    // A request with less time left than this is not sent, since it cannot be answered before its deadline.
    constexpr Milliseconds minTimeLeft { 5 };
    constexpr int defaultPacePercent = 100;
    // An answer is forwarded to another instance in a single frame together with its head. In bytes.
    constexpr size_t reservedForHead = 131'072;
    constexpr size_t maxAnswerSize = maxFrameBytes - reservedForHead;
    constexpr double wholePercent = 100;
    constexpr const char* stoppingDetail = "the instance ends before the request would";

    HttpClientOptions clientOptions(const ServerGateOptions& options)
    {
        HttpClientOptions result;
        result.address = options.settings.serverAddress;
        result.maxBodyBytes = maxAnswerSize;
        result.maxTotalBodyBytes
            = memoryLimitsFor(options.settings.memoryMb, options.settings.descriptors).answerBytes;
        result.isAnswerTo = options.protocol->isAnswerTo;
        return result;
    }

    QueuedRequest queuedRequest(int64_t id, const GateCall& call)
    {
        return { id, call.asker, call.request.route, call.request.priority, call.objectiveEnd,
            call.deadline };
    }

}

ServerGate::ServerGate(ServerGateOptions options)
    : options_(std::move(options))
    , client_(*options_.loop, clientOptions(options_))
    , timer_(*options_.loop)
    , queue_({ LatePolicy::Refuse, [this](int64_t id) { return isWaitingSuspect(id); } })
    , coldGuard_({ options_.loop, options_.protocol, options_.settings, options_.counters,
          [this] { startQueuedCalls(); } })
    , concurrency_(*options_.counters)
    , crashDetector_(*options_.loop, options_.settings.serverAddress)
{
}

void ServerGate::setServer(std::optional<GatedServer> server)
{
    if (!server)
        client_.closeIdle();
    else if (lastServer_ && lastServer_->incarnation != server->incarnation)
        endLastIncarnation();
    if (server) {
        lastServer_ = server;
        const TimePoint now = BootClock::now();
        coldGuard_.onReport(server->incarnation, server->coldUntil, now);
        concurrency_.setServer(server->incarnation.id, server->incarnation.startedMs, server->slots, now);
    }
    server_ = std::move(server);
    startQueuedCalls();
}

void ServerGate::setService(const ServiceConfig& service)
{
    coldGuard_.setService(service);
    concurrency_.setEnabled(service.learnsConcurrency, BootClock::now());
}

size_t ServerGate::usableSlots() const
{
    return server_ ? static_cast<size_t>(std::max(0, concurrency_.settledLimit())) : 0;
}

// Called when the server reports as another incarnation. The last one has crashed unless it had announced its
// exit; then it may still be working on requests.
void ServerGate::endLastIncarnation()
{
    if (lastServer_->drainingSince) {
        client_.retireConnections();
    } else {
        if (!running_.empty())
            reportCrash(BootClock::now());
        client_.closeAll();
    }
    refusedRequests_.clear();
    unreachableUntil_ = TimePoint();
}

// The number of requests that the current incarnation of the server works on.
size_t ServerGate::runningAtServer() const
{
    return static_cast<size_t>(std::count_if(running_.begin(), running_.end(),
        [this](const auto& each) { return server_ && each.second.incarnation == server_->incarnation; }));
}

bool ServerGate::isRunning(const std::string& requestId) const
{
    return !requestId.empty()
        && std::any_of(running_.begin(), running_.end(),
            [&requestId](const auto& each) { return each.second.call.request.requestId == requestId; });
}

void ServerGate::setLatePolicy(LatePolicy policy)
{
    latePolicy_ = policy;
    queue_.setLatePolicy(policy);
}

void ServerGate::setProcessEnd(TimePoint end)
{
    processEnd_ = end;
    startQueuedCalls();
}

peer::ServerLoad ServerGate::load(TimePoint now) const
{
    peer::ServerLoad load = reportedLoad_;
    load.running = static_cast<int64_t>(runningAtServer());
    load.waiting = static_cast<int64_t>(queue_.size());
    load.slots = static_cast<int64_t>(usableSlots());
    if (load.pacePercent == 0)
        load.pacePercent = defaultPacePercent;
    load.busyPercent = std::lround(busyness(now) * wholePercent);
    return load;
}

// Whether a request that starts at `start` is expected to be still running when the process ends.
bool ServerGate::wouldOutliveProcess(const GateCall& call, TimePoint start) const
{
    return start + std::max(Duration::zero(), queue_.expectedWork(queuedRequest(0, call), start))
        >= processEnd_;
}

// The reason why the request must not run here; std::nullopt if it may run.
std::optional<Reply> ServerGate::refusal(const GateCall& call, TimePoint now) const
{
    if (auto quarantined = options_.quarantine->refusal(call.request, call.body, now))
        return quarantined;
    if (wouldOutliveProcess(call, now))
        return notRun(RefusalReason::Stopping, stoppingDetail);
    if (!coldGuard_.hasService())
        return notRun(RefusalReason::ServerUnreachable, "the server's service is not known yet");
    if (!server_ || server_->service != call.request.service)
        return notRun(RefusalReason::ServerUnreachable, "no server of the service is here");
    if (now < unreachableUntil_)
        return notRun(RefusalReason::ServerUnreachable, "the server refused a connection just now");
    auto refusedVersion = options_.versionRefusal ? options_.versionRefusal(call.request, now) : std::nullopt;
    if (refusedVersion)
        return refusedVersion;
    const bool isKeyed = call.request.partition >= 0;
    const bool mayStillDrain = isKeyed && server_->drainingSince
        && now < *server_->drainingSince + options_.settings.drainTime - drainMargin;
    if (server_->drainingSince && !mayStillDrain)
        return notRun(RefusalReason::ServerDraining, "the server is leaving");
    if (isKeyed && !options_.mayRunKey(static_cast<int>(call.request.partition), now)) {
        Reply reply = notRun(RefusalReason::NotOwner, "the server does not own the key");
        reply.owner = options_.otherOwner(static_cast<int>(call.request.partition));
        return reply;
    }
    const ZoneTraffic traffic = options_.zones->allowedTraffic(options_.settings.zone, now);
    if (traffic == ZoneTraffic::None || (traffic == ZoneTraffic::OwnedKeys && !isKeyed))
        return notRun(
            RefusalReason::ServerDraining, "the availability zone is out, or not known to be in use");
    return std::nullopt;
}

// The state of the server that admission depends on.
ServerRoom ServerGate::room(TimePoint now)
{
    ServerRoom room;
    room.slots = usableSlots();
    room.running = runningAtServer();
    for (const auto& [id, running] : running_) {
        const Duration elapsed = now - running.startedAt;
        const Duration left = std::max(Duration::zero(), running.expected - elapsed);
        if (running.isSuspect)
            room.runningSuspectWork += left;
        if (server_ && running.incarnation == server_->incarnation)
            room.runningWork += latePolicy_ == LatePolicy::Serve
                ? queue_.work().remaining(running.call.request.route, elapsed)
                : left;
    }
    if (latePolicy_ == LatePolicy::Serve)
        room.cold = coldGuard_.startLimit(now);
    return room;
}

bool ServerGate::isSuspect(GateCall& call) const
{
    return options_.quarantine->isSuspect(call.request, call.body, call.fingerprint);
}

bool ServerGate::isWaitingSuspect(CallId id)
{
    const auto waiting = waiting_.find(id);
    return waiting != waiting_.end() && isSuspect(waiting->second.call);
}

bool ServerGate::isSuspectRunning() const
{
    return std::any_of(running_.begin(), running_.end(), [](auto& each) { return each.second.isSuspect; });
}

ServerGate::CallId ServerGate::submit(GateCall call)
{
    const TimePoint now = BootClock::now();
    const CallId id = nextId_++;
    if (auto reply = refusal(call, now)) {
        answer(call, *std::move(reply));
        return id;
    }
    if (call.request.partition >= 0)
        recordKeyedRequest(call, now);
    const QueuedRequest queued = queuedRequest(id, call);
    const auto entry = waiting_.emplace(id, WaitingCall { std::move(call), {} }).first;
    const Admission admission = queue_.decide(queued, room(now), now);
    entry->second.admission = admission;
    const bool outlivesProcess = wouldOutliveProcess(entry->second.call, now + admission.wait);
    if (admission.isAdmitted && !outlivesProcess) {
        queue_.add(queued, now);
        startQueuedCalls();
        return id;
    }
    const WaitingCall refused = std::move(entry->second);
    waiting_.erase(entry);
    if (admission.isAdmitted)
        answer(refused.call, notRun(RefusalReason::Stopping, stoppingDetail));
    else
        refuse(refused, RefusalReason::QueueFull, "the server is too busy to answer in time");
    return id;
}

// Refuses a request that the queue has not admitted, or no longer holds.
void ServerGate::refuse(const WaitingCall& refused, RefusalReason reason, const char* detail)
{
    const GateCall& call = refused.call;
    const Admission& admission = refused.admission;
    const WorkEstimate& work = queue_.work();
    if (latePolicy_ == LatePolicy::Serve)
        log(LogLevel::Info, "gate-refusal",
            { { "request", call.request.requestId }, { "route", call.request.route },
                { "priority", call.request.priority }, { "reason", std::string(refusalToken(reason)) },
                { "expectedWaitMs", toMilliseconds(admission.wait).count() }, { "isLate", admission.isLate },
                { "workMs", toMilliseconds(work.mean(call.request.route)).count() },
                { "likelyWorkMs", toMilliseconds(work.likely(call.request.route)).count() },
                { "leftMs", toMilliseconds(call.deadline - BootClock::now()).count() },
                { "waiting", queue_.size() }, { "running", running_.size() },
                { "slots", server_ ? server_->slots : 0 },
                { "retryAfterMs", admission.retryAfter.count() } });
    Reply reply = notRun(reason, detail);
    reply.retryAfter = admission.retryAfter;
    answer(call, std::move(reply));
}

void ServerGate::cancel(CallId id)
{
    const auto running = running_.find(id);
    if (running != running_.end()) {
        // A non-idempotent request runs to its end once it was sent, since interrupting it has no benefit.
        running->second.call.reply = nullptr;
        if (!running->second.call.request.idempotent && client_.hasSent(running->second.httpCall))
            return;
        client_.cancel(running->second.httpCall);
        concurrency_.onLeft(running->second.limitCall, running->second.call.request.route, BootClock::now());
        recordRun(running->second, BootClock::now() - running->second.startedAt, nullptr);
        running_.erase(running);
        options_.counters->counter("server_requests_cancelled_total")++;
        startQueuedCalls();
        return;
    }
    queue_.remove(id);
    waiting_.erase(id);
}

bool ServerGate::hasFreeSlot() const
{
    return server_ && static_cast<int>(runningAtServer()) < concurrency_.limit();
}

void ServerGate::startQueuedCalls()
{
    const TimePoint now = BootClock::now();
    Duration coldDelay { 0 };
    while (hasFreeSlot() && !queue_.isEmpty()) {
        coldDelay = coldGuard_.delay(now);
        if (coldDelay > Duration::zero())
            break;
        const auto id = queue_.takeNext(isSuspectRunning(), usableSlots(), now);
        if (!id)
            break;
        WaitingCall next = std::move(waiting_.extract(*id).mapped());
        if (auto reply = refusal(next.call, now))
            answer(next.call, *std::move(reply));
        else if (now + minTimeLeft >= next.call.deadline)
            answer(next.call, notRun(RefusalReason::DeadlinePassed, "the deadline passed in the queue"));
        else
            start(*id, std::move(next), now);
    }
    refuseHopeless(now);
    TimePoint next = queue_.nextReview(processEnd_, now);
    if (coldDelay > Duration::zero())
        next = std::min(next, now + coldDelay);
    if (next != TimePoint::max())
        armTimer(next);
    recordBusyness(now);
}

// Refuses queued requests that can no longer be answered in time or before the process ends.
void ServerGate::refuseHopeless(TimePoint now)
{
    std::vector<WaitingCall> hopeless;
    for (const CallId id : server_ ? queue_.takeHopeless(room(now), processEnd_, now) : queue_.takeAll())
        hopeless.push_back(std::move(waiting_.extract(id).mapped()));
    for (const WaitingCall& each : hopeless) {
        if (wouldOutliveProcess(each.call, now))
            answer(each.call, notRun(RefusalReason::Stopping, stoppingDetail));
        else
            refuse(each, RefusalReason::QueueTimeout, "waited too long for the server");
    }
}

void ServerGate::armTimer(TimePoint at)
{
    const Duration wait = std::max<Duration>(at - BootClock::now(), Milliseconds(1));
    timer_.expires_after(wait);
    timer_.async_wait([this](std::error_code error) {
        if (!error)
            startQueuedCalls();
    });
}

void ServerGate::start(CallId id, WaitingCall waiting, TimePoint now)
{
    GateCall call = std::move(waiting.call);
    coldGuard_.onStart(now);
    const Duration left = call.deadline - now;
    HttpRequest request = options_.protocol->makeServerRequest(
        call.request, call.body, server_->incarnation, toMilliseconds(left));
    RunningCall running;
    running.call = std::move(call);
    running.incarnation = server_->incarnation;
    running.startedAt = now;
    running.expected = queue_.work().mean(running.call.request.route);
    running.admission = waiting.admission;
    running.isSuspect = isSuspect(running.call);
    running.limitCall = concurrency_.begin(now);
    if (running.isSuspect)
        options_.quarantine->onSuspectStarted(running.call.fingerprint, now);
    running.zoneEvacuatedFor = options_.zones->evacuatedFor(options_.settings.zone, now);
    if (running.zoneEvacuatedFor)
        options_.counters->counter("zone_out_requests_total")++;
    // A retry has the same request id as the refused attempt. If the server repeats its answer to the first
    // attempt on a keep-alive connection, that answer would match the retry, so the retry uses a new
    // connection.
    const bool wasRefused = refusedRequests_.contains(running.call.request.requestId, now);
    const Reuse reuse = wasRefused ? Reuse::Forbidden : Reuse::Allowed;
    running.httpCall = client_.call(
        std::move(request), left, [this, id](CallResult result) { onCallEnded(id, std::move(result)); },
        reuse);
    running_.emplace(id, std::move(running));
    options_.counters->counter("server_requests_total")++;
}

void ServerGate::onCallEnded(CallId id, CallResult result)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    RunningCall running = std::move(found->second);
    running_.erase(found);
    const TimePoint now = BootClock::now();
    const Duration work = now - running.startedAt;
    if (result.outcome == CallOutcome::NotSent)
        unreachableUntil_ = now + unreachableBackoff;
    options_.counters->histogram("server_call_seconds").observe(work);
    const CallOutcome outcome = result.outcome;
    const bool hasAnswered = outcome == CallOutcome::Answered;
    const bool isLost = outcome == CallOutcome::Lost;
    Reply reply = replyFor(std::move(result), *options_.protocol, reportedLoad_);
    concurrency_.onReply(
        running.limitCall, { running.call.request.route, reportedLoad_.pacePercent }, outcome, reply, now);
    if (hasAnswered && reply.isNotRun())
        refusedRequests_.add(running.call.request.requestId, running.call.deadline);
    if (reply.isAnswer) {
        queue_.work().record(running.call.request.route, work);
        options_.quarantine->onAnswer(
            running.call.request, running.call.body, reply, running.startedAt, true);
    }
    logCall(running, work, reply);
    if (reply.isAnswer || !reply.isNotRun())
        recordRun(running, work, &reply);
    if (isLost && running.startedAt > crashedAt_ && !isExitOf(running.incarnation, now))
        checkForCrash(std::move(running), std::move(reply));
    else
        answer(running.call, std::move(reply));
    startQueuedCalls();
}

void ServerGate::recordRun(const RunningCall& running, Duration work, const Reply* reply) const
{
    const bool isWarm = server_ && running.startedAt >= server_->coldUntil;
    if (options_.onRun && lastServer_ && running.incarnation == lastServer_->incarnation)
        options_.onRun(running.call.request.route, work, reply, isWarm);
}

void ServerGate::logCall(const RunningCall& running, Duration work, const Reply& reply) const
{
    nlohmann::json zoneOutMs;
    if (running.zoneEvacuatedFor)
        zoneOutMs = toMilliseconds(*running.zoneEvacuatedFor).count();
    log(LogLevel::Info, "server-call",
        { { "request", running.call.request.requestId }, { "server", running.incarnation.id },
            { "key", running.call.request.partition }, { "workMs", toMilliseconds(work).count() },
            { "running", running_.size() }, { "waiting", queue_.size() }, { "status", reply.status },
            { "outcome", reply.isAnswer ? "answered" : std::string(refusalToken(reply.reason)) },
            { "expectedWaitMs", toMilliseconds(running.admission.wait).count() },
            { "isLate", running.admission.isLate }, { "cause", reply.detail }, { "zoneOutMs", zoneOutMs } });
}

void ServerGate::recordBusyness(TimePoint now)
{
    const auto slots = static_cast<double>(std::max<size_t>(1, usableSlots()));
    busyness_.set(static_cast<double>(runningAtServer() + queue_.size()) / slots, now);
}

void ServerGate::recordKeyedRequest(const GateCall& call, TimePoint now)
{
    options_.onKey(static_cast<int>(call.request.partition), now);
    const Duration work = std::max(Duration::zero(), queue_.expectedWork(queuedRequest(0, call), now));
    offeredLoad_.add(work / static_cast<int64_t>(std::max<size_t>(1, usableSlots())), now);
}

void ServerGate::answer(const GateCall& call, Reply reply) const
{
    if (!reply.isAnswer)
        options_.counters->counter("gate_refusals_total", "reason", refusalToken(reply.reason))++;
    if (!call.reply)
        return;
    reply.load = load(BootClock::now());
    const Duration learnedWork = concurrency_.usualWork(call.request.route);
    const Duration work
        = learnedWork > Duration::zero() ? learnedWork : queue_.work().mean(call.request.route);
    reply.load->usualWorkMs = toMilliseconds(work).count();
    call.reply(std::move(reply));
}

}
