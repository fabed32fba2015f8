#pragma once

#include "transport/peernetwork.h"

#include <string>

namespace persimmonfield {

enum class SendState {
    Sent,
    NothingSent, // Not even the first frame was sent.
    Partial,
};

// Sends a message and its body in frames of bounded size, so that other messages can be sent on the link
// between them. `id` is the request's id on the link.
SendState sendWithBody(PeerNetwork& network, LinkId link, const peer::PeerMessage& message,
    const std::string& body, int64_t id, TimePoint deadline);

}
