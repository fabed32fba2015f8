#include "sidecar/servermonitor.h"

#include "base/logger.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace persimmonfield {
namespace {

    // A server that has not reported for this many report intervals counts as silent.
    constexpr int maxMissedReports = 3;
    // The clocks of a server and of this instance differ by less. A server that claims to have started later
    // than now would make the reports of all others stale.
    constexpr Milliseconds maxClockDifference = std::chrono::hours(1);

}

ServerMonitor::ServerMonitor(ServerMonitorOptions options)
    : options_(std::move(options))
    , silenceTimer_(*options_.loop)
{
}

void ServerMonitor::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto message = options_.protocol->readReport(exchange->request());
    ServerReportAnswer result;
    if (!message.ok()) {
        result.isAccepted = false;
        result.cause = std::string(message.status().message());
        log(LogLevel::Warning, "report-unreadable", { { "cause", result.cause } });
        return respond(exchange, result);
    }
    if (const auto* leave = std::get_if<ServerLeave>(&*message)) {
        handleLeave(*leave);
        return respond(exchange, result);
    }
    const auto& report = std::get<ServerReport>(*message);
    bool needsKeys = false;
    result = applyReport(report, needsKeys);
    if (!needsKeys)
        return respond(exchange, result);
    options_.requestKeys(report, [this, exchange, result](std::optional<KeyAnswer> keys) {
        ServerReportAnswer whole = result;
        whole.keys = std::move(keys);
        respond(exchange, whole);
    });
}

void ServerMonitor::respond(
    const std::shared_ptr<HttpExchange>& exchange, const ServerReportAnswer& answer) const
{
    exchange->respond(options_.protocol->writeReportAnswer(answer));
}

void ServerMonitor::setEarlierEntry(const stored::ServerEntry& entry)
{
    earlierEntry_ = entry;
    if (!server_)
        return;
    if (isStale(server_->report) || hadLeft(server_->report.incarnation)) {
        server_->drainingSince = server_->drainingSince.value_or(TimePoint());
        publishState("left-before");
    }
}

// Whether an earlier run of this instance knew that the server was leaving, which it does only once.
bool ServerMonitor::hadLeft(const ServerIncarnation& incarnation) const
{
    return earlierEntry_ && earlierEntry_->readiness == stored::Readiness::Draining
        && incarnation == ServerIncarnation { earlierEntry_->id, earlierEntry_->startedMs };
}

bool ServerMonitor::isStale(const ServerReport& report) const
{
    if (earlierEntry_ && report.incarnation.startedMs < earlierEntry_->startedMs)
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
        answer.isAccepted = false;
        answer.cause = cause;
        return answer;
    }
    if (isStale(report)) {
        log(LogLevel::Info, "report-stale",
            { { "server", report.incarnation.id }, { "sequence", report.sequence } });
        return answer;
    }
    const TimePoint now = BootClock::now();
    const bool isNewIncarnation = !server_ || server_->report.incarnation != report.incarnation;
    const bool wasDraining = !isNewIncarnation && server_->drainingSince;
    const bool wasSilent = !isNewIncarnation && server_->isSilent;
    Server server;
    if (!isNewIncarnation)
        server.drainingSince = server_->drainingSince;
    if (report.isDraining && !server.drainingSince)
        server.drainingSince = now;
    if (!report.isDraining)
        server.drainingSince.reset();
    if (hadLeft(report.incarnation))
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

void ServerMonitor::handleLeave(const ServerLeave& leave)
{
    if (!server_ || server_->report.incarnation.id != leave.id || server_->hasLeft)
        return;
    server_->hasLeft = true;
    if (!server_->drainingSince)
        server_->drainingSince = BootClock::now();
    publishState("leave");
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
