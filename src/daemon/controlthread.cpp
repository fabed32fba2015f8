#include "daemon/controlthread.h"

#include "base/hashing.h"
#include "base/random.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr size_t eventCapacity = 16'384;
    constexpr Milliseconds tick { 20 };
    constexpr Milliseconds seedInterval { 500 };
    constexpr Milliseconds watchCheckInterval { 100 };
    constexpr int maxEventsPerStep = 256;
    constexpr size_t incarnationBytes = 8;

}

ControlThread::ControlThread(ControlThreadOptions options)
    : options_(std::move(options))
    , events_(eventCapacity)
    , store_({ options_.settings.platform, [this](const std::function<void()>& function) { post(function); },
          [this](int64_t after, const ObjectListing& changes) {
              applyChanges(after, changes.revision, changes.objects);
          },
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
    context_.onWritten = [this](const std::string& name, const std::string& value, int64_t version) {
        onWritten(name, value, version);
    };
}

ControlThread::~ControlThread()
{
    stop();
}

void ControlThread::start()
{
    store_.start();
    thread_ = std::thread([this] { run(); });
}

void ControlThread::stop()
{
    store_.stop();
    events_.close();
    if (thread_.joinable())
        thread_.join();
}

bool ControlThread::depart(Milliseconds timeout)
{
    isStopping_ = true;
    const TimePoint end = BootClock::now() + timeout;
    while (!hasDeparted_ && BootClock::now() < end)
        std::this_thread::sleep_for(tick);
    return hasDeparted_;
}

void ControlThread::post(const std::function<void()>& function)
{
    // The result of a write must not be lost, because the lease or ownership manager waits for it.
    while (!events_.tryPush(function) && !events_.isClosed())
        std::this_thread::sleep_for(tick);
}

void ControlThread::onMessage(LinkId link, peer::PeerMessage message)
{
    if (!events_.tryPush([this, link, message = std::move(message)] { handle(link, message); }))
        options_.counters->counter("control_messages_dropped_total")++;
}

std::shared_ptr<const FleetView> ControlThread::view() const
{
    std::lock_guard lock(sharedMutex_);
    return sharedView_;
}

InstanceId ControlThread::self() const
{
    std::lock_guard lock(sharedMutex_);
    return sharedSelf_;
}

void ControlThread::run()
{
    beginIncarnation();
    while (!events_.isClosed()) {
        auto event = events_.pop(tick);
        for (int count = 0; event; ++count) {
            (*event)();
            event = count < maxEventsPerStep ? events_.pop(Duration::zero()) : std::nullopt;
        }
        step(BootClock::now());
    }
}

void ControlThread::beginIncarnation()
{
    ownership_.reset();
    lease_.reset();
    context_.self.incarnation = randomHex(incarnationBytes);
    lease_ = std::make_unique<LeaseManager>(context_);
    ownership_ = std::make_unique<OwnershipManager>(context_);
    ownership_->onViewChange();
    std::lock_guard lock(sharedMutex_);
    sharedSelf_ = context_.self;
}

void ControlThread::step(TimePoint now)
{
    context_.isStopping = isStopping_;
    if (isViewDirty_)
        refreshView();
    lease_->step(now);
    if (lease_->isOver() && !hasDeparted_) {
        beginIncarnation();
        return;
    }
    ownership_->reportSuspects(lease_->suspects(now), now);
    ownership_->step(now);
    gossip_.step(now);
    contactSeeds(now);
    updateSharedState(now);
}

void ControlThread::updateSharedState(TimePoint now)
{
    knownRevision_ = context_.mirror.revision();
    if (now >= nextWatchCheck_) {
        nextWatchCheck_ = now + watchCheckInterval;
        shouldWatch_ = gossip_.shouldWatch(now);
    }
    if (!context_.isStopping || hasDeparted_ || !ownership_->ownsNothing())
        return;
    context_.timeline->record("departed", { { "incarnation", context_.self.incarnation } });
    hasDeparted_ = true;
    lease_->resign();
}

// Asks the seeds from the settings for the fleet's state while nothing is known from the store yet.
void ControlThread::contactSeeds(TimePoint now)
{
    if (context_.mirror.revision() > 0 || now < nextSeedRound_)
        return;
    nextSeedRound_ = now + seedInterval;
    for (const std::string& seed : options_.settings.seeds)
        sendOnLink(options_.network->linkTo(seed), gossip_.digest());
}

void ControlThread::handle(LinkId link, const peer::PeerMessage& message)
{
    const TimePoint now = BootClock::now();
    if (message.clock)
        options_.timeline->observe({ Milliseconds(message.clock->wallMs), message.clock->logical });
    if (message.digest) {
        if (const auto answer = gossip_.onDigest(*message.digest, now))
            sendOnLink(link, *answer);
    } else if (message.delta) {
        gossip_.recordContact(now);
        applyChanges(message.delta->after, message.delta->revision, message.delta->objects);
    } else {
        handleLeaseMessage(link, message, now);
    }
}

void ControlThread::handleLeaseMessage(LinkId link, const peer::PeerMessage& message, TimePoint now)
{
    peer::PeerMessage answer;
    if (message.renewal) {
        answer.renewalAck = lease_->onRenewal(*message.renewal, now);
        if (answer.renewalAck)
            sendOnLink(link, answer);
    } else if (message.renewalAck) {
        lease_->onRenewalAck(*message.renewalAck, now);
    } else if (message.promiseRequest) {
        answer.promise = lease_->onPromiseRequest(*message.promiseRequest, now);
        sendOnLink(link, answer);
    } else if (message.promise) {
        ownership_->onPromise(*message.promise, now);
    } else if (message.suspicion) {
        ownership_->onSuspicion(*message.suspicion, now);
    }
}

void ControlThread::applyChanges(
    int64_t after, int64_t revision, const std::vector<peer::StoredObject>& objects)
{
    if (!context_.mirror.apply(after, revision, objects))
        return;
    knownRevision_ = context_.mirror.revision();
    isViewDirty_ = true;
    gossip_.recordChanges();
}

void ControlThread::onWritten(const std::string& name, const std::string& value, int64_t version)
{
    peer::StoredObject object;
    object.name = name;
    object.value = value;
    object.version = version;
    object.deleted = false;
    if (!context_.mirror.update(object))
        return;
    isViewDirty_ = true;
    // Instances that the object names are notified immediately; the others learn of it by gossip.
    peer::PeerMessage message;
    message.delta = peer::Delta {};
    message.delta->after = version;
    message.delta->revision = 0;
    message.delta->sender = toMessage(context_.self);
    message.delta->objects.push_back(object);
    for (const auto& [nodeName, node] : context_.view->nodes) {
        const InstanceId id = instanceId(node->entry);
        const bool isAffected = value.find(id.incarnation) != std::string::npos;
        if (isAffected && id != context_.self && node->entry.state == stored::State::Joined)
            sendTo(id, message);
    }
}

void ControlThread::refreshView()
{
    isViewDirty_ = false;
    context_.view = viewBuilder_.build(context_.mirror);
    ownership_->onViewChange();
    if (context_.view->configVersion != configVersion_) {
        configVersion_ = context_.view->configVersion;
        context_.timeline->record("configuration-in-force", { { "version", configVersion_ } });
    }
    {
        std::lock_guard lock(sharedMutex_);
        sharedView_ = context_.view;
    }
    options_.onViewChange(context_.view);
}

void ControlThread::sendTo(const InstanceId& to, const peer::PeerMessage& message) const
{
    const KnownNode* known = context_.view->node(to);
    if (known)
        sendOnLink(options_.network->linkTo(known->entry.peerAddress), message);
}

void ControlThread::sendOnLink(LinkId link, peer::PeerMessage message) const
{
    const HybridTime now = options_.timeline->now();
    message.clock = peer::HybridClock { now.logical, now.wall.count() };
    options_.network->send(link, { std::move(message), {} });
}

}
