#include "sidecar/rolloutmanager.h"

#include "base/logger.h"

#include <fmt/format.h>

#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds tickInterval { 200 };
    constexpr size_t maxCountedRoutes = 64;

}

RolloutManager::RolloutManager(RolloutManagerOptions options)
    : options_(std::move(options))
    , view_({ options_.settings.name, options_.settings.canaryShare, options_.settings.canarySlack,
          options_.settings.rollbackTime, options_.directory, options_.random })
    , decider_({ options_.settings.name, options_.incarnation, options_.settings.canaryShare, options_.store,
          options_.directory, &view_, options_.protocol, options_.counters, options_.hasService,
          [this](const stored::RolloutRecord& record) { tell(record); }, [this] { options_.onChange(); } })
    , timer_(*options_.loop)
{
}

void RolloutManager::applyOrders(const StorePage& page, bool isFullListing)
{
    std::set<std::string> services;
    for (const StoreObject& object : page.objects) {
        if (object.isDeleted) {
            view_.removeOrder(object.name);
            continue;
        }
        services.insert(object.name);
        const auto order = options_.protocol->readRolloutOrder(object.value);
        if (order.ok() && order->service == object.name) {
            view_.setOrder(*order, object.revision, BootClock::now());
            continue;
        }
        log(LogLevel::Warning, "rollout-refused",
            { { "service", object.name }, { "revision", object.revision },
                { "cause",
                    order.ok() ? "it names another service" : std::string(order.status().message()) } });
    }
    if (isFullListing)
        view_.setListed(services);
    armTimer();
    options_.onChange();
}

bool RolloutManager::onDirectoryChange()
{
    const bool hasChanged = view_.onDirectoryChange(BootClock::now());
    armTimer();
    return hasChanged;
}

void RolloutManager::armTimer()
{
    if (isTimerArmed_ || !decider_.hasWork())
        return;
    isTimerArmed_ = true;
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](std::error_code error) {
        isTimerArmed_ = false;
        if (error)
            return;
        if (options_.network->isStarted() && options_.directory->isLoaded())
            decider_.tick(BootClock::now());
        armTimer();
    });
}

void RolloutManager::applyRecord(const stored::RolloutRecord& record)
{
    const TimePoint now = BootClock::now();
    const bool hasChanged = view_.applyRecord(record, now);
    view_.recordNotice(record.service, record.generation, now);
    if (!hasChanged)
        return;
    armTimer();
    options_.onChange();
}

// Tells all instances the record; this one acts on it at once.
void RolloutManager::tell(const stored::RolloutRecord& record)
{
    applyRecord(record);
    peer::PeerMessage message;
    message.rolloutNotice = peer::RolloutNotice { options_.settings.name, record.service };
    const std::string body = nlohmann::json(record).dump();
    for (const auto& [name, entry] : options_.directory->instances()) {
        if (name == options_.settings.name || entry.value.departing)
            continue;
        if (const LinkId link = options_.network->linkTo(entry.value.peerAddress))
            options_.network->send(link, { message, body });
    }
    if (record.service == options_.settings.service)
        decider_.onReport(ownReport(record.service), BootClock::now());
}

void RolloutManager::onNotice(LinkId link, const peer::RolloutNotice& notice, const std::string& body)
{
    stored::RolloutRecord record;
    try {
        record = nlohmann::json::parse(body).get<stored::RolloutRecord>();
    } catch (const std::exception& error) {
        log(LogLevel::Warning, "rollout-notice-unreadable",
            { { "from", notice.instance }, { "cause", error.what() } });
        return;
    }
    if (!view_.isEnabled() || record.service != notice.service || record.durationMs <= 0)
        return;
    const RolloutView::Rollout* known = view_.rollout(record.service);
    if (known && known->record.generation > record.generation)
        return;
    applyRecord(record);
    if (record.service != options_.settings.service)
        return;
    peer::PeerMessage message;
    message.rolloutReport = ownReport(record.service);
    options_.network->send(link, { message, {} });
}

void RolloutManager::onReport(const peer::RolloutReport& report)
{
    decider_.onReport(report, BootClock::now());
}

peer::RolloutReport RolloutManager::ownReport(const std::string& service) const
{
    const RolloutView::Rollout& rollout = *view_.rollout(service);
    peer::RolloutReport report {};
    report.service = service;
    report.generation = rollout.record.generation;
    report.instance = options_.settings.name;
    report.incarnation = options_.incarnation;
    report.server = options_.serverId();
    report.version = options_.serverVersion();
    report.closed = view_.useOf(service, report.version, report.instance, report.server) == VersionUse::None;
    report.running = static_cast<int64_t>(options_.openCalls());
    report.takenBack = rollout.position.state == RolloutState::RolledBack;
    if (countedFor_ != countKey())
        return report;
    for (const auto& [route, figures] : figures_) {
        peer::RolloutFigures counted { figures.answers, figures.failures, route, {} };
        counted.times.assign(figures.times.begin(), figures.times.end());
        while (!counted.times.empty() && counted.times.back() == 0)
            counted.times.pop_back();
        report.figures.push_back(std::move(counted));
    }
    return report;
}

std::optional<Reply> RolloutManager::refusal(const peer::ForwardedRequest& request, TimePoint now) const
{
    if (!view_.isEnabled() || (view_.areOrdersKnown() && !view_.isInForce(request.service)))
        return std::nullopt;
    return view_.refusal(request, options_.serverVersion(), options_.serverId(), now);
}

// Names the order and the server that are counted now.
std::string RolloutManager::countKey() const
{
    const RolloutView::Rollout* rollout = view_.rollout(options_.settings.service);
    return fmt::format("{}/{}", rollout ? rollout->record.generation : 0, options_.serverId());
}

void RolloutManager::recordRun(const Run& run)
{
    const std::string& service = options_.settings.service;
    if (!view_.isInForce(service))
        return;
    const RolloutView::Rollout* rollout = view_.rollout(service);
    if (!rollout || rollout->position.isOver())
        return;
    const std::string version = options_.serverVersion();
    options_.counters->counter(
        run.isFailure ? "rollout_failures_total" : "rollout_answers_total", "version", version)++;
    const std::string counted = countKey();
    if (std::exchange(countedFor_, counted) != counted)
        figures_.clear();
    if (figures_.size() >= maxCountedRoutes && figures_.count(run.route) == 0)
        return;
    RolloutFigures& figures = figures_[run.route];
    ++figures.answers;
    if (run.isFailure)
        ++figures.failures;
    else if (run.isWarm)
        ++figures.times.at(RolloutFigures::bucketOf(run.work));
}

}
