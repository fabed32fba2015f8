#include "gate/gate.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr size_t queueCapacity = 1024;
    constexpr Milliseconds maxQueueWait { 2'000 };
    constexpr Milliseconds healthInterval { 200 };
    constexpr Milliseconds workerWakeInterval { 1'000 };
    constexpr size_t idempotencyCacheCapacity = 200'000;
    constexpr size_t cancellationCapacity = 256;
    // The servers do not tell how long work takes on their machines.
    constexpr double usualPace = 1;

    Reply refusalOf(AuthorityRefusal refusal)
    {
        switch (refusal) {
        case AuthorityRefusal::NoLease:
            return notRun(RefusalReason::NoLease, "this instance holds no lease");
        case AuthorityRefusal::Moving:
            return notRun(RefusalReason::Moving, "the partition is being handed over");
        case AuthorityRefusal::NotOwner:
        case AuthorityRefusal::None:
            break;
        }
        return notRun(RefusalReason::NotOwner, "this instance does not own the partition");
    }

    PartitionId partitionOf(const GateRequest& request)
    {
        return { request.request.service, static_cast<int>(request.request.partition) };
    }

    bool isKeyed(const GateRequest& request)
    {
        return request.request.partition >= 0;
    }

}

Gate::Gate(GateOptions options)
    : options_(std::move(options))
    , cancellations_(cancellationCapacity)
    , queue_(queueCapacity, maxQueueWait)
    , limit_(options_.slots)
    , idempotencyCache_(idempotencyCacheCapacity)
{
}

Gate::~Gate()
{
    stop();
}

void Gate::start()
{
    for (int i = 0; i < options_.slots; ++i)
        threads_.emplace_back([this] { runWorker(); });
    threads_.emplace_back([this] { runHealthChecks(); });
}

void Gate::stop()
{
    {
        std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    workAvailable_.notify_all();
    cancellations_.close();
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
    while (auto request = queue_.pop())
        request->reply(notRun(RefusalReason::Stopping, "the instance stops"));
}

void Gate::submit(GateRequest request)
{
    const TimePoint now = BootClock::now();
    if (isKeyed(request)) {
        const Permit permit = options_.authority->check(partitionOf(request), now);
        if (!permit.isGranted())
            return request.reply(refusalOf(permit.refusal));
    }
    const std::string team = request.request.team;
    std::optional<GateRequest> evicted;
    {
        std::lock_guard lock(mutex_);
        if (isStopping_)
            evicted = std::move(request);
        else
            evicted = queue_.push(team, std::move(request), now);
    }
    workAvailable_.notify_one();
    if (evicted)
        evicted->reply(notRun(RefusalReason::QueueFull, "too many requests wait for the backend server"));
}

void Gate::cancel(const std::string& requestId)
{
    cancellations_.tryPush(requestId);
}

int Gate::load() const
{
    std::lock_guard lock(mutex_);
    return static_cast<int>(queue_.size()) + limit_.inFlight();
}

std::optional<GateRequest> Gate::nextRequest()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        if (queue_.size() > 0 && limit_.hasRoom()) {
            auto request = queue_.pop();
            request->limitCall = limit_.begin(BootClock::now());
            return request;
        }
        workAvailable_.wait_for(lock, workerWakeInterval);
    }
    return std::nullopt;
}

void Gate::runWorker()
{
    asio::io_context loop { 1 };
    BackendServer server(loop, options_.serverAddress, answerBytes_);
    while (auto request = nextRequest()) {
        Reply reply = serve(server, *request);
        workAvailable_.notify_one();
        request->reply(std::move(reply));
    }
}

