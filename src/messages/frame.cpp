#include "messages/frame.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace persimmonfield {
namespace {

    using nlohmann::json;

    constexpr const char* bodyMember = "body";
    constexpr const char* clockMember = "clock";

    // The deepest nesting of a frame's message. The CBOR reader of the JSON library is recursive, so a deeper
    // one could overflow the stack.
    constexpr size_t maxFrameDepth = 64;

    // Major types of CBOR (RFC 8949).
    constexpr uint8_t byteString = 2;
    constexpr uint8_t textString = 3;
    constexpr uint8_t array = 4;
    constexpr uint8_t map = 5;
    constexpr uint8_t tag = 6;

    struct CborHead {
        uint8_t majorType = 0;
        uint64_t argument = 0;
    };

    // Reads the head of a data item and removes it from `bytes`. Returns nullopt if it is cut off or has no
    // definite length, which encodeFrame() never writes.
    std::optional<CborHead> readHead(std::string_view& bytes)
    {
        constexpr uint8_t majorTypeShift = 5;
        constexpr uint8_t firstLongArgument = 24;
        constexpr uint8_t lastLongArgument = 27;
        if (bytes.empty())
            return std::nullopt;
        const auto first = static_cast<uint8_t>(bytes.front());
        bytes.remove_prefix(1);
        CborHead head { static_cast<uint8_t>(first >> majorTypeShift), first & 0x1FU };
        if (head.argument < firstLongArgument)
            return head;
        if (head.argument > lastLongArgument)
            return std::nullopt;
        const size_t size = size_t { 1 } << (head.argument - firstLongArgument);
        if (bytes.size() < size)
            return std::nullopt;
        head.argument = 0;
        for (const char byte : bytes.substr(0, size))
            head.argument = head.argument << 8U | static_cast<uint8_t>(byte);
        bytes.remove_prefix(size);
        return head;
    }

    // Whether the bytes are one data item of definite length that is not nested too deeply.
    bool isBoundedCbor(std::string_view bytes)
    {
        std::vector<uint64_t> missingItems { 1 }; // Of each open array or map.
        while (!missingItems.empty()) {
            if (missingItems.back() == 0) {
                missingItems.pop_back();
                continue;
            }
            --missingItems.back();
            const auto head = readHead(bytes);
            if (!head || head->majorType == tag)
                return false;
            if (head->majorType == byteString || head->majorType == textString) {
                if (bytes.size() < head->argument)
                    return false;
                bytes.remove_prefix(static_cast<size_t>(head->argument));
            } else if (head->majorType == array || head->majorType == map) {
                // Each item takes at least a byte.
                if (missingItems.size() > maxFrameDepth || head->argument > bytes.size())
                    return false;
                missingItems.push_back(head->majorType == map ? head->argument * 2 : head->argument);
            }
        }
        return bytes.empty();
    }

    // Removes absent members of a message, which readers take as absent in either form.
    void eraseNulls(json& message)
    {
        for (auto member = message.begin(); message.is_object() && member != message.end();)
            member = member->is_null() ? message.erase(member) : std::next(member);
    }

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
    for (json& message : value)
        eraseNulls(message);
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
    if (!isBoundedCbor(bytes))
        return absl::InvalidArgumentError("the frame is no data item, or one that is nested too deeply");
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
        static const json knownKinds = peer::PeerMessage {};
        if (!knownKinds.contains(kind) || value.at(kind).is_null())
            return absl::InvalidArgumentError("the frame contains a message of unknown kind");
        frame.message = value.get<peer::PeerMessage>();
        return frame;
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

}
