#include "daemon/control.h"

#include "base/hashing.h"
#include "base/random.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr size_t ringCapacity = 16'384;
    constexpr Milliseconds tick { 20 };
    constexpr Milliseconds seedInterval { 500 };
    constexpr Milliseconds watchCheckInterval { 100 };
    constexpr int mostEventsPerStep = 256;
    constexpr size_t incarnationBytes = 8;

}

Control::Control(ControlOptions options)
    : options_(std::move(options))
    , ring_(ringCapacity)
    , store_({ options_.settings.platform, [this](const std::function<void()>& function) { post(function); },
          [this](
              int64_t after, const ObjectListing& news) { handleNews(after, news.revision, news.objects); },
          [this] { return knownRevision_.load(); }, [this] { return shouldWatch_.load(); } })
    , gossip_(context_, randomSource())
    , sharedView_(std::make_shared<FleetView>())
{
    context_.settings = options_.settings;
    context_.self.name = options_.settings.name;
    context_.authority = options_.authority;
    context_.counters = options_.counters;
    context_.timeline = options_.timeline;
    context_.store = &store_;
    context_.isServerUp = options_.isServerUp;
    context_.isServerDraining = options_.isServerDraining;
    context_.send = [this](const InstanceId& to, const peer::PeerMessage& message) { sendTo(to, message); };
    context_.noteWritten = [this](const std::string& name, const std::string& value, int64_t version) {
        noteWritten(name, value, version);
    };
}

Control::~Control()
{
    stop();
}

void Control::start()
{
    store_.start();
    thread_ = std::thread([this] { run(); });
}

void Control::stop()
{
    store_.stop();
    ring_.close();
    if (thread_.joinable())
        thread_.join();
}

bool Control::depart(Milliseconds patience)
{
    isStopping_ = true;
    const TimePoint end = BootClock::now() + patience;
    while (!hasDeparted_ && BootClock::now() < end)
        std::this_thread::sleep_for(tick);
    return hasDeparted_;
}

void Control::post(const std::function<void()>& function)
{
    // The end of a write must not be lost: a duty waits for it.
    while (!ring_.tryPush(function) && !ring_.isClosed())
        std::this_thread::sleep_for(tick);
}

void Control::onMessage(LinkId link, peer::PeerMessage message)
{
    if (!ring_.tryPush([this, link, message = std::move(message)] { handle(link, message); }))
        options_.counters->counter("control_messages_dropped_total")++;
}

std::shared_ptr<const FleetView> Control::view() const
{
    std::lock_guard lock(sharedMutex_);
    return sharedView_;
}

InstanceId Control::self() const
{
    std::lock_guard lock(sharedMutex_);
    return sharedSelf_;
}

void Control::run()
{
    beginIncarnation();
    while (!ring_.isClosed()) {
        auto event = ring_.pop(tick);
        for (int count = 0; event; ++count) {
            (*event)();
            event = count < mostEventsPerStep ? ring_.pop(Duration::zero()) : std::nullopt;
        }
        step(BootClock::now());
    }
}

void Control::beginIncarnation()
{
    coordination_.reset();
    lease_.reset();
    context_.self.incarnation = randomHex(incarnationBytes);
    lease_ = std::make_unique<LeaseDuty>(context_);
    coordination_ = std::make_unique<CoordinationDuty>(context_);
    coordination_->followView();
    std::lock_guard lock(sharedMutex_);
    sharedSelf_ = context_.self;
}

void Control::step(TimePoint now)
{
    context_.isStopping = isStopping_;
    if (isViewDirty_)
        refreshView();
    lease_->step(now);
    if (lease_->isOver() && !hasDeparted_) {
        beginIncarnation();
        return;
    }
    coordination_->reportSuspects(lease_->suspects(now), now);
    coordination_->step(now);
    gossip_.step(now);
    askSeeds(now);
    updateSharedState(now);
}

