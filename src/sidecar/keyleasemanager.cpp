#include "sidecar/keyleasemanager.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {
namespace {

    // These listings may be stale, which costs the store little.
    constexpr Milliseconds pollInterval { 1'500 };
    // After an outage of the store, running instances renew their leases within about two seconds. Leases of
    // others are not marked as lapsed before this instance has renewed its own lease for this long.
    constexpr Milliseconds recoveryTime { 2'500 };

    // Returns nullopt for an object that is not a valid lease, for instance after another program wrote it.
    std::optional<stored::KeyLease> readLease(const StoreObject& object)
    {
        try {
            return object.value.get<stored::KeyLease>();
        } catch (const std::exception& error) {
            log(LogLevel::Warning, "object-unreadable",
                { { "kind", leaseKind }, { "name", object.name }, { "cause", error.what() } });
            return std::nullopt;
        }
    }

}

KeyLeaseManager::KeyLeaseManager(KeyLeaseManagerOptions options)
    : options_(std::move(options))
    , own_(options_.instance, options_.incarnation, KeyLeaseTiming())
    , others_(KeyLeaseTiming())
{
}

void KeyLeaseManager::setEra(int64_t era)
{
    own_.setEra(era);
    others_.setEra(era);
    renewingSince_.reset();
}

void KeyLeaseManager::step(TimePoint now)
{
    renew(now);
    poll(now);
    markExpired(now);
}

TimePoint KeyLeaseManager::grantableUntil() const
{
    return own_.needsConfirmation() ? TimePoint() : own_.end();
}

void KeyLeaseManager::renew(TimePoint now)
{
    const auto renewal = own_.dueRenewal(now);
    if (!renewal)
        return;
    options_.store->write(
        { leaseKind, options_.instance, nlohmann::json(renewal->lease), renewal->expectedRevision },
        [this](const StoreWriteResult& result) { onWritten(result); });
}

void KeyLeaseManager::onWritten(const StoreWriteResult& result)
{
    if (result.outcome == WriteOutcome::Applied && result.object) {
        own_.renewed(result.object->revision);
        if (!renewingSince_)
            renewingSince_ = BootClock::now();
        observe(*result.object);
        if (own_.needsConfirmation())
            options_.onAcquired();
        return;
    }
    if (result.outcome != WriteOutcome::Conflict) {
        log(LogLevel::Info, "lease-not-renewed", { { "cause", result.detail } });
        renewingSince_.reset();
        return own_.failed();
    }
    const auto found = result.object ? readLease(*result.object) : std::nullopt;
    const bool wasLost = own_.conflicted(found, result.object ? result.object->revision : 0);
    if (wasLost)
        log(LogLevel::Info, "lease-taken-anew",
            { { "found", result.object ? result.object->value : nlohmann::json() } });
    renew(BootClock::now());
}

void KeyLeaseManager::poll(TimePoint now)
{
    if (now < nextPoll_)
        return;
    nextPoll_ = now + pollInterval;
    list(true);
}

void KeyLeaseManager::list(bool mayBeStale)
{
    if (std::exchange(isListing_, true))
        return;
    options_.store->list(leaseKind, mayBeStale, [this, mayBeStale](const absl::StatusOr<StorePage>& page) {
        isListing_ = false;
        if (!page.ok())
            return;
        for (const StoreObject& object : page->objects)
            observe(object);
        if (!mayBeStale)
            listedRevision_ = page->revision;
        options_.onChange();
    });
}

void KeyLeaseManager::observe(const StoreObject& object)
{
    const TimePoint now = BootClock::now();
    if (const auto lease = readLease(object)) {
        others_.observe(*lease, object.revision, now);
        if (lease->instance == options_.instance)
            own_.observe(*lease, object.revision);
    } else {
        others_.observeUnreadable(object.name, object.revision, now);
    }
}

void KeyLeaseManager::markExpired(TimePoint now)
{
    if (now >= grantableUntil() || !renewingSince_ || now - *renewingSince_ < recoveryTime)
        return;
    for (const KeyLeaseMonitor::Expired& expired : others_.expired(now)) {
        const std::string instance = expired.lease.instance;
        if (instance == options_.instance || !beingMarked_.insert(instance).second)
            continue;
        log(LogLevel::Info, "lease-lapsed",
            { { "of", instance }, { "sequence", expired.lease.sequence },
                { "revision", expired.expectedRevision } });
        options_.store->write(
            { leaseKind, instance, nlohmann::json(expired.lease), expired.expectedRevision },
            [this, instance](const StoreWriteResult& result) {
                beingMarked_.erase(instance);
                if (!result.object)
                    return;
                observe(*result.object);
                options_.onChange();
            });
    }
}

}
