#include "sidecar/requestquarantine.h"

#include "base/logger.h"
#include "base/random.h"
#include "http/httpmessage.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr const char* hostHeader = "Host";
    // Bounds the size of this instance's entry in the store.
    constexpr size_t maxPublished = 32;
    // Bounds the size of a message. A crash usually interrupts no more calls than a server has slots.
    constexpr size_t maxReported = 256;
    constexpr int firstServerError = 500;
    // Retry-After is longer than the quarantine by up to its length divided by this, so that callers do not
    // all return at the moment at which it ends.
    constexpr int64_t retrySpreadDivisor = 8;

    // Does not depend on where the request came in or on its key, which may differ when it is repeated.
    std::string fingerprintOf(const peer::ForwardedRequest& request, const std::string& body)
    {
        const std::string* host = findHeader(request.headers, hostHeader);
        return requestFingerprint(
            request.team, host ? *host : std::string(), request.method, request.target, body);
    }

}

RequestQuarantine::RequestQuarantine(RequestQuarantineOptions options)
    : options_(std::move(options))
    , random_(randomSource())
{
}

bool RequestQuarantine::isSuspect(
    const peer::ForwardedRequest& request, const std::string& body, std::string& fingerprint) const
{
    if (quarantine_.size() == 0)
        return false;
    if (fingerprint.empty())
        fingerprint = fingerprintOf(request, body);
    return quarantine_.crashes(fingerprint) > 0;
}

std::optional<Reply> RequestQuarantine::refusal(
    const peer::ForwardedRequest& request, const std::string& body, TimePoint now) const
{
    // Hashing the body is avoided while nothing is suspected, which is most of the time.
    if (quarantine_.size() == 0)
        return std::nullopt;
    const Duration left = quarantine_.refusedFor(fingerprintOf(request, body), now);
    if (left <= Duration::zero())
        return std::nullopt;
    Reply reply = notRun(RefusalReason::Quarantined, "backend servers crashed while they ran the request");
    const Duration spread = left / retrySpreadDivisor;
    const Duration random(static_cast<int64_t>(random_() % static_cast<uint64_t>(spread.count() + 1)));
    reply.retryAfter = std::max(Milliseconds(1), toMilliseconds(left + random));
    return reply;
}

void RequestQuarantine::onServerCrash(const std::vector<InterruptedCall>& calls, TimePoint now)
{
    const std::string crashId = std::to_string(++crashes_);
    std::vector<Quarantine::Run> runs;
    for (const InterruptedCall& call : calls) {
        if (runs.size() < maxReported)
            runs.push_back({ fingerprintOf(call.request, call.body), now - call.startedAt });
    }
    const std::vector<std::string> quarantined = quarantine_.recordCrash(crashId, runs, now);
    peer::PeerMessage message;
    message.crashCounts = peer::CrashCounts {};
    for (const Quarantine::Run& run : runs) {
        const int crashes = quarantine_.crashes(run.fingerprint);
        if (crashes > 0)
            message.crashCounts->counts.push_back({ crashes, run.fingerprint, std::nullopt });
    }
    if (!message.crashCounts->counts.empty())
        options_.broadcast(message);
    for (const std::string& fingerprint : quarantined) {
        options_.counters->counter("quarantines_total")++;
        log(LogLevel::Warning, "request-quarantined",
            { { "fingerprint", fingerprint }, { "crashes", quarantine_.crashes(fingerprint) },
                { "forMs", toMilliseconds(quarantine_.refusedFor(fingerprint, now)).count() } });
        published_.insert(fingerprint);
    }
    if (!quarantined.empty())
        options_.onChange();
}

void RequestQuarantine::onSuspectStarted(const std::string& fingerprint, TimePoint now)
{
    if (!quarantine_.recordTrial(fingerprint, now))
        return;
    const int crashes = quarantine_.crashes(fingerprint);
    log(LogLevel::Info, "quarantine-trial", { { "fingerprint", fingerprint }, { "crashes", crashes } });
    peer::PeerMessage message;
    message.crashCounts = peer::CrashCounts { { { crashes, fingerprint, true } } };
    options_.broadcast(message);
}

void RequestQuarantine::onAnswer(const peer::ForwardedRequest& request, const std::string& body,
    const Reply& reply, TimePoint begunAt, bool isLocalServer)
{
    if (quarantine_.size() == 0 || reply.status >= firstServerError)
        return;
    const std::string fingerprint = fingerprintOf(request, body);
    const int crashes = quarantine_.crashes(fingerprint);
    if (!quarantine_.recordAnswer(fingerprint, begunAt))
        return;
    options_.counters->counter("suspects_cleared_total", "crashes", std::to_string(crashes))++;
    log(LogLevel::Info, "suspect-cleared",
        { { "fingerprint", fingerprint }, { "crashes", crashes }, { "request", request.requestId } });
    withdraw(fingerprint);
    if (!isLocalServer)
        return;
    peer::PeerMessage message;
    message.crashCounts = peer::CrashCounts { { { 0, fingerprint, std::nullopt } } };
    options_.broadcast(message);
}

void RequestQuarantine::onCrashCounts(const peer::CrashCounts& message, TimePoint now)
{
    for (const peer::CrashCount& count : message.counts) {
        if (count.crashes <= 0) {
            quarantine_.clear(count.fingerprint);
            withdraw(count.fingerprint);
            continue;
        }
        quarantine_.recordCrashes(count.fingerprint, static_cast<int>(count.crashes), now);
        if (count.isTrial.value_or(false))
            quarantine_.recordTrial(count.fingerprint, now);
    }
}

void RequestQuarantine::onEntry(const stored::InstanceEntry& entry, TimePoint now)
{
    const bool isOwn = entry.name == options_.instance;
    if (!entry.crashCounts || (isOwn && entry.incarnation == options_.incarnation))
        return;
    for (const stored::CrashCount& count : *entry.crashCounts) {
        if (isOwn)
            published_.insert(count.fingerprint);
        quarantine_.recordCrashes(count.fingerprint, static_cast<int>(count.crashes), now);
    }
}

std::vector<stored::CrashCount> RequestQuarantine::published() const
{
    std::vector<stored::CrashCount> counts;
    for (const std::string& fingerprint : published_) {
        const int crashes = quarantine_.crashes(fingerprint);
        if (crashes > 0 && counts.size() < maxPublished)
            counts.push_back({ crashes, fingerprint });
    }
    return counts;
}

// Removes the request from what is published.
void RequestQuarantine::withdraw(const std::string& fingerprint)
{
    if (published_.erase(fingerprint) > 0)
        options_.onChange();
}

}
