#include "messages/frame.h"

#include <nlohmann/json.hpp>

namespace persimmonfield {
namespace {

    using nlohmann::json;

    constexpr const char* bodyMember = "body";
    constexpr const char* clockMember = "clock";

    std::string extractBody(json& value)
    {
        const auto found = value.find(bodyMember);
        if (found == value.end())
            return {};
        const json::binary_t& bytes = found->get_binary();
        std::string body(bytes.begin(), bytes.end());
        value.erase(found);
        return body;
    }

}

std::string encodeFrame(const Frame& frame)
{
    json value = frame.message;
    for (auto member = value.begin(); member != value.end();) {
        if (member->is_null())
            member = value.erase(member);
        else
            ++member;
    }
    if (!frame.body.empty())
        value[bodyMember]
            = json::binary(json::binary_t::container_type(frame.body.begin(), frame.body.end()));
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

absl::StatusOr<Frame> decodeFrame(std::string_view bytes)
{
    if (bytes.size() > maxFrameBytes)
        return absl::InvalidArgumentError("the frame is too large");
    try {
        json value = json::from_cbor(bytes.begin(), bytes.end());
        if (!value.is_object())
            return absl::InvalidArgumentError("the frame is not a map");
        Frame frame;
        frame.body = extractBody(value);
        if (value.size() - value.count(clockMember) != 1)
            return absl::InvalidArgumentError("the frame does not contain exactly one message");
        const auto first = value.begin();
        const std::string kind = first.key() == clockMember ? std::next(first).key() : first.key();
        frame.message = value.get<peer::PeerMessage>();
        if (json(frame.message).value(kind, json()).is_null())
            return absl::InvalidArgumentError("the frame contains a message of unknown kind");
        return frame;
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

}
