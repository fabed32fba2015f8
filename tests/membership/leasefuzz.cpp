// Stateful fuzzing of leases and takeover against an oracle that knows true time. Messages are delayed, lost,
// doubled and reordered, daemons pause and restart, clocks run apart within the drift bound, witness sets
// change, and two provers work at once. Whenever a lapse is proven, the holder must hold no lease in truth.

#include "membership/lapseproof.h"
#include "membership/leaseholder.h"
#include "membership/witness.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

constexpr int daemons = 7;
constexpr int provers = 2;
constexpr Milliseconds stepTime { 50 };

enum class MessageKind {
    Renewal,
    Ack,
    PromiseRequest,
    Promise,
};

struct Message {
    MessageKind kind = MessageKind::Renewal;
    int from = 0;
    int to = 0;
    int holder = 0;
    int64_t sequence = 0;
    std::optional<Duration> since;
    int64_t fromEpoch = 0; // Incarnations, as counts of restarts.
    int64_t holderEpoch = 0;
    Duration arrives { 0 }; // True time.
};

// The store's entry of an incarnation, as far as leases look at it.
struct Entry {
    WitnessSet witnesses;
    int64_t version = 1;
    bool isClaimed = false;
    bool isLapsed = false;
};

struct Claim {
    int holder = 0;
    int64_t holderEpoch = 0;
    std::unique_ptr<LapseProof> proof;
};

struct Node {
    double rate = 1; // Of its clock against true time.
    Duration offset { 0 };
    int64_t epoch = 1;
    Duration pausedUntil { 0 };
    std::unique_ptr<LeaseHolder> holder;
    std::unique_ptr<Witness> witness;
    std::optional<int64_t> changeExpects; // Version that a write of the witness set under way expects.
    Duration changeArrives { 0 };
    std::optional<Duration> changeAnswered;
    bool changeApplied = false;
    std::vector<Claim> claims; // As a prover.
};

