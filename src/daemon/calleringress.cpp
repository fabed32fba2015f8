#include "daemon/calleringress.h"

#include "base/hashing.h"
#include "base/random.h"
#include "daemon/httpadapter.h"
#include "daemon/httplistener.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds defaultTimeout { 10'000 };
    constexpr int64_t maxTimeoutMs = 60'000;
    // How long a request may wait until its partition has a new owner.
    constexpr Milliseconds maxOwnerWait { 5'000 };
    constexpr Milliseconds initialRetryPause { 5 };
    constexpr Milliseconds maxRetryPause { 50 };
    constexpr Milliseconds readTimeout { 10'000 };
    constexpr time_t keepAliveSeconds = 5;
    constexpr size_t requestsPerConnection = 1'000'000;
    // Of all bodies of requests that are held, which is half of the memory that a machine is assumed to have.
    constexpr size_t maxTotalBodyBytes = 256'000'000;
    // Room for a body of unknown length, which doubles as it grows.
    constexpr size_t firstBodyRoom = 16'384;
    constexpr int statusTooLarge = 413;
    constexpr size_t requestIdBytes = 8;
    constexpr int firstRoundCopies = 2;
    constexpr int maxCopies = 64;

    // Whether a refused request that did not run may succeed later or on another server.
    bool isTransient(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::NoLease:
        case RefusalReason::NoOwner:
        case RefusalReason::NotOwner:
        case RefusalReason::Moving:
        case RefusalReason::LinkLost:
        case RefusalReason::ServerUnreachable:
        case RefusalReason::ServerDraining:
        case RefusalReason::ServerStaleFence:
        case RefusalReason::Stopping:
            return true;
        default:
            return false;
        }
    }

    bool isOverload(RefusalReason reason)
    {
        return reason == RefusalReason::ServerShedding || reason == RefusalReason::QueueFull
            || reason == RefusalReason::QueueTimeout;
    }

    std::optional<Milliseconds> timeoutOf(const CallerRequest& request)
    {
        const std::string* given = request.header("Persimmonfield-Timeout");
        if (!given)
            return defaultTimeout;
        int64_t milliseconds = 0;
        if (!absl::SimpleAtoi(*given, &milliseconds) || milliseconds < 1 || milliseconds > maxTimeoutMs)
            return std::nullopt;
        return Milliseconds(milliseconds);
    }

}

CallerIngress::CallerIngress(CallerIngressOptions options)
    : options_(std::move(options))
    , server_(std::make_unique<httplib::Server>())
    , bodyRoom_(std::make_shared<BodyRoom>(maxTotalBodyBytes, firstBodyRoom))
{
}

CallerIngress::~CallerIngress()
{
    stop();
}

absl::Status CallerIngress::start()
{
    const auto threads = static_cast<size_t>(options_.settings.callerConnections);
    server_->new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server_->set_tcp_nodelay(true);
    server_->set_keep_alive_max_count(requestsPerConnection);
    server_->set_keep_alive_timeout(keepAliveSeconds);
    server_->set_read_timeout(readTimeout);
    server_->set_write_timeout(readTimeout);
    server_->set_payload_max_length(static_cast<size_t>(maxBodyBytes));
    server_->set_pre_routing_handler([](const httplib::Request& request, httplib::Response& response) {
        if (preserveBody(request))
            return httplib::Server::HandlerResponse::Unhandled;
        writeReply(request.method,
            notRun(RefusalReason::BadRequest, "a body is not accepted with this method"), response);
        return httplib::Server::HandlerResponse::Handled;
    });
    const auto handler = [this](const httplib::Request& request, httplib::Response& response) {
        handle(request, {}, response);
    };
    const auto bodyHandler
        = [this](const httplib::Request& request, httplib::Response& response,
              const httplib::ContentReader& reader) { handleWithBody(request, reader, response); };
    const char* anyPath = ".*";
    server_->Get(anyPath, handler);
    server_->Post(anyPath, bodyHandler);
    server_->Put(anyPath, bodyHandler);
    server_->Patch(anyPath, bodyHandler);
    server_->Delete(anyPath, bodyHandler);
    server_->Options(anyPath, handler);
    if (absl::Status status = listenOn(*server_, options_.listenAddress); !status.ok())
        return status;
    thread_ = std::thread([this] { server_->listen_after_bind(); });
    return absl::OkStatus();
}

