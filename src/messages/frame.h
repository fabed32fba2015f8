#pragma once

#include "messages/generated/peer.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace persimmonfield {

// Maximum body bytes in one frame. Larger bodies are split into several frames, so that they do not delay
// other messages on the link.
inline constexpr size_t maxBodyBytesPerFrame = 64 * 1024;

// Maximum size of a frame accepted from a peer, in bytes.
inline constexpr size_t maxFrameBytes = 2 * 1024 * 1024;

// One message between two daemons and the body bytes that belong to it.
struct Frame {
    peer::PeerMessage message;
    std::string body;
};

// Encodes the frame as CBOR.
std::string encodeFrame(const Frame& frame);

// Decodes a frame. Returns InvalidArgument unless the bytes are one frame with exactly one message.
absl::StatusOr<Frame> decodeFrame(std::string_view bytes);

}
