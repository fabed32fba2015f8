#include "sidecar/keyduty.h"

#include "base/logger.h"
#include "base/random.h"
#include "sidecar/edges.h"

#include <algorithm>
#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    // How often what depends on time alone is looked at.
    constexpr Milliseconds stepInterval { 500 };
    // A first table waits until all who start together have reported.
    constexpr Milliseconds settleTime { 1'500 };
    // A server without keys is not kept waiting longer for its first.
    constexpr Milliseconds firstKeysPatience { 250 };
    // A report is answered within this part of the time after which the server takes it for lost.
    constexpr double deferrablePart = 2.0 / 3;
    constexpr Milliseconds tableRetryPause { 300 };
    // After a write that somebody else's came before: a pause of that time, spread by so many milliseconds.
    constexpr Milliseconds conflictPause { 20 };
    constexpr uint64_t conflictSpread = 60;
    // A server whose requests, running and waiting, take up this part of its slots gives keys away to one
    // that is less busy by so much.
    constexpr double busyServer = 0.75;
    constexpr double worthMoving = 0.4;
    // The effect of one move shows before the next.
    constexpr Milliseconds offloadInterval { 2'500 };
    // Servers among which a busy one finds those that take its keys.
    constexpr size_t mostOffloadTargets = 12;
    // Reports that a hold outlasts.
    constexpr int reportsInHold = 3;

    KeyGranterOptions holderOptions(const SidecarSettings& settings)
    {
        KeyGranterOptions options;
        options.instance = settings.name;
        options.holdTime = settings.reportInterval * reportsInHold;
        return options;
    }

}

KeyDuty::KeyDuty(KeyDutyOptions options)
    : options_(std::move(options))
    , timer_(*options_.loop)
    , retryTimer_(*options_.loop)
    , deferTimer_(*options_.loop)
    , leases_({ options_.settings.name, options_.incarnation, options_.store, [this] { confirmRanges(); },
          [this] { updateTable(); } })
    , holder_(holderOptions(options_.settings))
    , random_(randomSource())
{
    holder_.assumeEarlierGrants(BootClock::now());
}

void KeyDuty::start()
{
    step();
}

void KeyDuty::scheduleStep()
{
    timer_.expires_after(stepInterval);
    timer_.async_wait([this](std::error_code error) {
        if (!error)
            step();
    });
}

void KeyDuty::step()
{
    const TimePoint now = BootClock::now();
    if (options_.serverLife())
        leases_.step(now);
    updateTable();
    scheduleStep();
}

void KeyDuty::answer(const ServerReport& report, const std::function<void(KeyAnswer)>& done)
{
    answerDeferred();
    isAloneAtAddress_ = report.address == options_.settings.serverAddress.text();
    leases_.renew(BootClock::now());
    KeyAnswer answer = answerNow(report);
    const Duration patience = deferTime(report, answer);
    if (patience <= Duration::zero())
        return done(std::move(answer));
    deferred_ = Deferred { std::make_shared<ServerReport>(report), done, ownRangeCount() };
    deferTimer_.expires_after(patience);
    deferTimer_.async_wait([this](std::error_code error) {
        if (!error)
            answerDeferred();
    });
}

// Whether a write that is under way, or due at once, may give the server keys.
bool KeyDuty::mayGrantSoon() const
{
    return pendingTable_ || isConfirming_ || leases_.needsConfirmation();
}

// Whether another instance is about to let a range go that the own server is to have.
bool KeyDuty::isAwaitingRange() const
{
    const auto& ranges = options_.directory->keyRanges(options_.settings.service);
    return std::any_of(ranges.begin(), ranges.end(), [this](const stored::KeyRange& range) {
        return isOwned(range) && range.target == options_.settings.name
            && range.instance != options_.settings.name;
    });
}

size_t KeyDuty::ownRangeCount() const
{
    const auto& ranges = options_.directory->keyRanges(options_.settings.service);
    return static_cast<size_t>(
        std::count_if(ranges.begin(), ranges.end(), [this](const stored::KeyRange& range) {
            return isOwned(range) && range.instance == options_.settings.name;
        }));
}

// How long the answer waits for keys that the server may be given by then: what is let go elsewhere while the
// answer waits is granted at once, instead of with the next report. Zero where the server has to let keys go
// itself, or leaves.
Duration KeyDuty::deferTime(const ServerReport& report, const KeyAnswer& answer) const
{
    if (report.isDraining)
        return Duration::zero();
    if (answer.grants.empty() && report.holds.empty() && mayGrantSoon())
        return firstKeysPatience;
    const bool letsGo
        = std::any_of(report.holds.begin(), report.holds.end(), [&answer](const KeyGrant& held) {
              return std::none_of(answer.grants.begin(), answer.grants.end(), [&held](const KeyGrant& grant) {
                  return grant.first <= held.first && held.last <= grant.last;
              });
          });
    if (letsGo || !isAwaitingRange())
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(options_.settings.reportPatience * deferrablePart);
}

void KeyDuty::answerDeferredIfDue()
{
    if (!deferred_ || mayGrantSoon())
        return;
    const bool hasNewRange = ownRangeCount() > deferred_->ownRanges;
    if (hasNewRange || !isAwaitingRange())
        answerDeferred();
}

void KeyDuty::answerDeferred()
{
    if (const auto deferred = std::exchange(deferred_, std::nullopt)) {
        deferTimer_.cancel();
        deferred->done(answerNow(*deferred->report));
    }
}

KeyAnswer KeyDuty::answerNow(const ServerReport& report)
{
    const TimePoint now = BootClock::now();
    holder_.setLeaseEnd(leases_.grantableUntil());
    KeyAnswer answer = holder_.report({ report.life, report.holds, report.released }, grantableTable(), now);
    updateTable();
    return answer;
}

// The table without what a write under way gives away.
stored::KeyTable KeyDuty::grantableTable() const
{
    const auto* known = options_.directory->keyTable(options_.settings.service);
    if (!known)
        return {};
    stored::KeyTable table = known->value;
    if (!pendingTable_)
        return table;
    const auto isGivenAway = [this](const stored::KeyRange& range) {
        const auto& after = pendingTable_->table.ranges;
        return std::any_of(after.begin(), after.end(), [&range](const stored::KeyRange& each) {
            const bool overlaps = each.first <= range.last && range.first <= each.last;
            return overlaps
                && (each.instance != range.instance || incarnationOf(each) != incarnationOf(range));
        });
    };
    auto& ranges = table.ranges;
    ranges.erase(std::remove_if(ranges.begin(), ranges.end(), isGivenAway), ranges.end());
    return table;
}

// After the lease was taken anew: another instance that found it lapsed may be about to give this one's
// ranges away. The ranges are read again, and where the lease had lapsed, given up by a write that such a
// change cannot survive.
void KeyDuty::confirmRanges()
{
    if (std::exchange(isConfirming_, true))
        return;
    options_.store->list(fleetKind, false, [this](const absl::StatusOr<StorePage>& page) {
        isConfirming_ = false;
        if (!page.ok())
            return leases_.confirmationFailed();
        options_.directory->apply(*page, true);
        const auto* table = options_.directory->keyTable(options_.settings.service);
        auto confirmed
            = table && leases_.wasLapsed() ? clearOwners(table->value, options_.settings.name) : std::nullopt;
        if (confirmed)
            return writeTable(*confirmed, table->revision, true);
        leases_.confirmed();
        options_.onChange();
        updateTable();
        answerDeferredIfDue();
    });
}

void KeyDuty::onDirectoryChange()
{
    updateTable();
    answerDeferredIfDue();
}

// The first instance by name that lives and holds a lease plans for the service.
bool KeyDuty::isPlanner(const std::vector<KeyMember>& members, TimePoint now) const
{
    if (now >= leases_.grantableUntil())
        return false;
    for (const KeyMember& member : members) {
        if (member.instance == options_.settings.name)
            return true;
        if (leases_.isFresh(member.instance, now))
            return false;
    }
    return false;
}

bool KeyDuty::mayMakeFirstTable(const std::vector<KeyMember>& members, TimePoint now)
{
    if (members.size() != lastMemberCount_) {
        lastMemberCount_ = members.size();
        membersStableSince_ = now;
    }
    return now - membersStableSince_ >= settleTime;
}

std::optional<stored::KeyTable> KeyDuty::settled(
    const stored::KeyTable& table, const std::vector<KeyMember>& members, TimePoint now) const
{
    OwnServer own;
    own.instance = options_.settings.name;
    own.incarnation = options_.serverLife();
    own.acceptsKeys = options_.isServerReady() && !options_.zones->isOut(options_.settings.zone);
    own.isOnlyServerAtAddress = isAloneAtAddress_;
    own.haveEarlierGrantsEnded = own.incarnation ? holder_.haveEarlierGrantsEnded(*own.incarnation, now)
                                                 : holder_.haveAllGrantsEnded(now);
    own.isReleased = [this, now](const stored::KeyRange& range) { return holder_.isReleased(range, now); };
    own.handover = [this](const stored::KeyRange& range) { return holder_.handover(range); };
    return transferOwnRanges(table, own, members);
}

// The next table that this instance has to write; nothing when the present one may stay.
std::optional<stored::KeyTable> KeyDuty::dueTable(TimePoint now)
{
    auto members = options_.directory->keyMembers(options_.settings.service, *options_.zones);
    const auto* known = options_.directory->keyTable(options_.settings.service);
    if (!known)
        return isPlanner(members, now) && mayMakeFirstTable(members, now)
            ? firstTable(options_.settings.service, members)
            : std::nullopt;
    if (now < leases_.grantableUntil()) {
        if (auto table = settled(known->value, members, now))
            return table;
    }
    if (auto table = offloaded(known->value, members, now))
        return table;
    if (!isPlanner(members, now))
        return std::nullopt;
    for (KeyMember& member : members)
        member.acceptsKeys = member.acceptsKeys && leases_.isFresh(member.instance, now);
    const auto isLapsed = [this](const std::string& instance) { return leases_.isLapsed(instance); };
    const bool needsNewListing = std::any_of(known->value.ranges.begin(), known->value.ranges.end(),
        [&](const stored::KeyRange& range) { return isOwned(range) && isLapsed(range.instance); });
    // An instance may have taken its lease anew before the table was last written.
    if (needsNewListing && leases_.listedRevision() < known->revision) {
        leases_.list(false);
        return std::nullopt;
    }
    const auto weight
        = [](const stored::KeyRange& range) { return static_cast<double>(range.last - range.first + 1); };
    return planTable({ known->value, std::move(members), isLapsed, weight });
}

void KeyDuty::noteRequest(int key, TimePoint now)
{
    load_.recordRequest(key, now);
}

// Where the own server is much busier than others, parts of its keys move to some of them.
std::optional<stored::KeyTable> KeyDuty::offloaded(
    const stored::KeyTable& table, const std::vector<KeyMember>& members, TimePoint now)
{
    const double own = options_.ownBusyness(now);
    if (now < nextOffload_ || now >= leases_.grantableUntil() || own < busyServer)
        return std::nullopt;
    const auto portions = spreadLoad(own, lessBusy(members, own - worthMoving, now));
    if (portions.empty())
        return std::nullopt;
    nextOffload_ = now + offloadInterval;
    load_.decay(now);
    std::optional<stored::KeyTable> result;
    for (const LoadPortion& portion : portions) {
        const stored::KeyTable& before = result ? *result : table;
        auto after = offloadKeys(before, options_.settings.name, load_, portion.share, portion.target);
        if (!after)
            continue;
        result = std::move(after);
        log(LogLevel::Info, "keys-offloaded",
            { { "to", portion.target }, { "share", portion.share }, { "ownBusyness", own } });
    }
    return result;
}

// Members that are at most so busy: all of few, and some of many, since others may be about to give them keys
// as well.
std::vector<MemberLoad> KeyDuty::lessBusy(const std::vector<KeyMember>& members, double most, TimePoint now)
{
    std::vector<MemberLoad> found;
    for (const KeyMember& member : members) {
        const auto busyness = options_.loads->busyness(member.instance, now);
        if (member.instance != options_.settings.name && member.acceptsKeys && busyness && *busyness <= most)
            found.push_back({ member.instance, *busyness });
    }
    while (found.size() > mostOffloadTargets) {
        std::swap(found[random_() % found.size()], found.back());
        found.pop_back();
    }
    return found;
}

void KeyDuty::updateTable()
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
    if (const auto table = dueTable(now))
        writeTable(*table, options_.directory->keyTableRevision(options_.settings.service), false);
}