void CallerIngress::stop()
{
    server_->stop();
    if (thread_.joinable())
        thread_.join();
}

void CallerIngress::onViewChange(const std::shared_ptr<const FleetView>& view)
{
    std::lock_guard lock(mutex_);
    if (routedConfiguration_ == view->configuration || view->configVersion == 0)
        return;
    routedConfiguration_ = view->configuration;
    router_ = std::make_shared<Router>(view->configuration);
}

std::shared_ptr<const Router> CallerIngress::router() const
{
    std::lock_guard lock(mutex_);
    return router_;
}

// Reads the body if there is room for it. Otherwise the rest is read but not kept, since the library cannot
// close the connection before.
void CallerIngress::handleWithBody(
    const httplib::Request& request, const httplib::ContentReader& reader, httplib::Response& response)
{
    const auto share = std::make_shared<BodyRoom::Share>(bodyRoom_);
    std::string body;
    size_t size = 0;
    bool hasRoom = true;
    constexpr auto largest = static_cast<size_t>(maxBodyBytes);
    const auto announced = static_cast<size_t>(request.get_header_value<uint64_t>("Content-Length"));
    if (announced > 0 && announced <= largest) {
        hasRoom = share->resize(announced);
        body.reserve(hasRoom ? announced : 0);
    }
    const bool isRead = reader([&](const char* data, size_t length) {
        size += length;
        if (hasRoom && size > share->bytes()) {
            const size_t wanted = std::max({ size, 2 * share->bytes(), firstBodyRoom });
            hasRoom = size <= largest && share->resize(std::min(wanted, largest));
            if (hasRoom)
                body.reserve(share->bytes());
            else
                body = std::string();
        }
        if (hasRoom)
            body.append(data, length);
        else
            share->resize(0);
        return true;
    });
    // The library has set the status.
    if (!isRead)
        return;
    if (size > largest) {
        response.status = statusTooLarge;
        return;
    }
    if (hasRoom)
        return handle(request, Body(std::move(body), share), response);
    options_.counters->counter("refusals_total", "reason", refusalToken(RefusalReason::MemoryFull))++;
    Reply refusal = notRun(RefusalReason::MemoryFull, "there is no memory for the request");
    refusal.headers.push_back({ "Retry-After", "1" });
    writeReply(request.method, std::move(refusal), response);
}

void CallerIngress::handle(const httplib::Request& request, Body body, httplib::Response& response)
{
    PendingRequest pending;
    pending.caller = callerRequest(request);
    pending.body = std::move(body);
    pending.arrivedAt = BootClock::now();
    options_.counters->counter("requests_total")++;
    Reply reply = serve(pending);
    if (!reply.isAnswer) {
        options_.counters->counter("refusals_total", "reason", refusalToken(reply.reason))++;
        if (reply.reason == RefusalReason::NoKey || reply.reason == RefusalReason::UnknownKey)
            reply.headers.push_back({ "WWW-Authenticate", "Bearer" });
    }
    writeReply(request.method, std::move(reply), response);
}

