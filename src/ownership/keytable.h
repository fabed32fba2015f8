#pragma once

#include "messages/generated/stored.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// One run of a backend server process. A restart makes a new incarnation, even under the same id.
struct ServerIncarnation {
    std::string id;
    int64_t startedMs = 0;

    bool operator==(const ServerIncarnation& other) const
    {
        return id == other.id && startedMs == other.startedMs;
    }
    bool operator!=(const ServerIncarnation& other) const { return !(*this == other); }
};

// An instance whose backend server may own key ranges.
struct KeyMember {
    std::string instance;
    ServerIncarnation server;
    bool acceptsKeys = false; // May be given more ranges.
    bool isLeaving = false; // Its ranges have to move to other members.
    int slots = 1;
};

// Returns the range that contains the key, or nullptr if there is none.
const stored::KeyRange* findRange(const stored::KeyTable& table, int key);

// The ranges of a large service are kept in several objects of the store, its parts, so that members rarely
// contend for one and a change of a range does not write all of them. No range extends over two parts.
int partCount(const stored::KeyTable& table);

// The part that contains the key, from 0.
int partOf(const stored::KeyTable& table, int64_t key);

// The number of parts for a new table.
int partCountFor(size_t members);

// The ranges of one part.
std::vector<stored::KeyRange> rangesOfPart(const stored::KeyTable& table, int part);

// A part that is not stored yet: its keys, without an owner.
stored::KeyRange emptyPart(const stored::KeyTable& table, int part);

// The first part whose ranges differ; nullopt if the tables are equal.
std::optional<int> firstChangedPart(const stored::KeyTable& before, const stored::KeyTable& after);

// The first part, from `from` on, in which the instance owns a range that is not carried.
std::optional<int> firstPartOwnedBy(const stored::KeyTable& table, const std::string& instance, int from);

// `table` with the ranges of one part from `source`.
stored::KeyTable withPartOf(const stored::KeyTable& table, const stored::KeyTable& source, int part);

inline ServerIncarnation incarnationOf(const stored::KeyRange& range)
{
    return { range.server, range.serverStartedMs };
}

// Whether a backend server owns the range. Any instance may assign a range without an owner through a
// conditional write. An owned range may only be reassigned by its own instance, unless that instance's lease
// has lapsed.
inline bool isOwned(const stored::KeyRange& range)
{
    return !range.server.empty();
}

// The fences that are given out in an era of the store are above this one, and so above all fences of earlier
// eras, including those that a restore of the store has lost.
int64_t fenceFloor(const stored::KeyTable& table);

// Whether the range has come into the table from an earlier era, with the fence that it had there.
bool isCarried(const stored::KeyTable& table, const stored::KeyRange& range);

// The load of a range in an arbitrary unit, used to distribute ranges evenly.
using RangeWeight = std::function<double(const stored::KeyRange& range)>;

// Input of the planner. None of it may have side effects.
struct KeyPlanInput {
    const stored::KeyTable& table;
    std::vector<KeyMember> members;
    std::function<bool(const std::string& instance)> isLapsed;
    RangeWeight weight;
    // Whether all leases of earlier eras have ended. Until then, carried ranges get no other owner; from then
    // on they get a fence of the present era, whether or not their owner remembers them.
    bool isSettled = true;
};

// Makes the first table of a service: all keys, divided among the members in proportion to their slots.
// Returns nothing if no member accepts keys.
std::optional<stored::KeyTable> firstTable(
    const std::string& service, const std::vector<KeyMember>& members, int parts = 1, int64_t era = 0);

// Returns the table with all due changes: ranges of lapsed instances and ranges without an owner are assigned
// to members, and ranges of leaving members get a target. If nothing of this is due, a member with hardly any
// load becomes the target for part of the largest range. Returns nothing if the table needs no change.
std::optional<stored::KeyTable> planTable(const KeyPlanInput& input);

// What an instance knows about its own backend server when it transfers its ranges.
struct OwnServer {
    std::string instance;
    // Not set while the server has been silent for so long that its grants have expired.
    std::optional<ServerIncarnation> incarnation;
    bool acceptsKeys = false; // Whether the incarnation may be given the ranges of earlier ones.
    // Whether all grants to earlier incarnations of the server have expired or were released.
    bool haveEarlierGrantsEnded = false;
    // Whether the incarnation listens on the only address that backend servers of this instance have. In this
    // case no other incarnation can be running, so all earlier ones have ended.
    bool isOnlyServerAtAddress = false;
    // Whether the server has released the range.
    std::function<bool(const stored::KeyRange& range)> isReleased;
    // Whether the instance owns the range without doubt; unset if it owns all that name it.
    std::function<bool(const stored::KeyRange& range)> isValid;
    // The data that the server left for the next owner of the range.
    std::function<std::string(const stored::KeyRange& range)> handover;
};

// Returns the table after an instance has transferred its own ranges: ranges released by its server go to
// their targets, and ranges of an earlier incarnation that has ended go to their targets or to the current
// incarnation, or else lose their owner. Adjacent ranges are merged if the server has many. Returns nothing
// if the table needs no change.
std::optional<stored::KeyTable> transferOwnRanges(
    const stored::KeyTable& table, const OwnServer& own, const std::vector<KeyMember>& members);

// Returns the table to write after the instance has reacquired a lapsed lease: its ranges lose their owner
// and get new fences. Carried ranges stay, since another instance may own them. Returns nothing if it owns no
// other range.
std::optional<stored::KeyTable> clearOwners(const stored::KeyTable& table, const std::string& instance);

}