void KeyDuty::writeTable(const stored::KeyTable& table, int64_t expectedRevision, bool isConfirmation)
{
    log(LogLevel::Info, "key-table-written",
        { { "service", table.service }, { "ranges", table.ranges.size() }, { "builtOn", expectedRevision },
            { "isConfirmation", isConfirmation } });
    pendingTable_ = PendingTable { table, expectedRevision, isConfirmation };
    sendTable();
}

void KeyDuty::sendTable()
{
    options_.store->write({ fleetKind, keyTableObjectName(pendingTable_->table.service),
                              nlohmann::json(pendingTable_->table), pendingTable_->expectedRevision },
        [this](const StoreWriteResult& result) { tableWritten(result); });
}

// Those who get ranges, now or once they are let go, have to act on it.
void KeyDuty::notifyConcerned(
    const stored::KeyTable& before, const stored::KeyTable& after, int64_t revision) const
{
    std::set<std::string> concerned;
    for (const stored::KeyRange& range : after.ranges) {
        const stored::KeyRange* old = findRange(before, static_cast<int>(range.first));
        if (isOwned(range) && (!old || old->instance != range.instance))
            concerned.insert(range.instance);
        if (!range.target.empty() && (!old || old->target != range.target))
            concerned.insert({ range.instance, range.target });
    }
    for (const std::string& instance : concerned)
        options_.onConcerned(instance, revision);
}

