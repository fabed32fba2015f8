#pragma once

#include "messages/generated/peer.h"
#include "messages/generated/stored.h"

#include <string>

namespace persimmonfield {

// Identifies one run of a daemon. A restarted daemon keeps its name and gets a new incarnation, so it counts
// as another instance.
struct InstanceId {
    std::string name;
    std::string incarnation;

    bool operator==(const InstanceId& other) const
    {
        return incarnation == other.incarnation && name == other.name;
    }
    bool operator!=(const InstanceId& other) const { return !(*this == other); }
    bool operator<(const InstanceId& other) const
    {
        return name != other.name ? name < other.name : incarnation < other.incarnation;
    }
};

inline InstanceId instanceId(const peer::Instance& instance)
{
    return { instance.name, instance.incarnation };
}

inline InstanceId instanceId(const stored::WitnessName& witness)
{
    return { witness.name, witness.incarnation };
}

inline InstanceId instanceId(const stored::NodeEntry& entry)
{
    return { entry.name, entry.incarnation };
}

inline peer::Instance toMessage(const InstanceId& id)
{
    peer::Instance instance;
    instance.name = id.name;
    instance.incarnation = id.incarnation;
    return instance;
}

inline stored::WitnessName toWitness(const InstanceId& id)
{
    stored::WitnessName witness;
    witness.name = id.name;
    witness.incarnation = id.incarnation;
    return witness;
}

// Name of the store object that holds the instance's entry.
inline std::string nodeObject(const InstanceId& id)
{
    return "nodes/" + id.name + "." + id.incarnation;
}

}
