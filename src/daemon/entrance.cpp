#include "daemon/entrance.h"

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
    constexpr int64_t longestTimeoutMs = 60'000;
    // How long a request may wait for a partition to find its new owner.
    constexpr Milliseconds longestHold { 5'000 };
    constexpr Milliseconds firstPause { 5 };
    constexpr Milliseconds longestPause { 50 };
    constexpr Milliseconds readTimeout { 10'000 };
    constexpr time_t keepAliveSeconds = 5;
    constexpr size_t requestsPerConnection = 1'000'000;
    constexpr size_t requestIdBytes = 8;
    constexpr int firstCopies = 2;
    constexpr int mostCopies = 64;

    // Refusals that another moment or another server may mend, of requests that certainly did not run.
    bool isPassing(RefusalReason reason)
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
        if (!absl::SimpleAtoi(*given, &milliseconds) || milliseconds < 1 || milliseconds > longestTimeoutMs)
            return std::nullopt;
        return Milliseconds(milliseconds);
    }

}

Entrance::Entrance(EntranceOptions options)
    : options_(std::move(options))
    , server_(std::make_unique<httplib::Server>())
{
}

Entrance::~Entrance()
{
    stop();
}

absl::Status Entrance::start()
{
    const auto threads = static_cast<size_t>(options_.settings.callerConnections);
    server_->new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server_->set_tcp_nodelay(true);
    server_->set_keep_alive_max_count(requestsPerConnection);
    server_->set_keep_alive_timeout(keepAliveSeconds);
    server_->set_read_timeout(readTimeout);
    server_->set_write_timeout(readTimeout);
    server_->set_payload_max_length(static_cast<size_t>(largestBody));
    server_->set_pre_routing_handler([](const httplib::Request& request, httplib::Response& response) {
        if (makeTransparent(request))
            return httplib::Server::HandlerResponse::Unhandled;
        writeReply(request.method,
            notRun(RefusalReason::BadRequest, "a body is not accepted with this method"), response);
        return httplib::Server::HandlerResponse::Handled;
    });
    const auto handler
        = [this](const httplib::Request& request, httplib::Response& response) { handle(request, response); };
    const char* everything = ".*";
    server_->Get(everything, handler);
    server_->Post(everything, handler);
    server_->Put(everything, handler);
    server_->Patch(everything, handler);
    server_->Delete(everything, handler);
    server_->Options(everything, handler);
    if (absl::Status status = listenOn(*server_, options_.listenAddress); !status.ok())
        return status;
    thread_ = std::thread([this] { server_->listen_after_bind(); });
    return absl::OkStatus();
}

void Entrance::stop()
{
    server_->stop();
    if (thread_.joinable())
        thread_.join();
}

void Entrance::onView(const std::shared_ptr<const FleetView>& view)
{
    std::lock_guard lock(mutex_);
    if (routedConfiguration_ == view->configuration || view->configVersion == 0)
        return;
    routedConfiguration_ = view->configuration;
    router_ = std::make_shared<Router>(view->configuration);
}

std::shared_ptr<const Router> Entrance::router() const
{
    std::lock_guard lock(mutex_);
    return router_;
}

void Entrance::handle(const httplib::Request& request, httplib::Response& response)
{
    Passage passage;
    passage.caller = callerRequest(request);
    passage.body = request.body;
    passage.began = BootClock::now();
    options_.counters->counter("requests_total")++;
    Reply reply = serve(passage);
    if (!reply.isAnswer) {
        options_.counters->counter("refusals_total", "reason", refusalToken(reply.reason))++;
        if (reply.reason == RefusalReason::NoKey || reply.reason == RefusalReason::UnknownKey)
            reply.headers.push_back({ "WWW-Authenticate", "Bearer" });
    }
    writeReply(request.method, std::move(reply), response);
}

Reply Entrance::serve(Passage& passage)
{
    const auto router = this->router();
    if (!router)
        return notRun(RefusalReason::NoConfiguration, "no configuration is in force yet");
    const auto timeout = timeoutOf(passage.caller);
    if (!timeout)
        return notRun(RefusalReason::BadRequest,
            fmt::format("Persimmonfield-Timeout must be from 1 to {} milliseconds", longestTimeoutMs));
    passage.deadline = passage.began + *timeout;
    RoutingResult result = router->route(passage.caller);
    if (auto* refusal = std::get_if<Reply>(&result))
        return std::move(*refusal);
    passage.routed = std::move(std::get<RoutedRequest>(result));
    if (auto refusal = charge(passage))
        return *std::move(refusal);
    const std::string* idempotencyKey = passage.caller.header("Idempotency-Key");
    peer::ForwardedRequest& request = passage.request;
    request.requestId = randomHex(requestIdBytes);
    request.service = passage.routed.service;
    request.partition = passage.routed.partition;
    request.fence = 0;
    request.key = passage.routed.key;
    request.team = passage.routed.team;
    request.method = passage.caller.method;
    request.target = passage.caller.target;
    request.headers = forwardableHeaders(passage.caller.headers);
    request.idempotent = passage.routed.isIdempotent;
    request.idempotencyKey = idempotencyKey ? *idempotencyKey : std::string();
    request.bodyLength = static_cast<int64_t>(passage.body.size());
    Reply reply = runAttempts(passage);
    if (passage.mayHaveRun && reply.isNotRun())
        reply.outcome = peer::Outcome::Unknown;
    return reply;
}