void KeyDuty::tableWritten(const StoreWriteResult& result)
{
    const auto* known = options_.directory->keyTable(options_.settings.service);
    const stored::KeyTable before = known ? known->value : stored::KeyTable {};
    if (result.object)
        options_.directory->apply({ { *result.object }, false, result.object->revision }, false);
    if (result.outcome == WriteOutcome::Unknown || result.outcome == WriteOutcome::Refused) {
        log(LogLevel::Info, "key-table-write-open", { { "cause", result.detail } });
        retryTimer_.expires_after(tableRetryPause);
        retryTimer_.async_wait([this](std::error_code error) {
            if (!error)
                sendTable();
        });
        return;
    }
    const bool isApplied = result.outcome == WriteOutcome::Applied;
    if (isApplied && result.object)
        notifyConcerned(before, pendingTable_->table, result.object->revision);
    const bool isConfirmation = pendingTable_->isConfirmation;
    pendingTable_.reset();
    if (isConfirmation && !isApplied)
        return confirmRanges();
    if (isConfirmation)
        leases_.confirmed();
    if (!isApplied) {
        // Somebody else wrote first: let the others write as well before the next try.
        log(LogLevel::Info, "key-table-refused", { { "cause", result.detail } });
        nextTableWrite_ = BootClock::now() + conflictPause + Milliseconds(random_() % conflictSpread);
    }
    options_.onChange();
    updateTable();
    answerDeferredIfDue();
}

}
