#pragma once

#include "base/counters.h"
#include "rollout/rolloutjudge.h"
#include "sidecar/protocoladapter.h"
#include "sidecar/rolloutview.h"
#include "store/storesession.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace persimmonfield {

struct RolloutDeciderOptions {
    std::string instance; // Name of this instance.
    std::string incarnation;
    double canaryShare = 0;
    StoreSession* store = nullptr;
    FleetDirectory* directory = nullptr;
    RolloutView* view = nullptr;
    const ProtocolAdapter* protocol = nullptr;
    Counters* counters = nullptr;
    std::function<bool(const std::string& service)> hasService; // Whether it is configured.
    // Tells all instances, this one included, the record of a roll-out whose steps are taken here.
    std::function<void(const stored::RolloutRecord& record)> tell;
    std::function<void()> onChange; // Called after the directory has got a newer record.
};

// Takes the steps of roll-outs if it is this instance's turn. Each step is a conditional write of the record,
// so that of several instances that take steps at once only one can succeed; that a version is taken back is
// told before it is written. Runs on the event loop's thread.
class RolloutDecider {
public:
    explicit RolloutDecider(RolloutDeciderOptions options);

    // Takes the steps that are due. To be called several times a second while hasWork().
    void tick(TimePoint now);

    // Whether an order is not carried out, or its end is not written.
    bool hasWork() const;

    // What the instance next to a server of the service has counted.
    void onReport(const peer::RolloutReport& report, TimePoint now);

private:
    struct HeardReport {
        peer::RolloutReport report; // Without its figures.
        TimePoint at;
    };
    // A roll-out whose steps are taken here.
    struct Session {
        explicit Session(const stored::RolloutRecord& record);

        int64_t generation;
        RolloutJudge judge;
        std::map<std::string, HeardReport> reports; // By instance.
        TimePoint beganAt;
        std::optional<TimePoint> toldAt;
        bool isRunningStated = false; // Whether the order's status says that the roll-out is running.
    };

    bool isFinished(const std::string& service) const;
    bool isRefused(const std::string& service, const RolloutView::Order& order);
    bool isMyTurn(const std::string& service, TimePoint now) const;
    void claim(const std::string& service, TimePoint now);
    stored::RolloutRecord nextGeneration(
        const RolloutView::Order& order, const RolloutView::Rollout* earlier, TimePoint now) const;
    void decide(const std::string& service, Session& session, TimePoint now);
    void takeStep(const std::string& service, const RolloutPlan::Step& step,
        const RolloutJudgement& judgement, TimePoint now);
    bool areOldServersIdle(const Session& session, const RolloutView::Rollout& rollout, TimePoint now) const;
    void tellIfDue(const std::string& service, Session& session, TimePoint now) const;
    void writeRecord(const stored::RolloutRecord& record);
    void writeStatus(const std::string& service, Session& session);
    bool isOwnDecision(const std::string& service) const;

    RolloutDeciderOptions options_;
    std::string self_; // As in the records.
    std::map<std::string, Session> sessions_; // By service.
    std::map<std::string, bool> writing_; // By service; whether a write is in flight.
    std::map<std::string, std::string> refusedOrders_; // Texts of the orders that were logged as refused.
};

}
