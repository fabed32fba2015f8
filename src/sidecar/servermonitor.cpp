#include "sidecar/servermonitor.h"

#include "base/logger.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace persimmonfield {
namespace {

    // A server that has not reported for this many report intervals counts as silent.
    constexpr int maxMissedReports = 3;
    // A departure must be stored within this fraction of the time after which the server considers its report
    // lost.
    constexpr double maxStoreWaitFraction = 2.0 / 3;
    // A server announces its departure for at most this time.
    constexpr Milliseconds maxAnnouncementTime { 10'000 };
    // The clocks of a server and of this instance differ by less. A server that claims to have started later
    // than now would make the reports of all others stale.
    constexpr Milliseconds maxClockDifference = std::chrono::hours(1);

}

ServerMonitor::ServerMonitor(ServerMonitorOptions options)
    : options_(std::move(options))
    , silenceTimer_(*options_.loop)
    , storedTimer_(*options_.loop)
{
}

void ServerMonitor::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto message = options_.protocol->readReport(exchange->request());
    ServerReportAnswer result;
    if (!message.ok()) {
        result.outcome = ReportOutcome::Refused;
        result.cause = std::string(message.status().message());
        log(LogLevel::Warning, "report-unreadable", { { "cause", result.cause } });
        return respond(exchange, result);
    }
    if (const auto* leave = std::get_if<ServerLeave>(&*message))
        return respondOnceStored(handleLeave(*leave), exchange, [this, exchange] { respond(exchange, {}); });
    const auto& report = std::get<ServerReport>(*message);
    bool needsKeys = false;
    result = applyReport(report, needsKeys);
    const auto answer = [this, exchange, result, report, needsKeys] {
        if (needsKeys)
            respondWithKeys(exchange, report);
        else
            respond(exchange, result);
    };
    if (report.isDraining && result.outcome == ReportOutcome::Acknowledged)
        return respondOnceStored(report.incarnation, exchange, answer);
    answer();
}

void ServerMonitor::respondWithKeys(const std::shared_ptr<HttpExchange>& exchange, const ServerReport& report)
{
    options_.requestKeys(report, [this, exchange](std::optional<KeyAnswer> keys) {
        ServerReportAnswer answer;
        answer.keys = std::move(keys);
        respond(exchange, answer);
    });
}

// Responds once the store holds the departure. If that takes too long, the departure is not acknowledged; the
// server announces it again. It gets no more requests meanwhile.
void ServerMonitor::respondOnceStored(const ServerIncarnation& departed,
    const std::shared_ptr<HttpExchange>& exchange, std::function<void()> respond)
{
    if (options_.isDepartureStored(departed))
        return respond();
    const TimePoint waitsUntil = BootClock::now()
        + std::chrono::duration_cast<Duration>(options_.settings.reportTimeout * maxStoreWaitFraction);
    unstoredDepartures_.push_back({ departed, exchange, std::move(respond), waitsUntil });
    if (unstoredDepartures_.size() == 1)
        refuseUnstored();
}

void ServerMonitor::onEntryStored()
{
    for (UnstoredDeparture& each : std::exchange(unstoredDepartures_, {})) {
        if (options_.isDepartureStored(each.server))
            each.respond();
        else
            unstoredDepartures_.push_back(std::move(each));
    }
}

// Refuses the acknowledgements that have waited too long, now and whenever the next one has.
void ServerMonitor::refuseUnstored()
{
    const TimePoint now = BootClock::now();
    while (!unstoredDepartures_.empty() && unstoredDepartures_.front().waitsUntil <= now) {
        const UnstoredDeparture each = std::move(unstoredDepartures_.front());
        unstoredDepartures_.erase(unstoredDepartures_.begin());
        log(LogLevel::Warning, "departure-not-stored",
            { { "server", each.server.id }, { "startedMs", each.server.startedMs } });
        respond(each.exchange,
            { ReportOutcome::NotRecorded, "the store has not acknowledged the departure yet", {} });
    }
    if (unstoredDepartures_.empty())
        return;
    storedTimer_.expires_after(unstoredDepartures_.front().waitsUntil - now);
    storedTimer_.async_wait([this](std::error_code error) {
        if (!error)
            refuseUnstored();
    });
}

