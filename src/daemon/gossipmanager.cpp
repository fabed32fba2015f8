#include "daemon/gossipmanager.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr Milliseconds roundInterval { 500 };
    constexpr Milliseconds earlyRoundInterval { 20 };
    constexpr Milliseconds contactTimeout { 2'000 };
    constexpr size_t peersPerRound = 3;
    constexpr size_t watchersPerZone = 3;
    constexpr size_t maxDeltaBytes = 524'288;

    uint64_t watcherRank(const std::string& name)
    {
        return stableHash("watcher\n" + name);
    }

}

GossipManager::GossipManager(ControlContext& context, std::function<uint64_t()> random)
    : context_(context)
    , random_(std::move(random))
{
}

void GossipManager::step(TimePoint now)
{
    const bool isEarly = hasChanges_ && now >= nextEarlyRound_;
    if (!isEarly && now < nextRound_)
        return;
    nextRound_ = now + roundInterval;
    nextEarlyRound_ = now + earlyRoundInterval;
    hasChanges_ = false;
    for (const InstanceId& peer : pickPeers())
        context_.send(peer, digest());
}

std::vector<InstanceId> GossipManager::pickPeers()
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

peer::PeerMessage GossipManager::digest() const
{
    peer::PeerMessage message;
    message.digest = peer::Digest { context_.mirror.revision(), toMessage(context_.self) };
    return message;
}

std::optional<peer::PeerMessage> GossipManager::onDigest(const peer::Digest& digest, TimePoint now)
{
    lastContact_ = now;
    const int64_t own = context_.mirror.revision();
    if (digest.revision > own)
        return this->digest();
    if (digest.revision == own)
        return std::nullopt;
    peer::PeerMessage message;
    message.delta = context_.mirror.deltaAfter(digest.revision, maxDeltaBytes);
    message.delta->sender = toMessage(context_.self);
    return message;
}

bool GossipManager::shouldWatch(TimePoint now) const
{
    if (now - lastContact_ > contactTimeout)
        return true;
    const uint64_t own = watcherRank(context_.self.name);
    size_t lowerRanked = 0;
    for (const auto& [name, node] : context_.view->nodes) {
        const stored::NodeEntry& entry = node->entry;
        const bool isCandidate = entry.state == stored::State::Joined && entry.zone == context_.settings.zone;
        if (isCandidate && watcherRank(entry.name) < own)
            ++lowerRanked;
    }
    return lowerRanked < watchersPerZone;
}

}