Reply CallerIngress::serve(PendingRequest& pending)
{
    const auto router = this->router();
    if (!router)
        return notRun(RefusalReason::NoConfiguration, "no configuration is in force yet");
    const auto timeout = timeoutOf(pending.caller);
    if (!timeout)
        return notRun(RefusalReason::BadRequest,
            fmt::format("Persimmonfield-Timeout must be from 1 to {} milliseconds", maxTimeoutMs));
    pending.deadline = pending.arrivedAt + *timeout;
    RoutingResult result = router->route(pending.caller);
    if (auto* refusal = std::get_if<Reply>(&result))
        return std::move(*refusal);
    pending.routed = std::move(std::get<RoutedRequest>(result));
    if (auto refusal = charge(pending))
        return *std::move(refusal);
    const std::string* idempotencyKey = pending.caller.header("Idempotency-Key");
    peer::ForwardedRequest& request = pending.request;
    request.requestId = randomHex(requestIdBytes);
    request.service = pending.routed.service;
    request.partition = pending.routed.partition;
    request.fence = 0;
    request.key = pending.routed.key;
    request.team = pending.routed.team;
    request.method = pending.caller.method;
    request.target = pending.caller.target;
    request.headers = forwardableHeaders(pending.caller.headers);
    request.idempotent = pending.routed.isIdempotent;
    request.idempotencyKey = idempotencyKey ? *idempotencyKey : std::string();
    request.bodyLength = static_cast<int64_t>(pending.body.size());
    Reply reply = runAttempts(pending);
    if (pending.mayHaveRun && reply.isNotRun())
        reply.outcome = peer::Outcome::Unknown;
    return reply;
}

std::optional<Reply> CallerIngress::charge(const PendingRequest& pending) const
{
    if (pending.routed.team.empty())
        return std::nullopt;
    // Without a lease this daemon may be partitioned from the fleet, and the caller's key may have been
    // withdrawn without its knowledge.
    if (!options_.authority->holdsLease(BootClock::now()))
        return notRun(RefusalReason::NoLease, "this instance holds no lease");
    const RateDecision decision = options_.limiter->acquire(pending.routed.team, pending.deadline);
    if (decision.verdict == RateVerdict::Admitted)
        return std::nullopt;
    if (decision.verdict == RateVerdict::Unavailable)
        return notRun(RefusalReason::RateUnavailable, "the team's rate could not be charged");
    Reply refusal = notRun(RefusalReason::RateExceeded, "the team's rate is used up");
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(decision.retryAfter).count();
    refusal.headers.push_back({ "Retry-After", std::to_string(std::max<int64_t>(1, seconds)) });
    return refusal;
}

Reply CallerIngress::runAttempts(PendingRequest& pending)
{
    {
        std::lock_guard lock(mutex_);
        retryBudget_.recordRequest();
    }
    Milliseconds pause = initialRetryPause;
    Reply lastReply = notRun(RefusalReason::NoOwner, "nobody serves the key at present");
    const TimePoint waitEnd = std::min(pending.deadline, pending.arrivedAt + maxOwnerWait);
    while (true) {
        if (isQuarantined(pending))
            return notRun(RefusalReason::Quarantined, "the request crashed two backend servers");
        const auto view = options_.view();
        if (const auto server = findServer(*view, pending)) {
            auto group = std::make_shared<CallGroup>();
            if (const auto copy = sendCopy(*view, pending, *server, group)) {
                lastReply = awaitCopies(*view, pending, *copy, group);
                if (lastReply.isAnswer || !mayRetry(pending, lastReply))
                    return lastReply;
            }
        }
        if (BootClock::now() + pause >= waitEnd)
            return lastReply;
        std::this_thread::sleep_for(pause);
        pause = std::min(pause * 2, maxRetryPause);
    }
}

std::vector<InstanceId> CallerIngress::candidatesOf(const FleetView& view, const std::string& service) const
{
    std::vector<InstanceId> servers;
    for (const auto& [name, node] : view.nodes) {
        const stored::NodeEntry& entry = node->entry;
        const bool isAvailable = entry.state == stored::State::Joined && entry.serverUp && !entry.departing
            && !view.configuration->isZoneEvacuated(entry.zone);
        if (isAvailable && entry.service == service)
            servers.push_back(instanceId(entry));
    }
    return servers;
}