void ServerMonitor::respond(
    const std::shared_ptr<HttpExchange>& exchange, const ServerReportAnswer& answer) const
{
    exchange->respond(options_.protocol->writeReportAnswer(answer));
}

void ServerMonitor::setEarlierEntry(const stored::InstanceEntry& entry)
{
    for (const stored::DepartedServer& each : entry.departedServers.value_or(DepartedServers()))
        addDeparted(departedServers_, { each.id, each.startedMs });
    earlierEntry_ = entry.server;
    // Entries of earlier versions have no list of departed servers.
    if (earlierEntry_ && earlierEntry_->readiness == stored::Readiness::Draining)
        addDeparted(departedServers_, { earlierEntry_->id, earlierEntry_->startedMs });
    if (!server_)
        return;
    const ServerIncarnation& incarnation = server_->report.incarnation;
    if (isBeforeEarlierEntry(incarnation) || hasDeparted(departedServers_, incarnation)) {
        // When the departure was acknowledged is not known.
        server_->drainingSince = TimePoint();
        publishState("left-before");
    }
}

// Whether the incarnation was followed by another one, which an earlier run of this instance has known.
bool ServerMonitor::isBeforeEarlierEntry(const ServerIncarnation& incarnation) const
{
    return earlierEntry_ && incarnation.startedMs < earlierEntry_->startedMs;
}

bool ServerMonitor::isStale(const ServerReport& report) const
{
    if (isBeforeEarlierEntry(report.incarnation))
        return true;
    if (!server_)
        return false;
    const ServerReport& known = server_->report;
    if (report.incarnation.startedMs != known.incarnation.startedMs)
        return report.incarnation.startedMs < known.incarnation.startedMs;
    if (report.incarnation.id != known.incarnation.id)
        return false;
    return report.sequence <= known.sequence || server_->hasLeft;
}

// Why the report cannot be that of the server next to this instance; empty if it can.
std::string ServerMonitor::mismatch(const ServerReport& report) const
{
    const SidecarSettings& settings = options_.settings;
    if (report.service != settings.service)
        return fmt::format("the server next to this instance is of service '{}'", settings.service);
    const auto address = parseAddress(report.address);
    if (!address.ok() || address->text() != settings.serverAddress.text())
        return fmt::format("the server next to this instance is at {}", settings.serverAddress.text());
    if (report.zone != settings.zone)
        return fmt::format("the server next to this instance is in zone '{}'", settings.zone);
    if (Milliseconds(report.incarnation.startedMs) > wallClockNow() + maxClockDifference)
        return "the server has started in the future";
    if (options_.isKeyed() && !report.hasKeys)
        return "the service is divided by key, and the report states no keys";
    return {};
}

ServerReportAnswer ServerMonitor::applyReport(const ServerReport& report, bool& needsKeys)
{
    ServerReportAnswer answer;
    if (const std::string cause = mismatch(report); !cause.empty()) {
        log(LogLevel::Warning, "report-mismatch",
            { { "server", report.incarnation.id }, { "service", report.service },
                { "address", report.address }, { "zone", report.zone },
                { "startedMs", report.incarnation.startedMs }, { "cause", cause } });
        answer.outcome = ReportOutcome::Refused;
        answer.cause = cause;
        return answer;
    }
    if (isStale(report)) {
        log(LogLevel::Info, "report-stale",
            { { "server", report.incarnation.id }, { "sequence", report.sequence } });
        if (report.isDraining)
            recordDeparture(report.incarnation, "state");
        return answer;
    }
    const TimePoint now = BootClock::now();
    const bool isNewIncarnation = !server_ || server_->report.incarnation != report.incarnation;
    const bool wasDraining = !isNewIncarnation && server_->drainingSince;
    const bool wasSilent = !isNewIncarnation && server_->isSilent;
    const bool hadDeparted = hasDeparted(departedServers_, report.incarnation);
    Server server;
    if (!isNewIncarnation)
        server.drainingSince = server_->drainingSince;
    if (report.isDraining && addDeparted(departedServers_, report.incarnation))
        server.drainingSince = now;
    if (hadDeparted && !server.drainingSince)
        server.drainingSince = TimePoint();
    server.report = report;
    server.reportedAt = now;
    server.coldUntil = now + report.coldFor;
    server_ = std::move(server);
    if (isNewIncarnation || wasDraining != server_->drainingSince.has_value() || wasSilent)
        publishState(isNewIncarnation ? "new-life" : "state");
    else
        options_.gate->setServer(GatedServer {
            report.incarnation, report.service, report.slots, server_->coldUntil, server_->drainingSince });
    startSilenceTimer();
    needsKeys = true;
    return answer;
}