std::optional<Reply> Entrance::charge(const Passage& passage) const
{
    if (passage.routed.team.empty())
        return std::nullopt;
    // Without a lease this daemon may be cut off, and the key withdrawn without its knowing.
    if (!options_.authority->holdsLease(BootClock::now()))
        return notRun(RefusalReason::NoLease, "this instance holds no lease");
    const RateDecision decision = options_.limiter->acquire(passage.routed.team, passage.deadline);
    if (decision.verdict == RateVerdict::Admitted)
        return std::nullopt;
    if (decision.verdict == RateVerdict::Unavailable)
        return notRun(RefusalReason::RateUnavailable, "the team's rate could not be charged");
    Reply refusal = notRun(RefusalReason::RateExceeded, "the team's rate is used up");
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(decision.retryAfter).count();
    refusal.headers.push_back({ "Retry-After", std::to_string(std::max<int64_t>(1, seconds)) });
    return refusal;
}

Reply Entrance::runAttempts(Passage& passage)
{
    {
        std::lock_guard lock(mutex_);
        budget_.recordRequest();
    }
    Milliseconds pause = firstPause;
    Reply last = notRun(RefusalReason::NoOwner, "nobody serves the key at present");
    const TimePoint holdEnd = std::min(passage.deadline, passage.began + longestHold);
    while (true) {
        if (isHeldBack(passage))
            return notRun(RefusalReason::Quarantined, "the request crashed two backend servers");
        const auto view = options_.view();
        if (const auto server = findServer(*view, passage)) {
            auto group = std::make_shared<CallGroup>();
            if (const auto copy = sendCopy(*view, passage, *server, group)) {
                last = awaitCopies(*view, passage, *copy, group);
                if (last.isAnswer || !mayRetry(passage, last))
                    return last;
            }
        }
        if (BootClock::now() + pause >= holdEnd)
            return last;
        std::this_thread::sleep_for(pause);
        pause = std::min(pause * 2, longestPause);
    }
}

std::vector<InstanceId> Entrance::serversOf(const FleetView& view, const std::string& service) const
{
    std::vector<InstanceId> servers;
    for (const auto& [name, node] : view.nodes) {
        const stored::NodeEntry& entry = node->entry;
        const bool takesWork = entry.state == stored::State::Joined && entry.serverUp && !entry.departing
            && !view.configuration->isZoneEvacuated(entry.zone);
        if (takesWork && entry.service == service)
            servers.push_back(instanceId(entry));
    }
    return servers;
}

std::optional<InstanceId> Entrance::findServer(const FleetView& view, Passage& passage)
{
    if (passage.routed.partition >= 0) {
        const stored::PartitionRow* row = view.row(passage.routed.service, passage.routed.partition);
        if (!row || row->owner.empty())
            return std::nullopt;
        return InstanceId { row->owner, row->incarnation };
    }
    const std::vector<InstanceId> servers = serversOf(view, passage.routed.service);
    std::lock_guard lock(mutex_);
    auto chosen = choiceOf(passage).choose(servers, passage.tried, BootClock::now());
    if (!chosen)
        chosen = choiceOf(passage).choose(servers, {}, BootClock::now());
    return chosen;
}

std::optional<Entrance::Copy> Entrance::sendCopy(const FleetView& view, Passage& passage,
    const InstanceId& server, const std::shared_ptr<CallGroup>& group)
{
    const KnownNode* node = view.node(server);
    if (!node || node->entry.state == stored::State::Lapsed || passage.copies >= mostCopies)
        return std::nullopt;
    Copy copy;
    copy.number = ++passage.copies;
    copy.server = server;
    copy.began = BootClock::now();
    const auto left = std::chrono::duration_cast<Milliseconds>(passage.deadline - copy.began);
    passage.request.timeoutMs = std::max<int64_t>(1, left.count());
    {
        std::lock_guard lock(mutex_);
        choiceOf(passage).began(server);
    }
    if (server == options_.self())
        copy.call = options_.forwarder->sendLocal(
            passage.request, passage.body, passage.deadline, group, copy.number);
    else
        copy.call = options_.forwarder->sendRemote(
            node->entry.peerAddress, passage.request, passage.body, passage.deadline, group, copy.number);
    return copy;
}