class World {
public:
    explicit World(uint64_t seed)
        : random_(seed)
        , nodes_(daemons)
    {
        for (int i = 0; i < daemons; ++i) {
            nodes_[i].rate = 1 + (uniform(201) - 100) * timing_.driftBound / 2 / 100;
            nodes_[i].offset = Milliseconds(uniform(1'000'000) + 10'000);
            begin(i);
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            now_ += stepTime / 2 + stepTime * uniform(100) / 100;
            disturb();
            deliver();
            for (int node = 0; node < daemons; ++node) {
                if (now_ >= nodes_[node].pausedUntil)
                    act(node);
                checkLapse(node);
            }
        }
    }

    int proven() const { return proven_; }
    int leasesHeldByWitnesses() const { return witnessLeases_; }

private:
    int uniform(int bound) { return static_cast<int>(random_() % static_cast<uint64_t>(bound)); }
    bool chance(int percent) { return uniform(100) < percent; }

    static InstanceId idOf(int node, int64_t epoch)
    {
        return { std::to_string(node), std::to_string(epoch) };
    }
    InstanceId idOf(int node) const { return idOf(node, nodes_[node].epoch); }
    Entry& entryOf(int node, int64_t epoch) { return entries_[idOf(node, epoch)]; }

    TimePoint local(int node) const
    {
        const Node& each = nodes_[node];
        const auto passed = std::chrono::duration_cast<Duration>(now_ * each.rate);
        return TimePoint(passed + each.offset);
    }

    // Joins under a new incarnation, with the store as the first witness.
    void begin(int node)
    {
        Node& each = nodes_[node];
        each.holder = std::make_unique<LeaseHolder>(timing_);
        each.witness = std::make_unique<Witness>(timing_);
        each.holder->storeConfirmed(local(node), local(node));
        each.changeExpects.reset();
        each.changeAnswered.reset();
        each.claims.clear();
        entryOf(node, each.epoch) = {};
    }

    void disturb()
    {
        const int node = uniform(daemons);
        if (chance(2))
            nodes_[node].pausedUntil = now_ + Milliseconds(uniform(6'000));
        if (chance(1)) {
            ++nodes_[node].epoch;
            begin(node);
        }
        if (chance(2))
            cutOff_ = uniform(daemons + 1);
    }

    void send(Message message)
    {
        message.fromEpoch = nodes_[message.from].epoch;
        const bool isCut = message.from == cutOff_ || message.to == cutOff_;
        if (isCut || chance(10))
            return;
        for (int copies = chance(10) ? 2 : 1; copies > 0; --copies) {
            message.arrives = now_ + Milliseconds(chance(10) ? uniform(3'000) : uniform(20));
            messages_.push_back(message);
        }
    }

    void deliver()
    {
        std::deque<Message> due;
        for (auto message = messages_.begin(); message != messages_.end();) {
            const bool isDue = message->arrives <= now_ && nodes_[message->to].pausedUntil <= now_;
            if (isDue)
                due.push_back(*message);
            message = isDue ? messages_.erase(message) : std::next(message);
        }
        for (const Message& message : due)
            receive(message);
    }

    void receive(const Message& message)
    {
        Node& to = nodes_[message.to];
        const TimePoint time = local(message.to);
        const InstanceId holder = idOf(message.holder, message.holderEpoch);
        switch (message.kind) {
        case MessageKind::Renewal:
            if (to.witness->confirm(
                    holder, !to.holder->hasLapsed(time) && time < to.holder->leaseEnd(), time))
                send({ MessageKind::Ack, message.to, message.from, message.holder, message.sequence, {}, 0,
                    message.holderEpoch, {} });
            return;
        case MessageKind::Ack:
            if (message.holderEpoch == to.epoch)
                to.holder->acknowledged(idOf(message.from, message.fromEpoch), message.sequence, time);
            return;
        case MessageKind::PromiseRequest:
            send({ MessageKind::Promise, message.to, message.from, message.holder, 0,
                to.witness->promise(holder, time), 0, message.holderEpoch, {} });
            return;
        case MessageKind::Promise:
            for (Claim& claim : to.claims) {
                if (claim.holder == message.holder && claim.holderEpoch == message.holderEpoch)
                    claim.proof->promised(idOf(message.from, message.fromEpoch), message.since, time);
            }
            return;
        }
    }

    void act(int node)
    {
        Node& each = nodes_[node];
        const TimePoint time = local(node);
        if (each.holder->hasLapsed(time)) {
            ++each.epoch;
            begin(node);
            return;
        }
        settleChange(node, time);
        if (each.holder->isConfirmedByStore() && chance(30)) {
            Entry& entry = entryOf(node, each.epoch);
            if (!entry.isClaimed && !each.changeExpects) {
                ++entry.version;
                each.holder->storeConfirmed(time, time);
            }
        }
        if (chance(30))
            renew(node, time);
        if (chance(10))
            proposeChange(node, time);
        if (node < provers)
            prove(node, time);
        if (!each.holder->isConfirmedByStore() && time < each.holder->leaseEnd())
            ++witnessLeases_;
    }

    void renew(int node, TimePoint time)
    {
        const auto sequence = nodes_[node].holder->beginRenewal(time);
        if (!sequence)
            return;
        for (const InstanceId& witness : nodes_[node].holder->witnesses())
            send({ MessageKind::Renewal, node, std::stoi(witness.name), node, *sequence, {}, 0,
                nodes_[node].epoch, {} });
    }

    void proposeChange(int node, TimePoint time)
    {
        Node& each = nodes_[node];
        if (each.changeExpects)
            return;
        if (each.holder->isProposalConfirmed(time)) {
            each.holder->beginChange();
            each.changeExpects = entryOf(node, each.epoch).version;
            each.changeArrives = now_ + Milliseconds(uniform(800));
            each.changeApplied = false;
            return;
        }
        if (each.holder->hasProposal()) {
            if (chance(5))
                each.holder->withdrawProposal();
            return;
        }
        std::vector<int> others;
        for (int i = 0; i < daemons; ++i) {
            if (i != node)
                others.push_back(i);
        }
        std::shuffle(others.begin(), others.end(), random_);
        WitnessSet chosen;
        for (int i = 0; i < (chance(50) ? 3 : 5); ++i)
            chosen.push_back(idOf(others[static_cast<size_t>(i)]));
        each.holder->propose(chosen);
    }

    // Lets a write of the witness set take effect at its time, and its answer arrive later or much later.
    void settleChange(int node, TimePoint time)
    {
        Node& each = nodes_[node];
        if (each.changeExpects && !each.changeAnswered && now_ >= each.changeArrives) {
            Entry& entry = entryOf(node, each.epoch);
            each.changeApplied = !entry.isClaimed && entry.version == *each.changeExpects;
            if (each.changeApplied) {
                ++entry.version;
                entry.witnesses = each.holder->proposedSet();
            }
            each.changeAnswered = now_ + Milliseconds(chance(30) ? uniform(3'000) : 0);
        }
        if (!each.changeAnswered || now_ < *each.changeAnswered || each.holder->hasLapsed(time))
            return;
        if (each.changeApplied)
            each.holder->adoptProposal();
        else
            each.holder->withdrawProposal();
        each.changeExpects.reset();
        each.changeAnswered.reset();
    }

    void prove(int node, TimePoint time)
    {
        Node& prover = nodes_[node];
        const int target = uniform(daemons);
        const bool isSilent = now_ < nodes_[target].pausedUntil || target == cutOff_;
        if (target != node && chance(isSilent ? 10 : 1))
            claim(node, target, nodes_[target].epoch, time);
        for (Claim& claim : prover.claims) {
            Entry& entry = entryOf(claim.holder, claim.holderEpoch);
            for (const InstanceId& witness : entry.witnesses) {
                if (entries_[witness].isLapsed)
                    claim.proof->witnessLapsed(witness, time);
            }
            if (claim.proof->isProven(time) && !entry.isLapsed) {
                entry.isLapsed = true;
                ++proven_;
                checkLapse(claim.holder);
            }
            if (chance(20)) {
                for (const InstanceId& witness : claim.proof->wanted())
                    send({ MessageKind::PromiseRequest, node, std::stoi(witness.name), claim.holder, 0, {}, 0,
                        claim.holderEpoch, {} });
            }
        }
    }

    void claim(int node, int target, int64_t epoch, TimePoint time)
    {
        Entry& entry = entryOf(target, epoch);
        if (entry.isLapsed)
            return;
        entry.isClaimed = true;
        nodes_[node].claims.push_back(
            { target, epoch, std::make_unique<LapseProof>(timing_, entry.witnesses, time) });
    }

    // The oracle: an incarnation proven lapsed holds no lease, by its own clock and wherever it is.
    void checkLapse(int node)
    {
        if (entryOf(node, nodes_[node].epoch).isLapsed)
            RC_ASSERT(local(node) >= nodes_[node].holder->leaseEnd());
    }

    LeaseTiming timing_;
    std::mt19937_64 random_;
    Duration now_ = Milliseconds(1'000);
    std::vector<Node> nodes_;
    std::map<InstanceId, Entry> entries_;
    std::deque<Message> messages_;
    int cutOff_ = daemons;
    int proven_ = 0;
    int witnessLeases_ = 0;
};

}

TEST_GROUP(LeaseFuzz) {};

TEST(LeaseFuzz, AProvenLapseIsALapseInTruth)
{
    int proven = 0;
    int held = 0;
    const bool isTrue = rc::check("no lease outlives its proven lapse", [&](uint64_t seed) {
        World world(seed);
        world.run(600);
        proven += world.proven();
        held += world.leasesHeldByWitnesses();
    });
    CHECK(isTrue);
    // The world must really prove lapses and really live on witnesses.
    CHECK(proven > 100);
    CHECK(held > 1'000);
}