void Control::updateSharedState(TimePoint now)
{
    knownRevision_ = context_.mirror.revision();
    if (now >= nextWatchCheck_) {
        nextWatchCheck_ = now + watchCheckInterval;
        shouldWatch_ = gossip_.shouldWatch(now);
    }
    if (!context_.isStopping || hasDeparted_ || !coordination_->ownsNothing())
        return;
    context_.timeline->record("departed", { { "incarnation", context_.self.incarnation } });
    hasDeparted_ = true;
    lease_->resign();
}

// Without the store, the settings' seeds are the way into the fleet's knowledge.
void Control::askSeeds(TimePoint now)
{
    if (context_.mirror.revision() > 0 || now < nextSeedRound_)
        return;
    nextSeedRound_ = now + seedInterval;
    for (const std::string& seed : options_.settings.seeds)
        reply(options_.network->linkTo(seed), gossip_.digest());
}

void Control::handle(LinkId link, const peer::PeerMessage& message)
{
    const TimePoint now = BootClock::now();
    if (message.clock)
        options_.timeline->observe({ Milliseconds(message.clock->wallMs), message.clock->logical });
    if (message.digest) {
        if (const auto answer = gossip_.onDigest(*message.digest, now))
            reply(link, *answer);
    } else if (message.delta) {
        gossip_.noteHeard(now);
        handleNews(message.delta->after, message.delta->revision, message.delta->objects);
    } else {
        handleLeaseMessage(link, message, now);
    }
}

void Control::handleLeaseMessage(LinkId link, const peer::PeerMessage& message, TimePoint now)
{
    peer::PeerMessage answer;
    if (message.renewal) {
        answer.renewalAck = lease_->onRenewal(*message.renewal, now);
        if (answer.renewalAck)
            reply(link, answer);
    } else if (message.renewalAck) {
        lease_->onRenewalAck(*message.renewalAck, now);
    } else if (message.promiseRequest) {
        answer.promise = lease_->onPromiseRequest(*message.promiseRequest, now);
        reply(link, answer);
    } else if (message.promise) {
        coordination_->onPromise(*message.promise, now);
    } else if (message.suspicion) {
        coordination_->onSuspicion(*message.suspicion, now);
    }
}

void Control::handleNews(int64_t after, int64_t revision, const std::vector<peer::StoredObject>& objects)
{
    if (!context_.mirror.apply(after, revision, objects))
        return;
    knownRevision_ = context_.mirror.revision();
    isViewDirty_ = true;
    gossip_.noteNews();
}

void Control::noteWritten(const std::string& name, const std::string& value, int64_t version)
{
    peer::StoredObject object;
    object.name = name;
    object.value = value;
    object.version = version;
    object.deleted = false;
    if (!context_.mirror.update(object))
        return;
    isViewDirty_ = true;
    // Those concerned are told at once, the others hear of it by gossip.
    peer::PeerMessage message;
    message.delta = peer::Delta {};
    message.delta->after = version;
    message.delta->revision = 0;
    message.delta->sender = toMessage(context_.self);
    message.delta->objects.push_back(object);
    for (const auto& [nodeName, node] : context_.view->nodes) {
        const InstanceId id = instanceId(node->entry);
        const bool isConcerned = value.find(id.incarnation) != std::string::npos;
        if (isConcerned && id != context_.self && node->entry.state == stored::State::Joined)
            sendTo(id, message);
    }
}

void Control::refreshView()
{
    isViewDirty_ = false;
    context_.view = viewBuilder_.build(context_.mirror);
    coordination_->followView();
    if (context_.view->configVersion != configVersion_) {
        configVersion_ = context_.view->configVersion;
        context_.timeline->record("configuration-in-force", { { "version", configVersion_ } });
    }
    {
        std::lock_guard lock(sharedMutex_);
        sharedView_ = context_.view;
    }
    options_.onView(context_.view);
}

void Control::sendTo(const InstanceId& to, const peer::PeerMessage& message) const
{
    const KnownNode* known = context_.view->node(to);
    if (known)
        reply(options_.network->linkTo(known->entry.peerAddress), message);
}

void Control::reply(LinkId link, peer::PeerMessage message) const
{
    const HybridTime now = options_.timeline->now();
    message.clock = peer::HybridClock { now.logical, now.wall.count() };
    options_.network->send(link, { std::move(message), {} });
}

}