// Waits for the first copy, sends a second one where that is allowed and worth it, and takes the first
// answer.
Reply Entrance::awaitCopies(
    const FleetView& view, Passage& passage, const Copy& first, const std::shared_ptr<CallGroup>& group)
{
    std::vector<Copy> running { first };
    TimePoint hedgeAt = TimePoint::max();
    const bool mayHedge = passage.routed.isIdempotent && passage.routed.partition < 0;
    if (mayHedge) {
        {
            std::lock_guard lock(mutex_);
            hedgeAt = first.began + choiceOf(passage).hedgeDelay();
        }
        if (const auto copy = probe(view, passage, group))
            running.push_back(*copy);
    }
    Reply last;
    while (!running.empty()) {
        const auto ended = group->wait(std::min(hedgeAt, passage.deadline));
        const TimePoint now = BootClock::now();
        if (!ended && now >= passage.deadline)
            break;
        if (!ended) {
            hedgeAt = TimePoint::max();
            if (const auto second = hedge(view, passage, first, group))
                running.push_back(*second);
            continue;
        }
        const auto copy = std::find_if(running.begin(), running.end(),
            [&ended](const Copy& each) { return each.number == ended->copy; });
        if (copy == running.end())
            continue;
        noteEnd(passage, *copy, ended->reply);
        const InstanceId server = copy->server;
        running.erase(copy);
        last = ended->reply;
        if (last.isAnswer)
            break;
        passage.tried.push_back(server);
        passage.mayHaveRun = passage.mayHaveRun || !last.isNotRun();
    }
    if (!running.empty() && !last.isAnswer) {
        passage.mayHaveRun = true;
        last = unknownOutcome(RefusalReason::DeadlinePassed, "no answer came before the deadline");
    }
    for (const Copy& copy : running) {
        options_.forwarder->cancel(copy.call);
        const TimePoint now = BootClock::now();
        std::lock_guard lock(mutex_);
        choiceOf(passage).abandoned(copy.server, now - copy.began, now);
    }
    return last;
}

// Sends a further copy to a server that was left out, to see whether it has recovered.
std::optional<Entrance::Copy> Entrance::probe(
    const FleetView& view, Passage& passage, const std::shared_ptr<CallGroup>& group)
{
    std::optional<InstanceId> suspect;
    {
        std::lock_guard lock(mutex_);
        suspect = choiceOf(passage).nextProbe(serversOf(view, passage.routed.service), BootClock::now());
        if (!suspect || !budget_.tryAcquire())
            return std::nullopt;
    }
    options_.counters->counter("probes_total")++;
    return sendCopy(view, passage, *suspect, group);
}

std::optional<Entrance::Copy> Entrance::hedge(
    const FleetView& view, Passage& passage, const Copy& first, const std::shared_ptr<CallGroup>& group)
{
    std::optional<InstanceId> other;
    {
        std::lock_guard lock(mutex_);
        other = choiceOf(passage).choose(
            serversOf(view, passage.routed.service), { first.server }, BootClock::now());
        if (!other || !budget_.tryAcquire())
            return std::nullopt;
    }
    options_.counters->counter("hedges_total")++;
    return sendCopy(view, passage, *other, group);
}

void Entrance::noteEnd(const Passage& passage, const Copy& copy, const Reply& reply)
{
    const TimePoint now = BootClock::now();
    if (!reply.isAnswer && reply.reason == RefusalReason::ServerFailed)
        options_.reportCrash(fingerprintOf(passage));
    std::lock_guard lock(mutex_);
    if (reply.isAnswer && passage.routed.partition < 0)
        choiceOf(passage).succeeded(copy.server, now - copy.began, now);
    else if (reply.isAnswer)
        choiceOf(passage).abandoned(copy.server, Duration::zero(), now);
    else
        choiceOf(passage).failed(copy.server, now);
}

ServerChoice& Entrance::choiceOf(const Passage& passage)
{
    return choices_.try_emplace(passage.routed.service, randomSource()).first->second;
}

bool Entrance::takeFromBudget()
{
    std::lock_guard lock(mutex_);
    return budget_.tryAcquire();
}

void Entrance::noteCrash(const std::string& fingerprint, const std::string& crashId)
{
    std::lock_guard lock(mutex_);
    quarantine_.recordCrash(fingerprint, crashId, BootClock::now());
}

// The body is hashed only while there are suspects, which is seldom.
bool Entrance::isHeldBack(const Passage& passage)
{
    {
        std::lock_guard lock(mutex_);
        quarantine_.expire(BootClock::now());
        if (quarantine_.size() == 0)
            return false;
    }
    const std::string fingerprint = fingerprintOf(passage);
    std::lock_guard lock(mutex_);
    return quarantine_.isQuarantined(fingerprint, BootClock::now());
}

std::string Entrance::fingerprintOf(const Passage& passage)
{
    return requestFingerprint(passage.routed.team, passage.routed.routeName, passage.caller.method,
        passage.caller.target, passage.body);
}

bool Entrance::mayRetry(const Passage& passage, const Reply& reply)
{
    if (BootClock::now() >= passage.deadline)
        return false;
    if (reply.isNotRun() && isPassing(reply.reason))
        return true;
    const bool mayRunAgain = reply.isNotRun() ? isOverload(reply.reason) : passage.routed.isIdempotent;
    if (!mayRunAgain || passage.copies >= firstCopies + 1 || !takeFromBudget())
        return false;
    options_.counters->counter("retries_total")++;
    return true;
}

}
