#include "sidecar/sidecar.h"

#include "base/hashing.h"
#include "base/logger.h"
#include "base/random.h"
#include "limits/memorylimits.h"
#include "sidecar/feedbody.h"
#include "store/storerevision.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;
    constexpr int firstServerError = 500;
    constexpr size_t incarnationBytes = 8;
    // Together with the timeout of a store call, this detects a store that has stopped responding within half
    // of the bound on evacuations.
    constexpr Milliseconds storeProbeInterval { 1'000 };
    // After a restore of the store, the instances list each kind of objects within this time.
    constexpr Milliseconds relistTimePerInstance { 4 };
    constexpr Milliseconds maxRelistDelay { 1'000 };
    constexpr Milliseconds stopCheckInterval { 50 };
    // Callers detect the shutdown by readiness checks, which run once per second. Two checks must fail before
    // they use another instance.
    constexpr Milliseconds minStopTime { 2'300 };
    // The maximum number of watches on the fleet's objects that all instances together start per second,
    // however often the objects change. This is an eightieth of what a store allows.
    constexpr int64_t fleetWatchesPerSecond = 25;
    constexpr Milliseconds minFleetWatchInterval { 250 };
    constexpr Milliseconds maxFleetWatchInterval { 1'000 };
    // Delay after which a request may be sent again for which there was no memory.
    constexpr Milliseconds memoryRetryAfter { 500 };
    // Requests that are still open when less than this is left before the process is killed are ended, and
    // their callers get a refusal.
    constexpr Milliseconds stopMargin { 900 };
    // Connections of callers that are still open when less than this is left are cut. The links to other
    // instances are closed after that.
    constexpr Milliseconds connectionCloseMargin { 600 };

    // The revision of the page's newest object. That of the page may be newer, since it counts the changes of
    // all kinds: an instance that knows every object would seem to be behind.
    int64_t lastChangeIn(const StorePage& page)
    {
        int64_t revision = 0;
        for (const StoreObject& object : page.objects)
            revision = std::max(revision, object.revision);
        return revision;
    }

}

Sidecar::Builder& Sidecar::Builder::setSettings(SidecarSettings settings)
{
    settings_ = std::move(settings);
    return *this;
}

Sidecar::Builder& Sidecar::Builder::setProtocol(ProtocolAdapter protocol)
{
    protocol_ = std::move(protocol);
    return *this;
}

std::unique_ptr<Sidecar> Sidecar::Builder::build(asio::io_context& loop) const
{
    return std::unique_ptr<Sidecar>(new Sidecar(loop, settings_, protocol_));
}

Sidecar::Sidecar(asio::io_context& loop, SidecarSettings settings, ProtocolAdapter protocol)
    : loop_(loop)
    , settings_(std::move(settings))
    , protocol_(std::move(protocol))
    , incarnation_(randomHex(incarnationBytes))
    , configuration_(protocol_)
    , zones_(settings_.evacuationTime)
    , transport_(loop, settings_.storeAddress)
    , store_(loop, transport_, protocol_.store)
    , quarantine_({ settings_.name, incarnation_, &counters_,
          [this](const peer::PeerMessage& message) { notifier_->tellService(message); },
          [this] { publishEntry(); } })
    , callerServer_(loop, [this](const auto& exchange) { ingress_->handle(exchange); })
    , reportServer_(loop, [this](const auto& exchange) { serverMonitor_->handle(exchange); })
    , readinessServer_(loop, [this](const auto& exchange) { answerReadiness(exchange); })
    , metricsServer_(loop, [this](const auto& exchange) { answerMetrics(exchange); })
    , stopTimer_(loop)
    , secretTimer_(loop)
    , random_(randomSource())
    , zonesTimer_(loop)
{
    const MemoryLimits limits = memoryLimitsFor(settings_.memoryMb, settings_.descriptors);
    memory_ = std::make_shared<MemoryGuard>(loop, limits.bytes, counters_);
    const auto refuse = [this](const HttpRequest& head) { return refuseForMemory(head); };
    callerServer_.setGuard(memory_, limits.callerConnections, refuse);
    for (HttpServer* server : { &reportServer_, &readinessServer_, &metricsServer_ })
        server->setGuard(memory_, limits.otherConnections, refuse);
    gate_ = std::make_unique<ServerGate>(ServerGateOptions { &loop_, &protocol_, settings_, &counters_,
        &zones_, [this](int key, TimePoint now) { return keys_ && keys_->mayRun(key, now); },
        [this](int key) { return directory_.otherOwner(settings_.service, key, settings_.name); },
        [this](int key, TimePoint now) { keys_->recordRequest(key, now); }, &quarantine_,
        [this](const peer::ForwardedRequest& request, TimePoint now) {
            return rollouts_->refusal(request, now);
        },
        [this](const std::string& route, Duration work, const Reply* reply, bool isWarm) {
            const bool isFailure = reply && (!reply->isAnswer || reply->status >= firstServerError);
            rollouts_->recordRun({ route, work, isFailure, isWarm });
        } });
    serverMonitor_
        = std::make_unique<ServerMonitor>(ServerMonitorOptions { &loop_, &protocol_, settings_, gate_.get(),
            [this](const ServerReport& report, const KeysCallback& done) { requestKeys(report, done); },
            [this] { return keys_ != nullptr; },
            [this](const ServerIncarnation& server) {
                const auto& entry = entryPublisher_->storedEntry();
                return entry && entry->departedServers && hasDeparted(*entry->departedServers, server);
            },
            [this] {
                publishEntry();
                onDirectoryChange();
            } });
    entryPublisher_ = std::make_unique<EntryPublisher>(loop_, store_, directory_, [this] {
        serverMonitor_->onEntryStored();
        if (keys_)
            notifier_->tellPlanners();
        onDirectoryChange();
    });
    PeerNetworkOptions options;
    options.listenAddress = settings_.peerAddress;
    options.counters = &counters_;
    options.loop = &loop_;
    options.maxTotalBacklogBytes = limits.linkBytes;
    options.onFrame = [this](LinkId link, Frame frame) { onFrame(link, std::move(frame)); };
    options.onClosed = [this](LinkId link, bool wasOpen) {
        peerCalls_->onClosed(link, wasOpen);
        peerRequestHandler_->onClosed(link);
        relay_->onClosed(link);
        feedServer_->onClosed(link);
        feedFollower_->onClosed(link);
        departureNotifier_->onClosed(link);
    };
    options.onAccepted = [this](LinkId link) { departureNotifier_->onAccepted(link); };
    network_ = std::make_unique<PeerNetwork>(std::move(options));
    notifier_
        = std::make_unique<ChangeNotifier>(settings_.name, settings_.service, directory_, *network_, random_);
    departureNotifier_
        = std::make_unique<DepartureNotifier>(loop_, *network_, *gate_, settings_.name, incarnation_);
    relay_ = std::make_unique<StoreRelay>(
        loop_, settings_.name, directory_, *network_, transport_, protocol_.store.eraHeader);
    feedServer_ = std::make_unique<ChangeFeedServer>(*network_, settings_.name);
    feedFollower_ = std::make_unique<ChangeFeedFollower>(
        loop_, settings_.name, settings_.zone, directory_, *network_, store_, *feedServer_);
    store_.setEraHandler([this](int64_t era) { onNewEra(era); });
    store_.setRelistDelay([this] {
        const auto instances = static_cast<int64_t>(directory_.instances().size());
        const Milliseconds spread = std::min(relistTimePerInstance * instances, maxRelistDelay);
        return Milliseconds(static_cast<int64_t>(random_() % (static_cast<uint64_t>(spread.count()) + 1)));
    });
    store_.setPageObserver([this](const std::string& kind, const StorePage& page, bool isFullListing) {
        feedServer_->record(kind, page, isFullListing);
    });
    store_.setCurrentHandler([this](TimePoint at) { feedServer_->setCurrentAt(at); });
    transport_.setAnswerHandler([this] { store_.onDirectAnswer(); });
    peerCalls_ = std::make_unique<PeerCalls>(*network_);
    peerRequestHandler_ = std::make_unique<PeerRequestHandler>(*gate_, *network_, memory_);
    teamLimits_ = std::make_unique<TeamLimits>(loop_, settings_.name, directory_, *network_, counters_);
    teamLimits_->setSlack(settings_.rateSlack);
    rollouts_ = makeRolloutManager();
    ingress_ = std::make_unique<Ingress>(
        IngressOptions { &loop_, &protocol_, settings_, &counters_, &directory_, &zones_, gate_.get(),
            peerCalls_.get(), teamLimits_.get(), &peerLoads_, &quarantine_, &rollouts_->view() });
    transport_.setReachabilityHandler([this](bool isReachable) {
        log(LogLevel::Info, isReachable ? "store-regained" : "store-lost", {});
        store_.onReachabilityChanged(isReachable);
    });
}

Sidecar::~Sidecar()
{
    memory_->stop();
}

// Called when there is no room for a request, which has not run.
HttpResponse Sidecar::refuseForMemory(const HttpRequest& head)
{
    counters_.counter("refusals_total", "reason", refusalToken(RefusalReason::MemoryFull))++;
    Reply reply = notRun(RefusalReason::MemoryFull, "there is no memory for the request");
    reply.retryAfter = memoryRetryAfter;
    const auto caller = protocol_.readCaller(head);
    return protocol_.writeReply(reply, caller.ok() ? caller->requestId : std::string());
}

std::unique_ptr<RolloutManager> Sidecar::makeRolloutManager()
{
    return std::make_unique<RolloutManager>(RolloutManagerOptions { &loop_, settings_, incarnation_,
        &protocol_, &counters_, &store_, &directory_, network_.get(), random_,
        [this](const std::string& service) {
            const auto& current = configuration_.current();
            return !current || current->configuration->services.count(service) > 0;
        },
        [this] { return serverMonitor_->version(); },
        [this] {
            const auto server = serverMonitor_->incarnation();
            return server ? server->id : std::string();
        },
        [this] { return gate_->openCalls(); }, [this] { onUsableServersChange(); } });
}

absl::Status Sidecar::start()
{
    store_.setCounters(counters_);
    log(LogLevel::Info, "start",
        { { "incarnation", incarnation_ }, { "zone", settings_.zone }, { "service", settings_.service } });
    for (const auto& [server, address] : { std::pair(&callerServer_, &settings_.callerAddress),
             std::pair(&reportServer_, &settings_.reportAddress),
             std::pair(&readinessServer_, &settings_.readinessAddress),
             std::pair(&metricsServer_, &settings_.metricsAddress) }) {
        if (address->port == 0)
            continue;
        if (absl::Status status = server->listen(*address); !status.ok())
            return status;
    }
    watchStore();
    return absl::OkStatus();
}

void Sidecar::watchStore()
{
    store_.watch(protocol_.configurationKind, [this](const StorePage& page, bool) {
        if (!configuration_.apply(page))
            return;
        notifier_->gossip(protocol_.configurationKind, lastChangeIn(page));
        onConfiguration();
    });
    store_.watch(protocol_.evacuatedZonesKind, [this](const StorePage& page, bool isFullListing) {
        const bool wereKnown = zones_.areKnown();
        const bool haveChanged = zones_.apply(page, isFullListing, BootClock::now());
        releaseHeldZones();
        if (!haveChanged)
            return;
        if (wereKnown)
            notifier_->gossip(protocol_.evacuatedZonesKind, lastChangeIn(page));
        onUsableServersChange();
    });
    if (settings_.canaryShare > 0)
        store_.watch(protocol_.rolloutKind, [this](const StorePage& page, bool isFullListing) {
            if (!isFullListing)
                notifier_->gossip(protocol_.rolloutKind, lastChangeIn(page));
            rollouts_->applyOrders(page, isFullListing);
        });
    store_.watch(
        fleetKind, [this](const StorePage& page, bool isFullListing) { onFleet(page, isFullListing); });
    store_.setWatchInterval(fleetKind, maxFleetWatchInterval);
    store_.probe(protocol_.evacuatedZonesKind, storeProbeInterval);
}

void Sidecar::publishEntry()
{
    if (!network_->isStarted())
        return;
    stored::InstanceEntry entry;
    entry.name = settings_.name;
    entry.incarnation = incarnation_;
    entry.zone = settings_.zone;
    entry.service = settings_.service;
    entry.peerAddress = settings_.peerAddress.text();
    entry.departing = isStopping_;
    if (settings_.cores > 0)
        entry.cores = settings_.cores;
    entry.server = serverMonitor_->entry();
    if (!serverMonitor_->departedServers().empty())
        entry.departedServers = serverMonitor_->departedServers();
    if (auto crashCounts = quarantine_.published(); !crashCounts.empty())
        entry.crashCounts = std::move(crashCounts);
    entryPublisher_->publish(std::move(entry));
}

void Sidecar::onConfiguration()
{
    const VersionedConfiguration& current = *configuration_.current();
    HttpServerLimits limits;
    limits.headerBytes = current.headerBytes;
    limits.bodyBytes = current.bodyBytes;
    limits.headerTimeout = current.headerTimeout;
    limits.idleTimeout = current.idleTimeout;
    callerServer_.setLimits(limits);
    ingress_->setConfiguration(current.configuration);
    gate_->setLatePolicy(current.configuration->isOpen() ? LatePolicy::Serve : LatePolicy::Refuse);
    teamLimits_->setConfiguration(*current.configuration);
    const auto service = current.configuration->services.find(settings_.service);
    if (service == current.configuration->services.end())
        return;
    gate_->setService(service->second);
    if (!service->second.isRangeKeyed || keys_)
        return;
    keys_ = std::make_unique<KeyRangeManager>(KeyRangeManagerOptions { &loop_, settings_, incarnation_,
        &store_, &directory_, [this] { return serverMonitor_->incarnation(); },
        [this] { return serverMonitor_->isReady() && !isStopping_; }, &zones_,
        [this](TimePoint now) { return gate_->busyness(now); }, &peerLoads_, [this] { onDirectoryChange(); },
        [this](const std::string& instance, const StoreObject& object) {
            notifier_->tell(instance, fleetKind, object.revision, { object });
        },
        [this](const std::string& instance) {
            const stored::InstanceEntry* entry = directory_.instance(instance);
            return !entry || rollouts_->view().useOf(instance, *entry) == VersionUse::All;
        } });
    keys_->start();
}

void Sidecar::onNewEra(int64_t era)
{
    if (keys_)
        keys_->onNewEra(era);
    directory_.setEra(era);
}

void Sidecar::releaseHeldZones()
{
    const auto until = zones_.heldUntil();
    if (!until)
        return;
    zonesTimer_.expires_after(*until - BootClock::now());
    zonesTimer_.async_wait([this](std::error_code error) {
        if (error)
            return;
        if (zones_.releaseHeld(BootClock::now()))
            onUsableServersChange();
        releaseHeldZones();
    });
}

void Sidecar::onUsableServersChange()
{
    ingress_->forgetCandidates();
    onDirectoryChange();
}

void Sidecar::onDirectoryChange()
{
    const auto instances = static_cast<int64_t>(directory_.instances().size());
    store_.setWatchInterval(fleetKind,
        std::clamp(Milliseconds(instances * 1'000 / fleetWatchesPerSecond), minFleetWatchInterval,
            maxFleetWatchInterval));
    feedFollower_->onDirectoryChange();
    teamLimits_->onDirectoryChange();
    if (rollouts_->onDirectoryChange())
        ingress_->forgetCandidates();
    if (keys_)
        keys_->onDirectoryChange();
    ingress_->onDirectoryChange();
}

void Sidecar::requestKeys(const ServerReport& report, const KeysCallback& done)
{
    if (!keys_)
        return done(std::nullopt);
    keys_->handleReport(report, done);
}

void Sidecar::answerReadiness(const std::shared_ptr<HttpExchange>& exchange) const
{
    const bool isReady = !isStopping_ && ingress_->hasConfiguration() && directory_.isLoaded()
        && zones_.areKnown() && rollouts_->view().areOrdersKnown();
    HttpResponse response;
    response.status = isReady ? statusOk : statusUnavailable;
    exchange->respond(std::move(response));
}

void Sidecar::answerMetrics(const std::shared_ptr<HttpExchange>& exchange) const
{
    HttpResponse response;
    response.status = statusOk;
    response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    response.body = counters_.exposition();
    exchange->respond(std::move(response));
}

void Sidecar::stop(std::function<void()> done)
{
    if (std::exchange(isStopping_, true))
        return;
    log(LogLevel::Info, "stop", {});
    onStopped_ = std::move(done);
    stopStartedAt_ = BootClock::now();
    callerServer_.drain();
    gate_->setProcessEnd(stopStartedAt_ + settings_.stopTime - stopMargin);
    publishEntry();
    departureNotifier_->announce();
    checkStopped();
}

void Sidecar::checkStopped()
{
    const Duration passed = BootClock::now() - stopStartedAt_;
    const Milliseconds maxStopTime = settings_.stopTime - stopMargin;
    const bool isTimeUp = passed >= maxStopTime;
    if (passed >= minStopTime)
        ingress_->refuseNewRequests(stopStartedAt_ + maxStopTime);
    if (isTimeUp)
        ingress_->abandonAll();
    const bool isIdle = ingress_->isIdle() && gate_->isIdle();
    if (!isFinishing_ && (isTimeUp || (isIdle && passed >= minStopTime))) {
        isFinishing_ = true;
        // A request that started now could no longer make calls of its own.
        gate_->setProcessEnd(BootClock::now());
    }
    if (isFinishing_)
        callerServer_.finish();
    const bool isFinished = isFinishing_ && callerServer_.openConnections() == 0 && ingress_->isIdle();
    if ((isFinished && gate_->isIdle()) || passed >= settings_.stopTime - connectionCloseMargin) {
        log(LogLevel::Info, "stopped",
            { { "isIdle", isFinished && gate_->isIdle() },
                { "callerConnections", callerServer_.openConnections() },
                { "openRequests", ingress_->openRequests() } });
        return departureNotifier_->closeLinks(onStopped_);
    }
    stopTimer_.expires_after(stopCheckInterval);
    stopTimer_.async_wait([this](std::error_code error) {
        if (!error)
            checkStopped();
    });
}

}
