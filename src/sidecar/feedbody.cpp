#include "sidecar/feedbody.h"

#include "base/boundedjson.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr const char* nameMember = "name";
    constexpr const char* revisionMember = "revision";
    constexpr const char* valueMember = "value";
    constexpr const char* deletedMember = "deleted";

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
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<std::vector<StoreObject>> readFeedBody(const std::string& kind, const std::string& body)
{
    std::vector<StoreObject> objects;
    if (body.empty())
        return objects;
    const auto members = parseJson(body);
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
