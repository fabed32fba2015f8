#include "sidecar/keyrangemanager.h"

#include "base/logger.h"
#include "base/random.h"
#include "sidecar/protocoladapter.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    // How often leases and the table are checked for changes that only depend on time.
    constexpr Milliseconds stepInterval { 500 };
    // How long the answer to a server without keys is deferred while its first keys may be granted.
    constexpr Milliseconds maxFirstKeysWait { 250 };
    // A deferred report is answered within this fraction of the time after which the server considers the
    // report lost.
    constexpr double maxDeferFraction = 2.0 / 3;
    constexpr Milliseconds tableRetryDelay { 300 };
    // Delay after a write that conflicted with another instance's write, plus a random number of milliseconds
    // below conflictJitterMs.
    constexpr Milliseconds conflictDelay { 20 };
    constexpr uint64_t conflictJitterMs = 60;
    // A server may hold its keys for this many report intervals after its last report.
    constexpr int reportIntervalsPerHold = 3;

    KeyGranterOptions granterOptions(const SidecarSettings& settings)
    {
        KeyGranterOptions options;
        options.instance = settings.name;
        options.holdTime = settings.reportInterval * reportIntervalsPerHold;
        return options;
    }

}

KeyRangeManager::KeyRangeManager(KeyRangeManagerOptions options)
    : options_(std::move(options))
    , timer_(*options_.loop)
    , retryTimer_(*options_.loop)
    , deferTimer_(*options_.loop)
    , leases_({ options_.settings.name, options_.incarnation, options_.store, [this] { confirmRanges(); },
          [this] { updateTable(); } })
    , granter_(granterOptions(options_.settings))
    , recovery_(options_.settings.name, leaseExpiryWait(KeyLeaseTiming()))
    , random_(randomSource())
{
    if (const int64_t era = options_.store->era(); era > 0)
        onNewEra(era);
    granter_.assumeEarlierGrants(BootClock::now());
}

void KeyRangeManager::start()
{
    step();
}

void KeyRangeManager::onNewEra(int64_t era)
{
    const TimePoint now = BootClock::now();
    std::vector<stored::KeyRange> own;
    if (now < leases_.grantableUntil()) {
        for (stored::KeyRange& range : grantableTable(now).ranges) {
            if (isOwned(range) && range.instance == options_.settings.name)
                own.push_back(std::move(range));
        }
    }
    log(LogLevel::Info, "keys-remembered", { { "era", era }, { "ranges", own.size() } });
    recovery_.begin(std::move(own), grantableUntil(now), now);
    leases_.setEra(era);
    if (confirmation_) {
        abandonConfirmation();
        leases_.confirmationFailed();
    }
    // Whatever the write has done is gone. Its answer, if it still comes, is ignored.
    ++tableWrites_;
    retryTimer_.cancel();
    if (std::exchange(pendingTable_, std::nullopt))
        offload_.onWritten(false);
}

void KeyRangeManager::scheduleStep()
{
    timer_.expires_after(stepInterval);
    timer_.async_wait([this](std::error_code error) {
        if (!error)
            step();
    });
}

void KeyRangeManager::step()
{
    const TimePoint now = BootClock::now();
    if (options_.serverIncarnation())
        leases_.step(now);
    updateTable();
    scheduleStep();
}

void KeyRangeManager::handleReport(const ServerReport& report, const std::function<void(KeyAnswer)>& done)
{
    answerDeferred();
    isOnlyServerAtAddress_ = report.address == options_.settings.serverAddress.text();
    leases_.renew(BootClock::now());
    KeyAnswer answer = answerNow(report);
    const Duration maxWait = deferTime(report, answer);
    if (maxWait <= Duration::zero())
        return done(std::move(answer));
    deferredReport_ = DeferredReport { std::make_shared<ServerReport>(report), done, ownRangeCount() };
    deferTimer_.expires_after(maxWait);
    deferTimer_.async_wait([this](std::error_code error) {
        if (!error)
            answerDeferred();
    });
}

// Whether a write that is in progress or due now may result in keys for the server.
bool KeyRangeManager::mayGrantSoon() const
{
    return pendingTable_ || leases_.needsConfirmation();
}

// Whether another instance is still to release a range whose target is this instance.
bool KeyRangeManager::isAwaitingRange() const
{
    const auto& ranges = options_.directory->keyRanges(options_.settings.service);
    return std::any_of(ranges.begin(), ranges.end(), [this](const stored::KeyRange& range) {
        return isOwned(range) && range.target == options_.settings.name
            && range.instance != options_.settings.name;
    });
}

size_t KeyRangeManager::ownRangeCount() const
{
    const auto& ranges = options_.directory->keyRanges(options_.settings.service);
    return static_cast<size_t>(
        std::count_if(ranges.begin(), ranges.end(), [this](const stored::KeyRange& range) {
            return isOwned(range) && range.instance == options_.settings.name;
        }));
}

