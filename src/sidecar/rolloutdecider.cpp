#include "sidecar/rolloutdecider.h"

#include "base/hashing.h"
#include "base/logger.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds tellInterval { 500 };
    // When nothing has been heard of the instance that takes the steps for this long, another one takes over.
    constexpr Milliseconds silenceTime { 1'500 };
    // The time by which each instance waits longer than the one before it.
    constexpr Milliseconds turnInterval { 1'000 };
    // An instance that has not been heard of for this long is lost with the server next to it.
    constexpr Milliseconds lostTime { 5'000 };
    // Slots of the judgement within the duration of a roll-out.
    constexpr int slotsPerRollout = 48;
    constexpr Milliseconds minSlot { 250 };

    // The instances take their turns in the order of these ranks.
    uint64_t rankOf(const std::string& service, const std::string& instance)
    {
        return stableHash(fmt::format("{}/{}", service, instance));
    }

    FiguresByRoute figuresOf(const peer::RolloutReport& report)
    {
        FiguresByRoute result;
        for (const peer::RolloutFigures& figures : report.figures) {
            RolloutFigures& route = result[figures.route];
            route.answers = figures.answers;
            route.failures = figures.failures;
            for (size_t i = 0; i < std::min(figures.times.size(), route.times.size()); ++i)
                route.times.at(i) = figures.times[i];
        }
        return result;
    }

}

RolloutDecider::Session::Session(const stored::RolloutRecord& record)
    : generation(record.generation)
    , judge(std::max<Duration>(minSlot, Milliseconds(record.durationMs) / slotsPerRollout))
{
}

RolloutDecider::RolloutDecider(RolloutDeciderOptions options)
    : options_(std::move(options))
    , self_(options_.instance + "/" + options_.incarnation)
{
}

// Whether there is nothing left to do for the service's order or for its record.
bool RolloutDecider::isFinished(const std::string& service) const
{
    const auto order = options_.view->orders().find(service);
    const RolloutView::Rollout* rollout = options_.view->rollout(service);
    const std::string text = order == options_.view->orders().end() ? "" : order->second.order.text();
    const auto refused = refusedOrders_.find(service);
    if (refused != refusedOrders_.end() && refused->second == text && !options_.hasService(service))
        return true;
    if (!rollout)
        return text.empty();
    return rollout->record.order == text && rollout->position.isOver() && rollout->record.statusWritten;
}

bool RolloutDecider::hasWork() const
{
    if (!options_.view->areOrdersKnown())
        return false;
    const auto isOpen = [this](const auto& each) { return !isFinished(each.first); };
    const auto& orders = options_.view->orders();
    const auto& rollouts = options_.view->rollouts();
    return std::any_of(orders.begin(), orders.end(), isOpen)
        || std::any_of(rollouts.begin(), rollouts.end(), isOpen);
}

void RolloutDecider::tick(TimePoint now)
{
    std::set<std::string> services;
    for (const auto& [service, order] : options_.view->orders())
        services.insert(service);
    for (const auto& [service, rollout] : options_.view->rollouts())
        services.insert(service);
    for (const std::string& service : services) {
        if (isFinished(service)) {
            sessions_.erase(service);
            continue;
        }
        if (!isOwnDecision(service))
            sessions_.erase(service);
        const auto session = sessions_.find(service);
        if (session != sessions_.end())
            decide(service, session->second, now);
        else if (isMyTurn(service, now))
            claim(service, now);
    }
}

// Whether the steps of the present order are taken here.
bool RolloutDecider::isOwnDecision(const std::string& service) const
{
    const auto session = sessions_.find(service);
    const RolloutView::Rollout* rollout = options_.view->rollout(service);
    const auto order = options_.view->orders().find(service);
    return session != sessions_.end() && rollout && rollout->record.generation == session->second.generation
        && rollout->record.decider == self_ && order != options_.view->orders().end()
        && rollout->record.order == order->second.order.text();
}

// The instances have one order for each service. Each one waits until those before it could have acted.
bool RolloutDecider::isMyTurn(const std::string& service, TimePoint now) const
{
    const uint64_t own = rankOf(service, options_.instance);
    int before = 0;
    for (const auto& [name, entry] : options_.directory->instances()) {
        if (!entry.value.departing && rankOf(service, name) < own)
            ++before;
    }
    TimePoint since;
    const auto order = options_.view->orders().find(service);
    if (order != options_.view->orders().end())
        since = order->second.seenAt;
    Milliseconds silence { 0 };
    if (const RolloutView::Rollout* rollout = options_.view->rollout(service)) {
        silence = silenceTime;
        since = std::max({ since, rollout->positionSince, rollout->noticeAt.value_or(since) });
        const bool isNewOrder
            = order != options_.view->orders().end() && rollout->record.order != order->second.order.text();
        if (isNewOrder) {
            silence = Milliseconds(0);
            since = order->second.seenAt;
        }
    }
    return now >= since + silence + turnInterval * before;
}

// Whether the order cannot be carried out; logged once.
bool RolloutDecider::isRefused(const std::string& service, const RolloutView::Order& order)
{
    if (options_.hasService(service))
        return false;
    std::string& refused = refusedOrders_[service];
    if (std::exchange(refused, order.order.text()) != order.order.text())
        log(LogLevel::Warning, "rollout-refused",
            { { "service", service }, { "version", order.order.targetVersion },
                { "cause", "the service is not configured" } });
    return true;
}

// Begins a new order, ends one that was withdrawn, or takes over the steps of one.
void RolloutDecider::claim(const std::string& service, TimePoint now)
{
    const auto order = options_.view->orders().find(service);
    const bool isOrdered = order != options_.view->orders().end();
    const RolloutView::Rollout* known = options_.view->rollout(service);
    if (!isOrdered && !options_.view->isWithdrawn(service, now))
        return;
    if (isOrdered && isRefused(service, order->second))
        return;
    if (isOrdered && (!known || known->record.order != order->second.order.text()))
        return writeRecord(nextGeneration(order->second, known, now));
    stored::RolloutRecord record = known->record;
    record.state = storedState(known->position.state);
    record.stage = known->position.stage;
    record.decider = self_;
    record.elapsedMs
        = std::chrono::duration_cast<Milliseconds>(std::max(Duration::zero(), now - known->startedAt))
              .count();
    if (!isOrdered) {
        record.order.clear();
        record.statusWritten = true;
        if (!known->position.isOver()) {
            record.state = stored::RolloutState::RolledBack;
            record.cause = "the order was withdrawn";
        }
    }
    log(LogLevel::Info, "rollout-claimed",
        { { "service", service }, { "version", record.targetVersion },
            { "state", stateName(stateOf(record)) }, { "stage", record.stage },
            { "elapsedMs", record.elapsedMs }, { "isWithdrawn", !isOrdered } });
    writeRecord(record);
}

stored::RolloutRecord RolloutDecider::nextGeneration(
    const RolloutView::Order& order, const RolloutView::Rollout* earlier, TimePoint now) const
{
    stored::RolloutRecord record {};
    record.service = order.order.service;
    record.targetVersion = order.order.targetVersion;
    record.order = order.order.text();
    record.durationMs = order.order.duration.count();
    record.elapsedMs = std::chrono::duration_cast<Milliseconds>(now - order.seenAt).count();
    record.generation = 1;
    record.state = stored::RolloutState::Running;
    record.decider = self_;
    record.cause = "ordered";
    if (earlier) {
        record.generation = earlier->record.generation + 1;
        record.refusedVersions = earlier->record.refusedVersions;
        if (earlier->position.state != RolloutState::Completed && !earlier->isTargetGone)
            record.refusedVersions.push_back(earlier->record.targetVersion);
    }
    auto& refused = record.refusedVersions;
    refused.erase(std::remove(refused.begin(), refused.end(), record.targetVersion), refused.end());
    bool hasTarget = false;
    bool hasOthers = false;
    for (const auto& [name, entry] : options_.directory->instances()) {
        const stored::InstanceEntry& instance = entry.value;
        if (instance.service != record.service || !instance.server
            || instance.server->readiness != stored::Readiness::Ready)
            continue;
        const bool isTarget = instance.server->version == record.targetVersion;
        hasTarget = hasTarget || isTarget;
        hasOthers = hasOthers || !isTarget;
    }
    if (hasTarget && !hasOthers) {
        record.state = stored::RolloutState::Completed;
        record.cause = "the version is in use already";
    }
    log(LogLevel::Info, "rollout-begun",
        { { "service", record.service }, { "version", record.targetVersion },
            { "generation", record.generation }, { "durationMs", record.durationMs },
            { "refusedVersions", record.refusedVersions }, { "cause", record.cause } });
    return record;
}

void RolloutDecider::decide(const std::string& service, Session& session, TimePoint now)
{
    const RolloutView::Rollout& rollout = *options_.view->rollout(service);
    tellIfDue(service, session, now);
    if (rollout.position.isOver()) {
        const auto stored = options_.directory->rollouts().find(service);
        const bool isStored = stored != options_.directory->rollouts().end()
            && stored->second.value.generation == session.generation
            && stateOf(stored->second.value) == rollout.position.state;
        if (isStored)
            return writeStatus(service, session);
        stored::RolloutRecord record = rollout.record;
        record.decider = self_;
        return writeRecord(record);
    }
    if (!session.isRunningStated)
        writeStatus(service, session);
    RolloutPlan::Inputs inputs;
    inputs.elapsed = now - rollout.startedAt;
    inputs.stageElapsed = now - rollout.positionSince;
    inputs.judgement = session.judge.judgement();
    inputs.areOldServersIdle
        = rollout.position.state == RolloutState::Closing && areOldServersIdle(session, rollout, now);
    const RolloutPlan plan(Milliseconds(rollout.record.durationMs), options_.canaryShare);
    if (const auto step = plan.nextStep(rollout.position, inputs))
        takeStep(service, *step, inputs.judgement, now);
}

void RolloutDecider::takeStep(const std::string& service, const RolloutPlan::Step& step,
    const RolloutJudgement& judgement, TimePoint now)
{
    if (step.position.state != RolloutState::RolledBack && writing_[service])
        return;
    const RolloutView::Rollout& rollout = *options_.view->rollout(service);
    stored::RolloutRecord record = rollout.record;
    record.state = storedState(step.position.state);
    record.stage = step.position.stage;
    record.decider = self_;
    record.cause = step.cause;
    record.elapsedMs = std::chrono::duration_cast<Milliseconds>(now - rollout.startedAt).count();
    log(LogLevel::Info, "rollout-step",
        { { "service", service }, { "version", record.targetVersion },
            { "from", stateName(rollout.position.state) }, { "fromStage", rollout.position.stage },
            { "to", stateName(step.position.state) }, { "stage", step.position.stage },
            { "cause", step.cause }, { "route", judgement.route }, { "elapsedMs", record.elapsedMs },
            { "newAnswers", judgement.newAnswers }, { "newHits", judgement.newHits },
            { "oldAnswers", judgement.oldAnswers }, { "oldHits", judgement.oldHits } });
    options_.counters->counter("rollout_steps_total", "state", stateName(step.position.state))++;
    if (step.position.state == RolloutState::RolledBack)
        options_.tell(record);
    writeRecord(record);
}

// Whether each server of another version gets nothing any more and has completed what it ran. One whose
// instance is not heard of is lost with it, unless this instance hears of few others itself.
bool RolloutDecider::areOldServersIdle(
    const Session& session, const RolloutView::Rollout& rollout, TimePoint now) const
{
    size_t members = 0;
    size_t heard = 0;
    size_t lost = 0;
    for (const auto& [name, entry] : options_.directory->instances()) {
        const stored::InstanceEntry& instance = entry.value;
        if (instance.service != rollout.record.service || !instance.server)
            continue;
        ++members;
        const auto report = session.reports.find(name);
        const TimePoint heardAt = report == session.reports.end() ? session.beganAt : report->second.at;
        const bool isHeard = report != session.reports.end() && now < heardAt + lostTime;
        heard += isHeard ? 1 : 0;
        const bool isOld = instance.server->version != rollout.record.targetVersion
            && instance.server->readiness != stored::Readiness::Absent;
        if (!isOld)
            continue;
        if (now >= heardAt + lostTime) {
            ++lost;
            continue;
        }
        const bool isIdle = isHeard && report->second.at >= rollout.positionSince
            && report->second.report.closed && report->second.report.running == 0;
        if (!isIdle)
            return false;
    }
    return lost == 0 || heard * 2 > members;
}

void RolloutDecider::tellIfDue(const std::string& service, Session& session, TimePoint now) const
{
    if (session.toldAt && now < *session.toldAt + tellInterval)
        return;
    session.toldAt = now;
    options_.tell(options_.view->rollout(service)->record);
}

void RolloutDecider::onReport(const peer::RolloutReport& report, TimePoint now)
{
    const auto session = sessions_.find(report.service);
    const RolloutView::Rollout* rollout = options_.view->rollout(report.service);
    if (session == sessions_.end() || !rollout || report.generation != session->second.generation)
        return;
    HeardReport& heard = session->second.reports[report.instance];
    heard.report = report;
    heard.report.figures.clear();
    heard.at = now;
    if (!rollout->position.isOver())
        session->second.judge.record(report.instance + "/" + report.incarnation + "/" + report.server,
            report.version == rollout->record.targetVersion, figuresOf(report), now);
    if (report.takenBack && !rollout->position.isOver()) {
        const RolloutPlan::Step step { { RolloutState::RolledBack, rollout->position.stage },
            "it was taken back before" };
        takeStep(report.service, step, {}, now);
    }
}

void RolloutDecider::writeRecord(const stored::RolloutRecord& record)
{
    const std::string service = record.service;
    if (std::exchange(writing_[service], true))
        return;
    const auto known = options_.directory->rollouts().find(service);
    const int64_t revision = known == options_.directory->rollouts().end() ? 0 : known->second.revision;
    options_.store->write({ fleetKind, rolloutObjectName(service), nlohmann::json(record), revision },
        [this, record](const StoreWriteResult& result) {
            const std::string& name = record.service;
            writing_[name] = false;
            const TimePoint now = BootClock::now();
            if (result.object)
                options_.directory->apply({ { *result.object }, false, result.object->revision }, false);
            if (result.outcome != WriteOutcome::Applied)
                log(LogLevel::Info, "rollout-not-written",
                    { { "service", name }, { "cause", result.detail } });
            // The answer to an earlier attempt at this write may have been lost.
            const auto stored = options_.directory->rollouts().find(name);
            const bool isOwn = result.object && stored != options_.directory->rollouts().end()
                && stored->second.value.decider == self_
                && stored->second.value.generation == record.generation;
            const auto session = sessions_.find(name);
            if (isOwn && (session == sessions_.end() || session->second.generation != record.generation)) {
                Session begun(record);
                begun.beganAt = now;
                sessions_.insert_or_assign(name, std::move(begun));
            }
            options_.onChange();
            if (isOwn && options_.view->rollout(name))
                options_.tell(options_.view->rollout(name)->record);
        });
}

void RolloutDecider::writeStatus(const std::string& service, Session& session)
{
    const auto order = options_.view->orders().find(service);
    const RolloutView::Rollout& rollout = *options_.view->rollout(service);
    if (order == options_.view->orders().end() || std::exchange(writing_[service], true))
        return;
    const RolloutState state = rollout.position.state;
    StoreWrite write { options_.protocol->rolloutKind, service,
        options_.protocol->writeRolloutStatus(rollout.record.targetVersion, state), order->second.revision,
        true };
    options_.store->write(
        write, [this, service, state, generation = session.generation](const StoreWriteResult& result) {
            writing_[service] = false;
            if (result.object) {
                auto read = options_.protocol->readRolloutOrder(result.object->value);
                if (read.ok() && read->service == service)
                    options_.view->setOrder(*read, result.object->revision, BootClock::now());
            }
            const auto found = sessions_.find(service);
            const bool isCurrent = found != sessions_.end() && found->second.generation == generation;
            log(LogLevel::Info, "rollout-status",
                { { "service", service }, { "state", stateName(state) },
                    { "isWritten", result.outcome == WriteOutcome::Applied }, { "cause", result.detail } });
            if (result.outcome != WriteOutcome::Applied || !isCurrent)
                return;
            found->second.isRunningStated = true;
            if (state != RolloutState::Completed && state != RolloutState::RolledBack)
                return;
            stored::RolloutRecord record = options_.view->rollout(service)->record;
            record.statusWritten = true;
            writeRecord(record);
        });
}

}
