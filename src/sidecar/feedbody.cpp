#include "sidecar/feedbody.h"

#include "base/boundedjson.h"

#include <zlib.h>

#include <cstdint>
#include <optional>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr const char* nameMember = "name";
    constexpr const char* revisionMember = "revision";
    constexpr const char* valueMember = "value";
    constexpr const char* deletedMember = "deleted";

    // Pages of key tables repeat the names of instances and servers, and a watcher's link is narrow.
    constexpr size_t minCompressedSize = 1'024;
    // Precedes a compressed text together with the size of the text; no JSON text begins with it.
    constexpr char compressedMark = '\x01';
    constexpr size_t sizeBytes = 4;
    constexpr size_t maxTextSize = 8UL * 1024 * 1024;
    constexpr unsigned bitsPerByte = 8;

    std::string compressed(const std::string& text)
    {
        uLongf size = compressBound(text.size());
        std::string data(size, '\0');
        if (compress2(reinterpret_cast<Bytef*>(data.data()), &size,
                reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED)
            != Z_OK)
            return text;
        data.resize(size);
        std::string body(1, compressedMark);
        for (size_t i = 0; i < sizeBytes; ++i)
            body += static_cast<char>(text.size() >> (i * bitsPerByte) & 0xFFU);
        return body + data;
    }

    // Returns nullopt if the body is malformed or its text is too large.
    std::optional<std::string> decompressed(const std::string& body)
    {
        constexpr size_t headSize = 1 + sizeBytes;
        if (body.size() < headSize)
            return std::nullopt;
        uLongf size = 0;
        for (size_t i = 0; i < sizeBytes; ++i)
            size |= uLongf { static_cast<uint8_t>(body[1 + i]) } << (i * bitsPerByte);
        if (size > maxTextSize)
            return std::nullopt;
        std::string text(size, '\0');
        const int result = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
            reinterpret_cast<const Bytef*>(body.data() + headSize), body.size() - headSize);
        if (result != Z_OK || size != text.size())
            return std::nullopt;
        return text;
    }

}

std::string writeFeedBody(const std::vector<StoreObject>& objects)
{
    nlohmann::json body = nlohmann::json::array();
    for (const StoreObject& object : objects) {
        nlohmann::json member { { nameMember, object.name }, { revisionMember, object.revision } };
        if (object.isDeleted)
            member[deletedMember] = true;
        else
            member[valueMember] = object.value;
        body.push_back(std::move(member));
    }
    const std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.size() < minCompressedSize ? text : compressed(text);
}

absl::StatusOr<std::vector<StoreObject>> readFeedBody(const std::string& kind, const std::string& body)
{
    std::vector<StoreObject> objects;
    if (body.empty())
        return objects;
    std::optional<std::string> text;
    if (body.front() == compressedMark) {
        text = decompressed(body);
        if (!text)
            return absl::InvalidArgumentError("the compressed text is malformed");
    }
    const auto members = parseJson(text ? *text : body);
    if (!members.ok())
        return members.status();
    try {
        for (const nlohmann::json& member : *members) {
            StoreObject object;
            object.kind = kind;
            object.name = member.at(nameMember).get<std::string>();
            object.revision = member.at(revisionMember).get<int64_t>();
            object.isDeleted = member.value(deletedMember, false);
            if (!object.isDeleted)
                object.value = member.at(valueMember);
            objects.push_back(std::move(object));
        }
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
    return objects;
}

}