std::optional<InstanceId> CallerIngress::findServer(const FleetView& view, PendingRequest& pending)
{
    if (pending.routed.partition >= 0) {
        const stored::PartitionRow* row = view.row(pending.routed.service, pending.routed.partition);
        if (!row || row->owner.empty())
            return std::nullopt;
        return InstanceId { row->owner, row->incarnation };
    }
    const std::vector<InstanceId> servers = candidatesOf(view, pending.routed.service);
    std::lock_guard lock(mutex_);
    auto chosen = choiceOf(pending).choose(servers, pending.triedServers, BootClock::now());
    if (!chosen)
        chosen = choiceOf(pending).choose(servers, {}, BootClock::now());
    return chosen;
}

std::optional<CallerIngress::Copy> CallerIngress::sendCopy(const FleetView& view, PendingRequest& pending,
    const InstanceId& server, const std::shared_ptr<CallGroup>& group)
{
    const KnownNode* node = view.node(server);
    if (!node || node->entry.state == stored::State::Lapsed || pending.copies >= maxCopies)
        return std::nullopt;
    Copy copy;
    copy.number = ++pending.copies;
    copy.server = server;
    copy.sentAt = BootClock::now();
    const auto remaining = std::chrono::duration_cast<Milliseconds>(pending.deadline - copy.sentAt);
    pending.request.timeoutMs = std::max<int64_t>(1, remaining.count());
    {
        std::lock_guard lock(mutex_);
        choiceOf(pending).began(server);
    }
    if (server == options_.self())
        copy.call = options_.forwarder->sendLocal(
            pending.request, pending.body, pending.deadline, group, copy.number);
    else
        copy.call = options_.forwarder->sendRemote(
            node->entry.peerAddress, pending.request, pending.body, pending.deadline, group, copy.number);
    return copy;
}

// Waits for the first copy and returns the first answer. An idempotent request that is not divided by key
// is hedged after a delay and may also be sent to an ejected server as a probe. Copies that are still in
// flight at the end are cancelled.
Reply CallerIngress::awaitCopies(const FleetView& view, PendingRequest& pending, const Copy& first,
    const std::shared_ptr<CallGroup>& group)
{
    std::vector<Copy> inFlight { first };
    TimePoint hedgeAt = TimePoint::max();
    const bool mayHedge = pending.routed.isIdempotent && pending.routed.partition < 0;
    if (mayHedge) {
        {
            std::lock_guard lock(mutex_);
            hedgeAt = first.sentAt + choiceOf(pending).hedgeDelay();
        }
        if (const auto copy = sendProbe(view, pending, group))
            inFlight.push_back(*copy);
    }
    Reply lastReply;
    while (!inFlight.empty()) {
        const auto completion = group->wait(std::min(hedgeAt, pending.deadline));
        const TimePoint now = BootClock::now();
        if (!completion && now >= pending.deadline)
            break;
        if (!completion) {
            hedgeAt = TimePoint::max();
            if (const auto second = sendHedge(view, pending, first, group))
                inFlight.push_back(*second);
            continue;
        }
        const auto copy = std::find_if(inFlight.begin(), inFlight.end(),
            [&completion](const Copy& each) { return each.number == completion->copy; });
        if (copy == inFlight.end())
            continue;
        recordReply(pending, *copy, completion->reply);
        const InstanceId server = copy->server;
        inFlight.erase(copy);
        lastReply = completion->reply;
        if (lastReply.isAnswer)
            break;
        pending.triedServers.push_back(server);
        pending.mayHaveRun = pending.mayHaveRun || !lastReply.isNotRun();
    }
    if (!inFlight.empty() && !lastReply.isAnswer) {
        pending.mayHaveRun = true;
        lastReply = unknownOutcome(RefusalReason::DeadlinePassed, "no answer came before the deadline");
    }
    for (const Copy& copy : inFlight) {
        options_.forwarder->cancel(copy.call);
        const TimePoint now = BootClock::now();
        std::lock_guard lock(mutex_);
        choiceOf(pending).abandoned(copy.server, now - copy.sentAt, now);
    }
    return lastReply;
}