ServerIncarnation ServerMonitor::handleLeave(const ServerLeave& leave)
{
    ServerIncarnation incarnation = leavingIncarnation(leave.id);
    log(LogLevel::Info, "server-left", { { "server", leave.id }, { "startedMs", incarnation.startedMs } });
    if (server_ && server_->report.incarnation == incarnation)
        server_->hasLeft = true;
    recordDeparture(incarnation, "leave");
    return incarnation;
}

// Records the departure of a server, which need not be the one in use.
void ServerMonitor::recordDeparture(const ServerIncarnation& incarnation, const char* cause)
{
    if (!addDeparted(departedServers_, incarnation))
        return;
    if (!server_ || server_->report.incarnation != incarnation)
        return options_.onChange();
    if (!server_->drainingSince)
        server_->drainingSince = BootClock::now();
    publishState(cause);
}

// A server that this run of the instance does not know has started before now.
ServerIncarnation ServerMonitor::leavingIncarnation(const std::string& id) const
{
    if (server_ && server_->report.incarnation.id == id)
        return server_->report.incarnation;
    const int64_t nowMs = wallClockNow().count();
    // A departure that is announced again needs no new record.
    for (const stored::DepartedServer& each : departedServers_) {
        if (each.id == id && Milliseconds(nowMs - each.startedMs) < maxAnnouncementTime)
            return { id, each.startedMs };
    }
    return { id, nowMs };
}

void ServerMonitor::publishState(const char* cause)
{
    const Server& server = *server_;
    log(LogLevel::Info, "server-changed",
        { { "cause", cause }, { "server", server.report.incarnation.id },
            { "startedMs", server.report.incarnation.startedMs }, { "sequence", server.report.sequence },
            { "isDraining", server.report.isDraining }, { "hasLeft", server.hasLeft },
            { "isSilent", server.isSilent } });
    if (server.isSilent)
        options_.gate->setServer(std::nullopt);
    else
        options_.gate->setServer(GatedServer { server.report.incarnation, server.report.service,
            server.report.slots, server.coldUntil, server.drainingSince });
    options_.onChange();
}

void ServerMonitor::startSilenceTimer()
{
    const Milliseconds maxSilence = options_.settings.reportInterval * maxMissedReports;
    silenceTimer_.expires_after(maxSilence);
    silenceTimer_.async_wait([this, maxSilence](std::error_code error) {
        // If the event loop is late, a report may have been handled after the timer expired.
        if (error || BootClock::now() < server_->reportedAt + maxSilence)
            return;
        server_->isSilent = true;
        publishState("silence");
    });
}

std::optional<stored::ServerEntry> ServerMonitor::entry() const
{
    if (!server_)
        return std::nullopt;
    stored::ServerEntry entry {};
    entry.id = server_->report.incarnation.id;
    entry.startedMs = server_->report.incarnation.startedMs;
    entry.slots = server_->report.slots;
    entry.readiness = stored::Readiness::Ready;
    if (options_.settings.canaryShare > 0 && !server_->report.version.empty())
        entry.version = server_->report.version;
    if (server_->isSilent)
        entry.readiness = stored::Readiness::Absent;
    else if (server_->drainingSince)
        entry.readiness = stored::Readiness::Draining;
    return entry;
}

std::string ServerMonitor::version() const
{
    return server_ ? server_->report.version : std::string();
}

std::optional<ServerIncarnation> ServerMonitor::incarnation() const
{
    if (!server_ || server_->isSilent)
        return std::nullopt;
    return server_->report.incarnation;
}

}