// Checks right before the request is sent to the server that it may still run. The request already counts
// against the concurrency limit.
Reply Gate::serve(BackendServer& server, const GateRequest& request)
{
    const auto refuse = [&](Reply reply) {
        std::lock_guard lock(mutex_);
        limit_.release(BootClock::now());
        return reply;
    };
    if (*request.isCancelled)
        return refuse(notRun(RefusalReason::Cancelled));
    const TimePoint now = BootClock::now();
    if (now >= request.deadline)
        return refuse(notRun(RefusalReason::DeadlinePassed, "the deadline passed in the queue"));
    Permit permit;
    permit.leaseEnd = options_.authority->leaseEnd();
    if (isKeyed(request))
        permit = options_.authority->begin(partitionOf(request), now);
    else if (!request.request.team.empty() && now >= permit.leaseEnd)
        permit.refusal = AuthorityRefusal::NoLease;
    if (!permit.isGranted())
        return refuse(refusalOf(permit.refusal));
    Reply reply;
    if (auto duplicate = refuseDuplicate(request, permit))
        reply = refuse(*std::move(duplicate));
    else
        reply = execute(server, request, permit);
    if (isKeyed(request))
        options_.authority->end(partitionOf(request));
    return reply;
}

std::optional<Reply> Gate::refuseDuplicate(const GateRequest& request, const Permit& permit)
{
    if (request.request.idempotencyKey.empty() || request.request.idempotent)
        return std::nullopt;
    std::lock_guard lock(mutex_);
    switch (
        idempotencyCache_.admit(request.request.team, request.request.idempotencyKey, permit.grantBegan)) {
    case IdempotencyDecision::Run:
        return std::nullopt;
    case IdempotencyDecision::AlreadySeen:
        return unknownOutcome(RefusalReason::AlreadySeen, "a request with this idempotency key came before");
    case IdempotencyDecision::MayHaveRunEarlier:
        return unknownOutcome(
            RefusalReason::MayHaveRunEarlier, "an earlier owner of the key may have run it");
    case IdempotencyDecision::KeyInvalid:
        return notRun(RefusalReason::KeyInvalid, "the idempotency key is no UUIDv7");
    }
    return std::nullopt;
}

Reply Gate::execute(BackendServer& server, const GateRequest& request, const Permit& permit)
{
    ServerRequest serverRequest;
    serverRequest.requestId = request.request.requestId;
    serverRequest.method = request.request.method;
    serverRequest.target = request.request.target;
    serverRequest.headers = request.request.headers;
    serverRequest.body = request.body;
    serverRequest.partition = static_cast<int>(request.request.partition);
    serverRequest.fence = permit.fence;
    const TimePoint startTime = BootClock::now();
    const bool isBoundByLease = isKeyed(request) || !request.request.team.empty();
    const TimePoint executionDeadline
        = isBoundByLease ? std::min(request.deadline, permit.leaseEnd) : request.deadline;
    serverRequest.timeout = std::max<Duration>(Milliseconds(1), executionDeadline - startTime);
    ServerAnswer answer = executeWithGrant(server, serverRequest);
    recordOutcome(request, answer);
    if (answer.outcome == ServerOutcome::NotStarted) {
        std::lock_guard lock(mutex_);
        if (!request.request.idempotencyKey.empty())
            idempotencyCache_.forget(request.request.team, request.request.idempotencyKey);
        return notRun(answer.reason, answer.detail);
    }
    if (answer.outcome == ServerOutcome::Unknown)
        return unknownOutcome(answer.reason, answer.detail);
    Reply reply;
    reply.isAnswer = true;
    reply.status = answer.status;
    reply.headers = std::move(answer.headers);
    reply.body = std::move(answer.body);
    return reply;
}