// How long to defer the answer for keys that the server may be granted by then. A range that another instance
// releases in that time is granted at once instead of with the next report. Zero when the server has to
// release keys itself or is draining.
Duration KeyRangeManager::deferTime(const ServerReport& report, const KeyAnswer& answer) const
{
    if (report.isDraining)
        return Duration::zero();
    if (answer.grants.empty() && report.holds.empty() && mayGrantSoon())
        return maxFirstKeysWait;
    const bool mustReleaseKeys
        = std::any_of(report.holds.begin(), report.holds.end(), [&answer](const KeyGrant& held) {
              return std::none_of(answer.grants.begin(), answer.grants.end(), [&held](const KeyGrant& grant) {
                  return grant.first <= held.first && held.last <= grant.last;
              });
          });
    if (mustReleaseKeys || !isAwaitingRange())
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(options_.settings.reportTimeout * maxDeferFraction);
}

void KeyRangeManager::answerDeferredIfDue()
{
    if (!deferredReport_ || mayGrantSoon())
        return;
    const bool hasNewRange = ownRangeCount() > deferredReport_->ownRanges;
    if (hasNewRange || !isAwaitingRange())
        answerDeferred();
}

void KeyRangeManager::answerDeferred()
{
    if (const auto deferred = std::exchange(deferredReport_, std::nullopt)) {
        deferTimer_.cancel();
        deferred->done(answerNow(*deferred->report));
    }
}

KeyAnswer KeyRangeManager::answerNow(const ServerReport& report)
{
    const TimePoint now = BootClock::now();
    granter_.setLeaseEnd(grantableUntil(now));
    KeyAnswer answer
        = granter_.report({ report.incarnation, report.holds, report.released }, grantableTable(now), now);
    updateTable();
    return answer;
}

KnownKeyTable KeyRangeManager::knownTable(const stored::KeyTable& table) const
{
    return { table, [this, &table](const stored::KeyRange& range) {
                const int part = partOf(table, range.first);
                return options_.directory->keyPartRevision(options_.settings.service, part) > 0;
            } };
}

// The lease's end, or that of an earlier era's lease while grants are based on that one.
TimePoint KeyRangeManager::grantableUntil(TimePoint now) const
{
    const auto* known = options_.directory->keyTable(options_.settings.service);
    const TimePoint limit = known ? recovery_.grantLimit(knownTable(known->value), now) : TimePoint::max();
    return std::min(leases_.grantableUntil(), limit);
}

// The ranges of this instance in the known table, and those that it remembers after a restore of the store,
// without the ranges that a pending write reassigns.
stored::KeyTable KeyRangeManager::grantableTable(TimePoint now) const
{
    const auto* known = options_.directory->keyTable(options_.settings.service);
    if (!known)
        return {};
    stored::KeyTable table = recovery_.grantable(knownTable(known->value), now);
    if (!pendingTable_)
        return table;
    const auto isReassigned = [this](const stored::KeyRange& range) {
        const auto& after = pendingTable_->write.table.ranges;
        return std::any_of(after.begin(), after.end(), [&range](const stored::KeyRange& each) {
            const bool overlaps = each.first <= range.last && range.first <= each.last;
            return overlaps
                && (each.instance != range.instance || incarnationOf(each) != incarnationOf(range));
        });
    };
    auto& ranges = table.ranges;
    ranges.erase(std::remove_if(ranges.begin(), ranges.end(), isReassigned), ranges.end());
    return table;
}

// Called after the lease was acquired, for the first time or again. A write that reassigns this instance's
// ranges may still be under way: of an instance that has marked the lease as lapsed, or of an earlier run of
// this one. Reading the table does not show such a write. Therefore this instance writes, by a condition on
// the revision read, each part of the table in which it owns ranges, before it grants them: from then on the
// other write fails. If the lease had lapsed, the write gives up the ranges.
void KeyRangeManager::confirmRanges()
{
    if (confirmation_ && confirmation_->losses == leases_.losses())
        return;
    abandonConfirmation();
    confirmation_ = Confirmation { ++confirmations_, leases_.losses() };
    recovery_.forget();
    options_.store->list(
        fleetKind, false, [this, number = confirmations_](const absl::StatusOr<StorePage>& page) {
            if (!confirmation_ || confirmation_->number != number)
                return;
            if (!page.ok()) {
                confirmation_.reset();
                return leases_.confirmationFailed();
            }
            options_.directory->apply(*page, true);
            confirmNextPart();
        });
}

void KeyRangeManager::confirmNextPart()
{
    if (confirmation_->losses != leases_.losses())
        return confirmation_.reset();
    const std::string& service = options_.settings.service;
    const std::string& self = options_.settings.name;
    const auto* table = options_.directory->keyTable(service);
    if (!table)
        return endConfirmation();
    if (leases_.wasLapsed()) {
        const auto cleared = clearOwners(table->value, self);
        return cleared ? writeTable(firstWriteTo(*cleared, service, *options_.directory), true)
                       : endConfirmation();
    }
    const auto part = firstPartOwnedBy(table->value, self, confirmation_->nextPart);
    if (!part)
        return endConfirmation();
    confirmation_->nextPart = *part;
    const std::string text
        = fmt::format("{}.{}.{}", options_.incarnation, confirmation_->number, ++confirmation_->writes);
    writeTable(confirmingWrite(*part, text, service, *options_.directory), true);
}

