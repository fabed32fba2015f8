#include "daemon/gossipduty.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds roundInterval { 500 };
    constexpr Milliseconds earlyRoundInterval { 20 };
    constexpr Milliseconds silenceBound { 2'000 };
    constexpr size_t peersPerRound = 3;
    constexpr size_t watchersPerZone = 3;
    constexpr size_t mostDeltaBytes = 524'288;

    uint64_t watcherRank(const std::string& name)
    {
        return stableHash("watcher\n" + name);
    }

}

GossipDuty::GossipDuty(ControlContext& context, std::function<uint64_t()> random)
    : context_(context)
    , random_(std::move(random))
{
}

void GossipDuty::step(TimePoint now)
{
    const bool isEarly = hasNews_ && now >= nextEarlyRound_;
    if (!isEarly && now < nextRound_)
        return;
    nextRound_ = now + roundInterval;
    nextEarlyRound_ = now + earlyRoundInterval;
    hasNews_ = false;
    for (const InstanceId& peer : pickPeers())
        context_.send(peer, digest());
}

std::vector<InstanceId> GossipDuty::pickPeers()
{
    std::vector<InstanceId> peers;
    for (const auto& [name, node] : context_.view->nodes) {
        const InstanceId id = instanceId(node->entry);
        if (node->entry.state == stored::State::Joined && id != context_.self)
            peers.push_back(id);
    }
    const size_t count = std::min(peersPerRound, peers.size());
    for (size_t i = 0; i < count; ++i)
        std::swap(peers[i], peers[i + random_() % (peers.size() - i)]);
    peers.resize(count);
    return peers;
}

peer::PeerMessage GossipDuty::digest() const
{
    peer::PeerMessage message;
    message.digest = peer::Digest { context_.mirror.revision(), toMessage(context_.self) };
    return message;
}

std::optional<peer::PeerMessage> GossipDuty::onDigest(const peer::Digest& digest, TimePoint now)
{
    lastHeard_ = now;
    const int64_t mine = context_.mirror.revision();
    if (digest.revision > mine)
        return this->digest();
    if (digest.revision == mine)
        return std::nullopt;
    peer::PeerMessage message;
    message.delta = context_.mirror.deltaAfter(digest.revision, mostDeltaBytes);
    message.delta->sender = toMessage(context_.self);
    return message;
}

bool GossipDuty::shouldWatch(TimePoint now) const
{
    if (now - lastHeard_ > silenceBound)
        return true;
    const uint64_t mine = watcherRank(context_.self.name);
    size_t better = 0;
    for (const auto& [name, node] : context_.view->nodes) {
        const stored::NodeEntry& entry = node->entry;
        const bool competes = entry.state == stored::State::Joined && entry.zone == context_.settings.zone;
        if (competes && watcherRank(entry.name) < mine)
            ++better;
    }
    return better < watchersPerZone;
}

}