// Sends another copy to an ejected server to check whether it has recovered.
std::optional<CallerIngress::Copy> CallerIngress::sendProbe(
    const FleetView& view, PendingRequest& pending, const std::shared_ptr<CallGroup>& group)
{
    std::optional<InstanceId> suspect;
    {
        std::lock_guard lock(mutex_);
        suspect = choiceOf(pending).nextProbe(candidatesOf(view, pending.routed.service), BootClock::now());
        if (!suspect || !retryBudget_.tryAcquire())
            return std::nullopt;
    }
    options_.counters->counter("probes_total")++;
    return sendCopy(view, pending, *suspect, group);
}

std::optional<CallerIngress::Copy> CallerIngress::sendHedge(const FleetView& view, PendingRequest& pending,
    const Copy& first, const std::shared_ptr<CallGroup>& group)
{
    std::optional<InstanceId> other;
    {
        std::lock_guard lock(mutex_);
        other = choiceOf(pending).choose(
            candidatesOf(view, pending.routed.service), { first.server }, BootClock::now());
        if (!other || !retryBudget_.tryAcquire())
            return std::nullopt;
    }
    options_.counters->counter("hedges_total")++;
    return sendCopy(view, pending, *other, group);
}

void CallerIngress::recordReply(const PendingRequest& pending, const Copy& copy, const Reply& reply)
{
    const TimePoint now = BootClock::now();
    if (!reply.isAnswer && reply.reason == RefusalReason::ServerFailed)
        options_.reportCrash(fingerprintOf(pending));
    std::lock_guard lock(mutex_);
    if (reply.isAnswer && pending.routed.partition < 0)
        choiceOf(pending).succeeded(copy.server, now - copy.sentAt, now);
    else if (reply.isAnswer)
        choiceOf(pending).abandoned(copy.server, Duration::zero(), now);
    else
        choiceOf(pending).failed(copy.server, now);
}

ServerChoice& CallerIngress::choiceOf(const PendingRequest& pending)
{
    return serverChoices_.try_emplace(pending.routed.service, randomSource()).first->second;
}

bool CallerIngress::tryAcquireRetryToken()
{
    std::lock_guard lock(mutex_);
    return retryBudget_.tryAcquire();
}

void CallerIngress::recordCrash(const std::string& fingerprint, const std::string& crashId)
{
    std::lock_guard lock(mutex_);
    quarantine_.recordCrash(crashId, { { fingerprint } }, BootClock::now());
}

// Hashes the body only while the quarantine is not empty, which is rare.
bool CallerIngress::isQuarantined(const PendingRequest& pending)
{
    {
        std::lock_guard lock(mutex_);
        quarantine_.expire(BootClock::now());
        if (quarantine_.size() == 0)
            return false;
    }
    const std::string fingerprint = fingerprintOf(pending);
    std::lock_guard lock(mutex_);
    return quarantine_.refusedFor(fingerprint, BootClock::now()) > Duration::zero();
}

std::string CallerIngress::fingerprintOf(const PendingRequest& pending)
{
    return requestFingerprint(pending.routed.team, pending.routed.routeName, pending.caller.method,
        pending.caller.target, pending.body);
}

bool CallerIngress::mayRetry(const PendingRequest& pending, const Reply& reply)
{
    if (BootClock::now() >= pending.deadline)
        return false;
    if (reply.isNotRun() && isTransient(reply.reason))
        return true;
    const bool mayRunAgain = reply.isNotRun() ? isOverload(reply.reason) : pending.routed.isIdempotent;
    if (!mayRunAgain || pending.copies >= firstRoundCopies + 1 || !tryAcquireRetryToken())
        return false;
    options_.counters->counter("retries_total")++;
    return true;
}

}