// The answers to what the confirmation has sent are ignored from now on.
void KeyRangeManager::abandonConfirmation()
{
    confirmation_.reset();
    if (!pendingTable_ || !pendingTable_->isConfirmation)
        return;
    pendingTable_.reset();
    ++tableWrites_;
    retryTimer_.cancel();
}

void KeyRangeManager::endConfirmation()
{
    log(LogLevel::Info, "ranges-confirmed",
        { { "service", options_.settings.service }, { "ranges", ownRangeCount() },
            { "writes", confirmation_->writes }, { "wasLapsed", leases_.wasLapsed() } });
    confirmation_.reset();
    leases_.confirmed();
    options_.onChange();
    updateTable();
    answerDeferredIfDue();
}

void KeyRangeManager::onDirectoryChange()
{
    updateTable();
    answerDeferredIfDue();
}

void KeyRangeManager::recordRequest(int key, TimePoint now)
{
    load_.recordRequest(key, now);
}

void KeyRangeManager::updateTable()
{
    if (pendingTable_ || !options_.directory->isLoaded() || !options_.zones->areKnown())
        return;
    const TimePoint now = BootClock::now();
    if (now < nextTableWrite_) {
        retryTimer_.expires_after(nextTableWrite_ - now);
        retryTimer_.async_wait([this](std::error_code error) {
            if (!error)
                updateTable();
        });
        return;
    }
    if (const auto table = nextTable(now))
        writeTable(firstWriteTo(*table, options_.settings.service, *options_.directory), false);
}

void KeyRangeManager::writeTable(KeyTableWrite write, bool isConfirmation)
{
    log(LogLevel::Info, "key-table-written",
        { { "service", options_.settings.service }, { "object", write.objectName },
            { "ranges", write.value.ranges.size() }, { "builtOn", write.expectedRevision },
            { "isConfirmation", isConfirmation } });
    pendingTable_ = PendingTable { std::move(write), isConfirmation };
    sendTable();
}

// The result of a write that another one has replaced is ignored.
void KeyRangeManager::sendTable()
{
    const KeyTableWrite& write = pendingTable_->write;
    options_.store->write(
        { fleetKind, write.objectName, nlohmann::json(write.value), write.expectedRevision },
        [this, number = ++tableWrites_](const StoreWriteResult& result) {
            if (number == tableWrites_)
                onTableWritten(result);
        });
}

// Notifies the instances that now own a range, and the owner and the target of each range that is going to
// move.
void KeyRangeManager::notifyAffected(
    const stored::KeyTable& before, const stored::KeyTable& after, const StoreObject& object) const
{
    std::set<std::string> affected;
    for (const stored::KeyRange& range : after.ranges) {
        const stored::KeyRange* old = findRange(before, static_cast<int>(range.first));
        if (isOwned(range) && (!old || old->instance != range.instance))
            affected.insert(range.instance);
        if (!range.target.empty() && (!old || old->target != range.target))
            affected.insert({ range.instance, range.target });
    }
    for (const std::string& instance : affected)
        options_.onInstanceAffected(instance, object);
}

void KeyRangeManager::onTableWritten(const StoreWriteResult& result)
{
    const auto* known = options_.directory->keyTable(options_.settings.service);
    const stored::KeyTable before = known ? known->value : stored::KeyTable {};
    if (result.object)
        options_.directory->apply({ { *result.object }, false, result.object->revision }, false);
    if (result.outcome == WriteOutcome::Unknown || result.outcome == WriteOutcome::Refused) {
        log(LogLevel::Info, "key-table-write-unresolved", { { "cause", result.detail } });
        retryTimer_.expires_after(tableRetryDelay);
        retryTimer_.async_wait([this](std::error_code error) {
            if (!error)
                sendTable();
        });
        return;
    }
    const bool isApplied = result.outcome == WriteOutcome::Applied;
    if (isApplied && result.object)
        notifyAffected(before, pendingTable_->write.table, *result.object);
    const bool isConfirmation = pendingTable_->isConfirmation;
    pendingTable_.reset();
    if (isConfirmation) {
        if (isApplied)
            ++confirmation_->nextPart;
        if (isApplied || result.object)
            return confirmNextPart();
        // Only a listing shows what has become of the object.
        confirmation_.reset();
        return confirmRanges();
    }
    offload_.onWritten(isApplied);
    if (!isApplied) {
        // Another instance wrote the table first. The random delay lets other instances write as well before
        // the retry.
        log(LogLevel::Info, "key-table-refused", { { "cause", result.detail } });
        nextTableWrite_ = BootClock::now() + conflictDelay + Milliseconds(random_() % conflictJitterMs);
    }
    options_.onChange();
    updateTable();
    answerDeferredIfDue();
}

}
