#include "membership/lapseproof.h"
#include "membership/leaseholder.h"
#include "membership/storemirror.h"
#include "membership/witness.h"
#include "membership/witnesschoice.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const TimePoint start { std::chrono::hours(1) };
const LeaseTiming timing;

WitnessSet witnesses(int count)
{
    WitnessSet set;
    for (int i = 0; i < count; ++i)
        set.push_back({ "w" + std::to_string(i), "1" });
    return set;
}

}

TEST_GROUP(LeaseHolder) {};

TEST(LeaseHolder, LastsFromWhenAMajorityConfirmedRenewalWasSent)
{
    LeaseHolder holder(timing);
    holder.onStoreConfirmation(start, start);
    holder.propose(witnesses(3));
    const auto sequence = holder.beginRenewal(start + Milliseconds(100));
    holder.onRenewalAck({ "w0", "1" }, *sequence, start + Milliseconds(110));
    CHECK_FALSE(holder.isProposalConfirmed(start + Milliseconds(110)));
    holder.onRenewalAck({ "w1", "1" }, *sequence, start + Milliseconds(120));
    CHECK(holder.isProposalConfirmed(start + Milliseconds(120)));
    holder.beginWitnessChange();
    CHECK(holder.leaseEnd() == start + timing.leaseDuration);
    holder.adoptProposal();
    CHECK(holder.leaseEnd() == start + Milliseconds(100) + timing.leaseDuration);
}

TEST(LeaseHolder, CannotBeRenewedAfterALapse)
{
    LeaseHolder holder(timing);
    holder.onStoreConfirmation(start, start);
    CHECK(holder.hasLapsed(start + timing.leaseDuration));
    holder.onStoreConfirmation(start + timing.leaseDuration, start + timing.leaseDuration);
    CHECK(holder.leaseEnd() == TimePoint());
    CHECK_FALSE(holder.beginRenewal(start + timing.leaseDuration).has_value());
}

TEST(LeaseHolder, IgnoresConfirmationsByAnotherIncarnation)
{
    LeaseHolder holder(timing);
    holder.onStoreConfirmation(start, start);
    holder.propose(witnesses(3));
    const auto sequence = holder.beginRenewal(start);
    for (const char* name : { "w0", "w1", "w2" })
        holder.onRenewalAck({ name, "2" }, *sequence, start);
    CHECK_FALSE(holder.isProposalConfirmed(start));
}

TEST_GROUP(LapseProof) {};

TEST(LapseProof, WaitsUntilTheNewestConfirmationOfAMajorityExpires)
{
    LapseProof proof(timing, witnesses(3), start);
    proof.onPromise({ "w0", "1" }, Milliseconds(500), start);
    CHECK_FALSE(proof.provenFrom().has_value());
    proof.onPromise({ "w1", "1" }, Milliseconds(200), start);
    CHECK(proof.isProven(start - Milliseconds(190) + timing.lapseWait()));
    CHECK_FALSE(proof.isProven(start - Milliseconds(205) + timing.lapseWait()));
    LONGS_EQUAL(0, proof.missingWitnesses().size());
}

TEST(LapseProof, CountsALapsedWitnessAsAPromiseAtTheProvenTime)
{
    LapseProof proof(timing, witnesses(3), start);
    proof.onPromise({ "w0", "1" }, std::nullopt, start);
    proof.onWitnessLapsed({ "w2", "1" }, start + Milliseconds(10));
    CHECK(*proof.provenFrom() == start + Milliseconds(10) + timing.lapseWait());
}

TEST_GROUP(Witness) {};

TEST(Witness, ConfirmsNothingAfterItsPromiseOrWithoutALease)
{
    Witness witness(timing);
    CHECK_FALSE(witness.confirm({ "h", "1" }, false, start));
    CHECK(witness.confirm({ "h", "1" }, true, start));
    CHECK(*witness.promise({ "h", "1" }, start + Milliseconds(5)) == Milliseconds(5));
    CHECK_FALSE(witness.confirm({ "h", "1" }, true, start));
    CHECK(witness.confirm({ "h", "2" }, true, start));
}

TEST_GROUP(WitnessChoice) {};

TEST(WitnessChoice, TakesFewerThanHalfFromOneZoneAndKeepsCurrentWitnesses)
{
    std::vector<WitnessCandidate> candidates;
    std::map<std::string, std::string> zones;
    for (int i = 0; i < 9; ++i) {
        const std::string name = "i" + std::to_string(i);
        zones[name] = std::string(1, static_cast<char>('a' + i / 3));
        candidates.push_back({ { name, "1" }, zones[name] });
    }
    const WitnessSet chosen = chooseWitnesses({ "i0", "1" }, candidates, {});
    LONGS_EQUAL(7, chosen.size());
    std::map<std::string, int> perZone;
    for (const InstanceId& witness : chosen) {
        CHECK(witness.name != "i0");
        CHECK(++perZone[zones[witness.name]] <= 3);
    }
    CHECK(chooseWitnesses({ "i0", "1" }, candidates, chosen) == chosen);
    candidates.resize(3);
    CHECK(chooseWitnesses({ "i0", "1" }, candidates, {}).empty());
}

TEST_GROUP(StoreMirror) {};

TEST(StoreMirror, NeverGoesBackInAnyOrderOfChanges)
{
    StoreMirror mirror;
    peer::StoredObject object {};
    object.name = "config/current";
    object.value = "new";
    object.version = 5;
    CHECK(mirror.apply(0, 5, { object }));
    object.value = "old";
    object.version = 3;
    CHECK_FALSE(mirror.apply(0, 4, { object }));
    STRCMP_EQUAL("new", mirror.find("config/current")->value.c_str());
    LONGS_EQUAL(5, mirror.revision());
    object.version = 9;
    CHECK(mirror.apply(7, 9, { object }));
    LONGS_EQUAL(5, mirror.revision());
    LONGS_EQUAL(1, mirror.deltaAfter(5, 100).objects.size());
}
