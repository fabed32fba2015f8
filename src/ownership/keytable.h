#pragma once

#include "messages/generated/stored.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// A life of a backend server: one that starts again, even under the same id, is another one.
struct ServerLife {
    std::string id;
    int64_t startedMs = 0;

    bool operator==(const ServerLife& other) const { return id == other.id && startedMs == other.startedMs; }
    bool operator!=(const ServerLife& other) const { return !(*this == other); }
};

// An instance whose server may own ranges of keys.
struct KeyMember {
    std::string instance;
    ServerLife server;
    bool takesKeys = false; // May be given more.
    bool isLeaving = false; // Its ranges are to move away.
    int slots = 1;
};

// The range of a key; nullptr where the table has none.
const stored::KeyRange* findRange(const stored::KeyTable& table, int key);

inline ServerLife lifeOf(const stored::KeyRange& range)
{
    return { range.server, range.serverStartedMs };
}

// Whether a server owns the range. A range without an owner may be taken by anybody through a conditional
// write; an owned one is given away by its instance only, unless that one's lease has lapsed.
inline bool isOwned(const stored::KeyRange& range)
{
    return !range.server.empty();
}

// How much work a range brings, in any unit; used to spread ranges evenly.
using RangeWeight = std::function<double(const stored::KeyRange& range)>;

// What the planner looks at. All pure.
struct KeyPlanInput {
    const stored::KeyTable& table;
    std::vector<KeyMember> members;
    std::function<bool(const std::string& instance)> isLapsed;
    RangeWeight weight;
};

// A first table: all keys in equal parts by the members' slots; nothing when nobody takes keys.
std::optional<stored::KeyTable> firstTable(const std::string& service, const std::vector<KeyMember>& members);

// The table with the changes that are due: ranges of lapsed instances and of nobody are given to members,
// those of members that leave get a target, and a member that has none is given a part of the largest.
// Nothing when the table may stay as it is.
std::optional<stored::KeyTable> planTable(const KeyPlanInput& input);

// What an instance knows of its own server when it settles its ranges.
struct OwnServer {
    std::string instance;
    std::optional<ServerLife> life; // Nothing while the server is silent for so long that its grants ended.
    bool takesKeys = false; // Whether the life may be given the ranges of earlier ones.
    // Whether all that earlier lives of the server were granted has run out or was given back.
    bool hasEarlierGrantsEnded = false;
    // Whether the life is the only one that can be up beside this instance, as it listens on the one address
    // that servers have here: then earlier lives have ended.
    bool isAloneAtAddress = false;
    // Whether the server has let the range go, and what it left for the next owner.
    std::function<bool(const stored::KeyRange& range)> isReleased;
    std::function<std::string(const stored::KeyRange& range)> handover;
};

// The table after an instance has settled its own ranges: those that its server released go to their targets,
// those of an earlier life go to the present one or to nobody, and neighbours are joined where they are many.
// Nothing when there is nothing to settle.
std::optional<stored::KeyTable> settleTable(
    const stored::KeyTable& table, const OwnServer& own, const std::vector<KeyMember>& members);

// The table after the instance has taken a lapsed lease anew: its ranges are confirmed under new fences.
std::optional<stored::KeyTable> confirmTable(const stored::KeyTable& table, const std::string& instance);

}
