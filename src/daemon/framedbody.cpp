#include "daemon/framedbody.h"

namespace persimmonfield {

SendState sendWithBody(PeerNetwork& network, LinkId link, const peer::PeerMessage& message,
    const std::string& body, int64_t id, TimePoint deadline)
{
    if (!network.send(link, { message, body.substr(0, mostBodyBytesPerFrame) }))
        return SendState::NothingSent;
    for (size_t offset = mostBodyBytesPerFrame; offset < body.size(); offset += mostBodyBytesPerFrame) {
        peer::PeerMessage chunk;
        chunk.bodyChunk = peer::BodyChunk { id, offset + mostBodyBytesPerFrame >= body.size() };
        if (!network.waitUntilWritable(link, deadline))
            return SendState::Partial;
        if (!network.send(link, { chunk, body.substr(offset, mostBodyBytesPerFrame) }))
            return SendState::Partial;
    }
    return SendState::Sent;
}

}