// If the server checks fencing tokens, the grant is sent to it before the request, and once more if the
// server lost it in a restart.
ServerAnswer Gate::executeWithGrant(BackendServer& server, const ServerRequest& request)
{
    const bool needsGrant = options_.serverChecksFences && request.partition >= 0;
    if (!needsGrant)
        return server.execute(request);
    ServerAnswer answer;
    for (int attempt = 0; attempt < 2; ++attempt) {
        const absl::Status grantStatus = ensureGrant(server, request.partition, request.fence);
        if (!grantStatus.ok()) {
            answer.outcome = ServerOutcome::NotStarted;
            answer.reason = absl::IsFailedPrecondition(grantStatus) ? RefusalReason::ServerStaleFence
                                                                    : RefusalReason::ServerUnreachable;
            answer.detail = std::string(grantStatus.message());
            return answer;
        }
        answer = server.execute(request);
        const bool isGrantLost
            = answer.outcome == ServerOutcome::NotStarted && answer.reason == RefusalReason::ServerStaleFence;
        if (!isGrantLost)
            return answer;
        std::lock_guard lock(mutex_);
        grantedFences_.erase(request.partition);
    }
    return answer;
}

absl::Status Gate::ensureGrant(BackendServer& server, int partition, int64_t fence)
{
    {
        std::lock_guard lock(mutex_);
        const auto known = grantedFences_.find(partition);
        if (known != grantedFences_.end() && known->second == fence)
            return absl::OkStatus();
    }
    absl::Status status = server.grant(partition, fence);
    if (status.ok()) {
        options_.counters->counter("grants_total")++;
        std::lock_guard lock(mutex_);
        grantedFences_[partition] = fence;
    }
    return status;
}

void Gate::recordOutcome(const GateRequest& request, const ServerAnswer& answer)
{
    options_.counters->counter("server_requests_total")++;
    const TimePoint now = BootClock::now();
    std::lock_guard lock(mutex_);
    if (answer.outcome == ServerOutcome::Answered)
        limit_.succeed(request.limitCall, request.request.route, usualPace, now);
    else if (answer.reason == RefusalReason::ServerShedding)
        limit_.shed(request.limitCall, now);
    else if (answer.outcome == ServerOutcome::NotStarted)
        limit_.release(now);
    else if (answer.reason == RefusalReason::DeadlinePassed)
        limit_.abandon(request.limitCall, request.request.route, now);
    else
        limit_.fail(request.limitCall, now);
    // A server that cannot be reached will be cold when it comes back. Resets the limit right away, because
    // the next health check may come too late.
    if (answer.reason == RefusalReason::ServerUnreachable || answer.reason == RefusalReason::ServerFailed)
        limit_.reset();
}

void Gate::runHealthChecks()
{
    asio::io_context loop { 1 };
    BackendServer server(loop, options_.serverAddress, answerBytes_);
    TimePoint nextCheck = BootClock::now();
    while (!cancellations_.isClosed()) {
        const TimePoint now = BootClock::now();
        if (now >= nextCheck) {
            updateHealth(server.health());
            nextCheck = now + healthInterval;
        }
        if (const auto requestId = cancellations_.pop(healthInterval / 2))
            server.cancel(*requestId);
        refuseOverdue();
    }
}

void Gate::refuseOverdue()
{
    while (true) {
        std::unique_lock lock(mutex_);
        auto overdue = queue_.popOverdue(BootClock::now());
        lock.unlock();
        if (!overdue)
            return;
        overdue->reply(notRun(RefusalReason::QueueTimeout, "waited too long for the backend server"));
    }
}

void Gate::updateHealth(const absl::StatusOr<ServerHealth>& health)
{
    if (isServerUp_.exchange(health.ok()) != health.ok())
        options_.timeline->record(health.ok() ? "server-up" : "server-down", {});
    if (!health.ok())
        return;
    isServerDraining_ = health->isDraining;
    bool isRestarted = false;
    {
        std::lock_guard lock(mutex_);
        isRestarted = !serverProcessId_.empty() && serverProcessId_ != health->processId;
        if (serverProcessId_ != health->processId) {
            serverProcessId_ = health->processId;
            grantedFences_.clear();
            limit_.reset();
        }
        limit_.setServerCapacity(health->isCold ? health->coldCapacity : options_.slots);
    }
    workAvailable_.notify_all();
    if (isRestarted) {
        options_.timeline->record("server-restarted", {});
        if (options_.onServerRestart)
            options_.onServerRestart();
    }
}

}
