#pragma once

#include "base/counters.h"
#include "messages/generated/stored.h"
#include "messages/reply.h"
#include "routing/quarantine.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonfield {

struct RequestQuarantineOptions {
    std::string instance; // Name of this instance.
    std::string incarnation;
    Counters* counters = nullptr;
    // Sends the message to all instances whose servers can run the same requests as the server here.
    std::function<void(const peer::PeerMessage& message)> broadcast;
    // Called when published() has changed.
    std::function<void()> onChange;
};

// A call that had no answer yet when the server next to this instance crashed.
struct InterruptedCall {
    const peer::ForwardedRequest& request;
    const std::string& body;
    TimePoint startedAt;
};

// This instance's part in the fleet's quarantine of requests that crash servers. The instance next to a
// server that crashes tells those next to the other servers of the service, so that their gates refuse the
// request, and records in its entry in the store what has to outlast it. Runs on the event loop's thread.
class RequestQuarantine {
public:
    explicit RequestQuarantine(RequestQuarantineOptions options);

    // Whether the request is suspected of crashing servers. `fingerprint` caches the hash by which it is
    // recognized when it is repeated; it is set once any request is suspected.
    bool isSuspect(
        const peer::ForwardedRequest& request, const std::string& body, std::string& fingerprint) const;

    // The refusal of a request that is quarantined; std::nullopt if the request may run.
    std::optional<Reply> refusal(
        const peer::ForwardedRequest& request, const std::string& body, TimePoint now) const;

    // The server next to this instance has crashed while it worked on the calls.
    void onServerCrash(const std::vector<InterruptedCall>& calls, TimePoint now);

    // The server next to this instance starts to run a suspect. After a quarantine, the other instances
    // refuse the request until the outcome of this run is known.
    void onSuspectStarted(const std::string& fingerprint, TimePoint now);

    // A server has answered a run that began at `begunAt`, so the request does not crash servers; an error of
    // the server does not tell. `isLocalServer` is whether it was the server next to this instance, of which
    // the other instances have to be told.
    void onAnswer(const peer::ForwardedRequest& request, const std::string& body, const Reply& reply,
        TimePoint begunAt, bool isLocalServer);

    // Applies what another instance has sent.
    void onCrashCounts(const peer::CrashCounts& message, TimePoint now);

    // Applies what an instance, or an earlier incarnation of this one, has recorded in its entry.
    void onEntry(const stored::InstanceEntry& entry, TimePoint now);

    // The requests that are quarantined because of the server next to this instance, for its entry.
    std::vector<stored::CrashCount> published() const;

private:
    void withdraw(const std::string& fingerprint);

    RequestQuarantineOptions options_;
    std::function<uint64_t()> random_;
    Quarantine quarantine_;
    std::set<std::string> published_; // Fingerprints.
    int64_t crashes_ = 0; // Of the server next to this instance.
};

}
