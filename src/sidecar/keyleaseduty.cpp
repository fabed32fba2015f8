#include "sidecar/keyleaseduty.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {
namespace {

    // Listings that may be stale cost the store little.
    constexpr Milliseconds pollInterval { 1'500 };
    // Instances that live are back within about two seconds of the store's return; leases are not ended
    // earlier.
    constexpr Milliseconds returnTime { 2'500 };

    // Nothing when another writer has spoiled the object.
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

KeyLeaseDuty::KeyLeaseDuty(KeyLeaseDutyOptions options)
    : options_(std::move(options))
    , own_(options_.instance, options_.incarnation, KeyLeaseTiming())
    , others_(KeyLeaseTiming())
{
}

void KeyLeaseDuty::step(TimePoint now)
{
    renew(now);
    poll(now);
    lapse(now);
}

TimePoint KeyLeaseDuty::grantableUntil() const
{
    return own_.needsConfirmation() ? TimePoint() : own_.end();
}

void KeyLeaseDuty::renew(TimePoint now)
{
    const auto renewal = own_.dueRenewal(now);
    if (!renewal)
        return;
    options_.store->write(
        { leaseKind, options_.instance, nlohmann::json(renewal->lease), renewal->expectedRevision },
        [this](const StoreWriteResult& result) { written(result); });
}

void KeyLeaseDuty::written(const StoreWriteResult& result)
{
    if (result.outcome == WriteOutcome::Applied && result.object) {
        own_.renewed(result.object->revision);
        if (!renewingSince_)
            renewingSince_ = BootClock::now();
        observe(*result.object);
        if (own_.needsConfirmation())
            options_.onTakenAnew();
        return;
    }
    if (result.outcome != WriteOutcome::Conflict) {
        log(LogLevel::Info, "lease-not-renewed", { { "cause", result.detail } });
        renewingSince_.reset();
        return own_.failed();
    }
    const auto found = result.object ? readLease(*result.object) : std::nullopt;
    const bool isLost = own_.conflicted(found, result.object ? result.object->revision : 0);
    if (isLost)
        log(LogLevel::Info, "lease-taken-anew",
            { { "found", result.object ? result.object->value : nlohmann::json() } });
    renew(BootClock::now());
}

void KeyLeaseDuty::poll(TimePoint now)
{
    if (now < nextPoll_)
        return;
    nextPoll_ = now + pollInterval;
    list(true);
}

void KeyLeaseDuty::list(bool mayBeStale)
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

void KeyLeaseDuty::observe(const StoreObject& object)
{
    const TimePoint now = BootClock::now();
    if (const auto lease = readLease(object))
        others_.observe(*lease, object.revision, now);
    else
        others_.observeUnreadable(object.name, object.revision, now);
}

void KeyLeaseDuty::lapse(TimePoint now)
{
    if (now >= grantableUntil() || !renewingSince_ || now - *renewingSince_ < returnTime)
        return;
    for (const KeyLeaseMonitor::Expired& expired : others_.expired(now)) {
        const std::string instance = expired.lease.instance;
        if (instance == options_.instance || !lapsing_.insert(instance).second)
            continue;
        log(LogLevel::Info, "lease-lapsed",
            { { "of", instance }, { "sequence", expired.lease.sequence },
                { "revision", expired.expectedRevision } });
        options_.store->write(
            { leaseKind, instance, nlohmann::json(expired.lease), expired.expectedRevision },
            [this, instance](const StoreWriteResult& result) {
                lapsing_.erase(instance);
                if (!result.object)
                    return;
                observe(*result.object);
                options_.onChange();
            });
    }
}

}
