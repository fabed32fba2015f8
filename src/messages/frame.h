#pragma once

#include "messages/generated/peer.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace persimmonfield {

// The most body bytes that one frame carries; larger bodies travel in several, so that none holds up others.
inline constexpr size_t mostBodyBytesPerFrame = 64 * 1024;

// The largest frame that is accepted from a peer, in bytes.
inline constexpr size_t largestFrame = 2 * 1024 * 1024;

// One message between two daemons with the body bytes that belong to it.
struct Frame {
    peer::PeerMessage message;
    std::string body;
};

// The frame as CBOR.
std::string encodeFrame(const Frame& frame);

// InvalidArgument when the bytes are not one frame with exactly one message.
absl::StatusOr<Frame> decodeFrame(std::string_view bytes);

}
