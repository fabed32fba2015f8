#pragma once

#include "base/counters.h"
#include "http/httpclient.h"
#include "limits/concurrencylimit.h"
#include "messages/reply.h"

#include <optional>
#include <string>

namespace persimmonfield {

// What a call to the server says about it, besides its reply.
struct ServerCallSample {
    const std::string& route;
    int64_t pacePercent = 0; // As the server told it last; 0 if it tells none.
};

// The concurrency that the server beside this instance takes well. Learns it if the service asks for that;
// otherwise it is the number of the server's slots. Logs and counts its changes.
class ServerConcurrency {
public:
    explicit ServerConcurrency(Counters& counters);

    // Whether the service asks for it.
    void setEnabled(bool isEnabled, TimePoint now);

    // Called when the server reports. What was learned is forgotten if it is a new incarnation.
    void setServer(const std::string& id, int64_t startedMs, int slots, TimePoint now);

    // The number of requests that may run now.
    int limit() const { return learned_ ? learned_->limit() : slots_; }

    // The same without the trials that go on; it is what other instances are told.
    int settledLimit() const { return learned_ ? learned_->settledLimit() : slots_; }

    ConcurrencyLimit::Call begin(TimePoint now);

    void onReply(const ConcurrencyLimit::Call& call, const ServerCallSample& sample, CallOutcome outcome,
        const Reply& reply, TimePoint now);

    // The caller no longer waits for the answer.
    void onLeft(const ConcurrencyLimit::Call& call, const std::string& route, TimePoint now);

    // The usual work of the route at the usual pace; zero if it is not learned or not known.
    Duration usualWork(const std::string& route) const;

private:
    void startAgain(TimePoint now);
    bool isCurrent(const ConcurrencyLimit::Call& call) const;
    void recordChange(int before, const char* cause);

    Counters& counters_;
    bool isEnabled_ = false;
    std::string serverId_;
    int64_t serverStartedMs_ = 0;
    int slots_ = 0;
    TimePoint learnedSince_; // Calls from before are of another incarnation.
    std::optional<ConcurrencyLimit> learned_;
};

}
