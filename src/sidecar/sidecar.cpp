#include "sidecar/sidecar.h"

#include "base/hashing.h"
#include "base/logger.h"
#include "base/random.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;
    constexpr size_t incarnationBytes = 8;
    constexpr size_t secretBytes = 16;
    constexpr const char* secretObject = "secret";
    constexpr const char* secretMember = "secret";
    constexpr Milliseconds secretPause { 300 };
    // With the time that a call may take, a store that has gone silent is noticed within half of the bound on
    // evacuations.
    constexpr Milliseconds storeProbeInterval { 1'000 };
    constexpr Milliseconds stopCheckInterval { 50 };
    // Callers learn from readiness checks, one a second, that they are to go elsewhere: two must fail.
    constexpr Milliseconds leastStopTime { 2'300 };
    // Watches of the fleet's objects that all instances together begin in a second, however often they
    // change: an eightieth of what a store allows.
    constexpr int64_t fleetWatchesPerSecond = 25;
    constexpr Milliseconds longestFleetWatchInterval { 2'000 };
    // The first instance by name plans; the next one does where the first has just gone.
    constexpr int likelyPlanners = 2;
    // Others that an instance tells of a change of the operator's: if all do, hardly one is left out.
    constexpr int instancesTold = 3;
    // What is still open so long before the process is ended by force is given up, and its callers are told.
    constexpr Milliseconds stopMargin { 900 };
    // Callers' connections that are still open then are cut; the farewell to other instances comes last.
    constexpr Milliseconds endMargin { 600 };

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
    , callers_(loop, [this](const auto& exchange) { ingress_->handle(exchange); })
    , reports_(loop, [this](const auto& exchange) { server_->handle(exchange); })
    , readiness_(loop, [this](const auto& exchange) { answerReadiness(exchange); })
    , metrics_(loop, [this](const auto& exchange) { answerMetrics(exchange); })
    , stopTimer_(loop)
    , secretTimer_(loop)
    , random_(randomSource())
{
    gate_ = std::make_unique<ServerGate>(ServerGateOptions { &loop_, &protocol_, settings_, &counters_,
        &zones_, [this](int key, TimePoint now) { return keys_ && keys_->mayRun(key, now); },
        [this](int key) { return directory_.otherOwner(settings_.service, key, settings_.name); },
        [this](int key, TimePoint now) { keys_->recordRequest(key, now); } });
    server_
        = std::make_unique<ServerMonitor>(ServerMonitorOptions { &loop_, &protocol_, settings_, gate_.get(),
            [this](const ServerReport& report, const KeysCallback& done) { answerKeys(report, done); },
            [this] {
                publishEntry();
                onDirectoryChange();
            } });
    entry_ = std::make_unique<EntryPublisher>(loop_, store_, directory_, [this] {
        notifyPlanners();
        onDirectoryChange();
    });
    PeerNetworkOptions options;
    options.listenAddress = settings_.peerAddress;
    options.counters = &counters_;
    options.loop = &loop_;
    options.onFrame = [this](LinkId link, Frame frame) { onFrame(link, std::move(frame)); };
    options.onClosed = [this](LinkId link, bool wasOpen) {
        peers_->onClosed(link, wasOpen);
        peerGate_->onClosed(link);
        relay_->onClosed(link);
        farewell_->onClosed(link);
    };
    options.onAccepted = [this](LinkId link) { farewell_->onAccepted(link); };
    network_ = std::make_unique<PeerNetwork>(std::move(options));
    farewell_ = std::make_unique<Farewell>(loop_, *network_, *gate_, settings_.name, incarnation_);
    relay_ = std::make_unique<StoreRelay>(loop_, settings_.name, directory_, *network_, transport_);
    peers_ = std::make_unique<PeerCalls>(*network_);
    peerGate_ = std::make_unique<PeerGate>(*gate_, *network_);
    limits_ = std::make_unique<TeamLimits>(loop_, settings_.name, directory_, *network_, counters_);
    limits_->setSlack(settings_.rateSlack);
    ingress_ = std::make_unique<Ingress>(IngressOptions { &loop_, &protocol_, settings_, &counters_,
        &directory_, &zones_, gate_.get(), peers_.get(), limits_.get(), &loads_ });
    transport_.setReachableHandler([this](bool isReachable) {
        log(LogLevel::Info, isReachable ? "store-regained" : "store-lost", {});
        store_.onReachable(isReachable);
    });
}

Sidecar::~Sidecar() = default;

absl::Status Sidecar::start()
{
    log(LogLevel::Info, "start",
        { { "incarnation", incarnation_ }, { "zone", settings_.zone }, { "service", settings_.service } });
    for (const auto& [server, address] :
        { std::pair(&callers_, &settings_.callerAddress), std::pair(&reports_, &settings_.reportAddress),
            std::pair(&readiness_, &settings_.readinessAddress),
            std::pair(&metrics_, &settings_.metricsAddress) }) {
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
        tellOfChange(protocol_.configurationKind, page.revision);
        onConfiguration();
    });
    store_.watch(protocol_.evacuatedZonesKind, [this](const StorePage& page, bool isWhole) {
        const bool wereKnown = zones_.areKnown();
        if (!zones_.apply(page, isWhole, BootClock::now()))
            return;
        if (wereKnown)
            tellOfChange(protocol_.evacuatedZonesKind, page.revision);
        onZones();
    });
    store_.watch(fleetKind, [this](const StorePage& page, bool isWhole) { onFleet(page, isWhole); });
    store_.probe(protocol_.evacuatedZonesKind, storeProbeInterval);
}

void Sidecar::onFleet(const StorePage& page, bool isWhole)
{
    directory_.apply(page, isWhole);
    for (const StoreObject& object : page.objects) {
        if (object.name == secretObject && object.value.is_object())
            startNetwork(object.value.value(secretMember, std::string()));
    }
    if (!isJoining_)
        joinFleet();
    onDirectoryChange();
}

// The secret of the links is made by whoever comes first.
void Sidecar::joinFleet()
{
    if (std::exchange(isJoining_, true))
        return;
    const nlohmann::json value { { secretMember, randomHex(secretBytes) } };
    store_.write({ fleetKind, secretObject, value, 0 }, [this](const StoreWriteResult& result) {
        if (result.object && result.object->value.is_object())
            return startNetwork(result.object->value.value(secretMember, std::string()));
        log(LogLevel::Info, "fleet-secret-not-written", { { "cause", result.detail } });
        secretTimer_.expires_after(secretPause);
        secretTimer_.async_wait([this](std::error_code error) {
            isJoining_ = false;
            if (!error)
                joinFleet();
        });
    });
}

void Sidecar::startNetwork(const std::string& secret)
{
    isJoining_ = true;
    if (secret.empty() || network_->isStarted())
        return;
    const absl::Status status = network_->start(secret);
    if (!status.ok())
        log(LogLevel::Error, "peer-address-refused", { { "cause", std::string(status.message()) } });
    transport_.setRelay(
        [this](const HttpRequest& request, Duration timeout, const StoreTransport::Done& done) {
            return relay_->call(request, timeout, done);
        });
    publishEntry();
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
    entry.server = server_->entry();
    entry_->publish(std::move(entry));
}

void Sidecar::onConfiguration()
{
    const VersionedConfiguration& current = *configuration_.current();
    HttpServerLimits limits;
    limits.headerBytes = current.headerBytes;
    limits.bodyBytes = current.bodyBytes;
    limits.headerTimeout = current.headerTimeout;
    limits.idleTimeout = current.idleTimeout;
    callers_.setLimits(limits);
    ingress_->setConfiguration(current.configuration);
    limits_->setConfiguration(*current.configuration);
    const auto service = current.configuration->services.find(settings_.service);
    if (service == current.configuration->services.end())
        return;
    gate_->setColdRate(service->second.coldRate);
    if (!service->second.isRangeKeyed || keys_)
        return;
    keys_ = std::make_unique<KeyRangeManager>(KeyRangeManagerOptions { &loop_, settings_, incarnation_,
        &store_, &directory_, [this] { return server_->life(); },
        [this] { return server_->isReady() && !isStopping_; }, &zones_,
        [this](TimePoint now) { return gate_->busyness(now); }, &loads_, [this] { onDirectoryChange(); },
        [this](const std::string& instance, int64_t revision) {
            notifyOfChange(instance, fleetKind, revision);
        } });
    keys_->start();
}

void Sidecar::onZones()
{
    ingress_->onZonesChange();
    onDirectoryChange();
}

// Tells an instance that objects of the kind have changed in a way that concerns it.
void Sidecar::notifyOfChange(const std::string& instance, const std::string& kind, int64_t revision)
{
    const stored::InstanceEntry* entry = directory_.instance(instance);
    if (!entry || instance == settings_.name)
        return;
    peer::PeerMessage message;
    message.storeChange = peer::StoreChange { kind, revision };
    if (const LinkId link = network_->linkTo(entry->peerAddress))
        network_->send(link, { message, {} });
}

// Each instance that has learned of a change of the operator's tells some others, so that one whose own watch
// has gone silent learns of it as well.
void Sidecar::tellOfChange(const std::string& kind, int64_t revision)
{
    std::vector<std::string> others;
    for (const auto& [name, entry] : directory_.instances()) {
        if (name != settings_.name && !entry.value.departing)
            others.push_back(name);
    }
    for (int told = 0; told < instancesTold && !others.empty(); ++told) {
        std::swap(others[random_() % others.size()], others.back());
        notifyOfChange(others.back(), kind, revision);
        others.pop_back();
    }
}

// A server beside this instance has come or leaves: who plans the key table has to act on it.
void Sidecar::notifyPlanners()
{
    const auto own = directory_.instances().find(settings_.name);
    if (!keys_ || own == directory_.instances().end())
        return;
    int notified = 0;
    for (const auto& [name, entry] : directory_.instances()) {
        if (entry.value.service != settings_.service || name == settings_.name)
            continue;
        notifyOfChange(name, fleetKind, own->second.revision);
        if (++notified == likelyPlanners)
            return;
    }
}

void Sidecar::onDirectoryChange()
{
    const auto instances = static_cast<int64_t>(directory_.instances().size());
    store_.setWatchInterval(fleetKind,
        std::min(longestFleetWatchInterval, Milliseconds(instances * 1'000 / fleetWatchesPerSecond)));
    limits_->onDirectoryChange();
    if (keys_)
        keys_->onDirectoryChange();
    ingress_->onDirectoryChange();
}

void Sidecar::answerKeys(const ServerReport& report, const KeysCallback& done)
{
    if (!keys_)
        return done(std::nullopt);
    keys_->handleReport(report, done);
}

void Sidecar::onFrame(LinkId link, Frame frame)
{
    peer::PeerMessage& message = frame.message;
    if (message.forwardedRequest)
        peerGate_->onRequest(link, *std::move(message.forwardedRequest), std::move(frame.body));
    else if (message.forwardedAnswer)
        peers_->onAnswer(link, *message.forwardedAnswer, std::move(frame.body));
    else if (message.refusal)
        peers_->onRefusal(link, *message.refusal);
    else if (message.cancel)
        peerGate_->onCancel(link, *message.cancel);
    else if (message.storeCall)
        relay_->onCall(link, *message.storeCall);
    else if (message.storeAnswer)
        relay_->onAnswer(link, *message.storeAnswer);
    else if (message.shareRequest)
        limits_->onShareRequest(link, *message.shareRequest);
    else if (message.shareGrant)
        limits_->onShareGrant(*message.shareGrant);
    else if (message.storeChange)
        store_.hurryWatch(message.storeChange->kind, message.storeChange->revision);
    else if (message.departure)
        onDeparture(link, *message.departure);
    else if (message.departureAck)
        farewell_->onAck(link);
    else
        log(LogLevel::Warning, "frame-unexpected", { { "link", link } });
}

void Sidecar::onDeparture(LinkId link, const peer::Departure& departure)
{
    if (departure.last) {
        peer::PeerMessage message;
        message.departureAck = peer::DepartureAck { departure.instance };
        network_->send(link, { message, {} });
        network_->retire(link);
    }
    if (!directory_.recordDeparture(departure.instance, departure.incarnation))
        return;
    log(LogLevel::Info, "instance-departs", { { "instance", departure.instance } });
    onDirectoryChange();
}

void Sidecar::answerReadiness(const std::shared_ptr<HttpExchange>& exchange) const
{
    const bool isReady
        = !isStopping_ && ingress_->hasConfiguration() && directory_.isLoaded() && zones_.areKnown();
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
    stopBegan_ = BootClock::now();
    callers_.drain();
    gate_->stopBy(stopBegan_ + settings_.stopTime - stopMargin);
    publishEntry();
    farewell_->announce();
    checkStopped();
}

void Sidecar::checkStopped()
{
    const Duration passed = BootClock::now() - stopBegan_;
    const Milliseconds mostTime = settings_.stopTime - stopMargin;
    const bool isTimeUp = passed >= mostTime;
    if (passed >= leastStopTime)
        ingress_->refuseNew(stopBegan_ + mostTime);
    if (isTimeUp)
        ingress_->giveUp();
    const bool isIdle = ingress_->isIdle() && gate_->isIdle();
    if (!isFinishing_ && (isTimeUp || (isIdle && passed >= leastStopTime))) {
        isFinishing_ = true;
        // What began now could make no calls any more.
        gate_->stopBy(BootClock::now());
    }
    if (isFinishing_)
        callers_.finish();
    const bool isFinished = isFinishing_ && callers_.openConnections() == 0 && ingress_->isIdle();
    if ((isFinished && gate_->isIdle()) || passed >= settings_.stopTime - endMargin) {
        log(LogLevel::Info, "stopped",
            { { "isIdle", isFinished && gate_->isIdle() },
                { "callerConnections", callers_.openConnections() },
                { "openRequests", ingress_->openRequests() } });
        return farewell_->begin(onStopped_);
    }
    stopTimer_.expires_after(stopCheckInterval);
    stopTimer_.async_wait([this](std::error_code error) {
        if (!error)
            checkStopped();
    });
}

}
