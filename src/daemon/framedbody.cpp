#include "daemon/framedbody.h"

namespace persimmonfield {

SendState sendWithBody(PeerNetwork& network, LinkId link, const peer::PeerMessage& message,
    const std::string& body, int64_t id, TimePoint deadline)
{
    if (!network.send(link, { message, body.substr(0, maxBodyBytesPerFrame) }))
        return SendState::NothingSent;
    for (size_t offset = maxBodyBytesPerFrame; offset < body.size(); offset += maxBodyBytesPerFrame) {
        peer::PeerMessage chunk;
        chunk.bodyChunk = peer::BodyChunk { id, offset + maxBodyBytesPerFrame >= body.size() };
        if (!network.waitUntilWritable(link, deadline))
            return SendState::Partial;
        if (!network.send(link, { chunk, body.substr(offset, maxBodyBytesPerFrame) }))
            return SendState::Partial;
    }
    return SendState::Sent;
}

}
