#include "config/configstore.h"

#include "base/boundedjson.h"
#include "base/hashing.h"
#include "store/resolvedwrite.h"

#include <fmt/format.h>

namespace persimmonfield {
namespace {

    // An object of the platform can hold at most one megabyte; smaller chunks leave room for JSON escaping.
    constexpr size_t chunkBytes = 262'144;
    constexpr Milliseconds retryInterval { 200 };
    constexpr Milliseconds retryTimeout { 10'000 };

    std::string chunkObject(const std::string& digest)
    {
        return "config/chunk/" + digest;
    }

    // Writes one immutable object that is named after its content. It is not an error if it already exists.
    absl::Status writeChunk(const ObjectClient& client, const std::string& name, const std::string& text)
    {
        const auto calls = storeCalls(client, retryInterval, retryTimeout);
        while (true) {
            const WriteResult result = calls.write(name, text, 0);
            if (result.outcome == WriteOutcome::Applied || result.outcome == WriteOutcome::Conflict)
                return absl::OkStatus();
            if (!calls.waitBeforeRetry())
                return absl::UnavailableError(result.detail);
        }
    }

    absl::StatusOr<stored::ConfigFile> writeFile(const ObjectClient& client, const IniText& file)
    {
        stored::ConfigFile entry;
        entry.name = file.name;
        entry.size = static_cast<int64_t>(file.text.size());
        for (size_t offset = 0; offset < file.text.size(); offset += chunkBytes) {
            const std::string text = file.text.substr(offset, chunkBytes);
            const std::string name = chunkObject(sha256Hex(text));
            if (const absl::Status status = writeChunk(client, name, text); !status.ok())
                return status;
            entry.chunks.push_back(name);
        }
        return entry;
    }

    // Saves the manifest under the name of its version. A manifest that is already saved is never changed.
    bool saveToHistory(const ObjectClient& client, const stored::ConfigManifest& manifest)
    {
        const std::string value = nlohmann::json(manifest).dump();
        return writeChunk(client, configHistoryObject(manifest.version), value).ok();
    }

    ApplyResult conflictResult(const ObjectReader& read)
    {
        const auto current = readCurrentManifest(read);
        if (!current.ok())
            return { WriteOutcome::Conflict, {}, std::string(current.status().message()) };
        return { WriteOutcome::Conflict, *current, fmt::format("version {} is in force", current->version) };
    }

}

std::string configHistoryObject(int64_t version)
{
    return fmt::format("config/history/{:012}", version);
}

absl::StatusOr<std::vector<IniText>> readConfigFiles(
    const stored::ConfigManifest& manifest, const ObjectReader& read)
{
    std::vector<IniText> files;
    for (const stored::ConfigFile& entry : manifest.files) {
        IniText file { entry.name, {} };
        for (const std::string& name : entry.chunks) {
            const auto chunk = read(name);
            if (!chunk.ok())
                return chunk.status();
            if (chunkObject(sha256Hex(chunk->value)) != name)
                return absl::DataLossError(fmt::format("{} does not match its hash", name));
            file.text += chunk->value;
        }
        files.push_back(std::move(file));
    }
    return files;
}

absl::StatusOr<stored::ConfigManifest> readCurrentManifest(const ObjectReader& read)
{
    const auto object = read(currentConfigObject);
    if (absl::IsNotFound(object.status()))
        return stored::ConfigManifest {};
    if (!object.ok())
        return object.status();
    try {
        return parseJson(object->value).value().get<stored::ConfigManifest>();
    } catch (const std::exception& error) {
        return absl::DataLossError(error.what());
    }
}

ApplyResult applyConfig(const ObjectClient& client, const std::vector<IniText>& files,
    int64_t expectedVersion, const std::string& author)
{
    const ObjectReader read = [&client](const std::string& name) { return client.read(name); };
    auto current = client.read(currentConfigObject);
    if (!current.ok() && !absl::IsNotFound(current.status()))
        return { WriteOutcome::Refused, {}, std::string(current.status().message()) };
    const auto inForce = readCurrentManifest(
        [&current](const std::string&) -> absl::StatusOr<peer::StoredObject> { return current; });
    if (!inForce.ok())
        return { WriteOutcome::Refused, {}, std::string(inForce.status().message()) };
    if (inForce->version != expectedVersion)
        return { WriteOutcome::Conflict, *inForce, fmt::format("version {} is in force", inForce->version) };

    stored::ConfigManifest manifest {};
    manifest.version = expectedVersion + 1;
    manifest.operationId = randomHex(16);
    manifest.author = author;
    manifest.acceptedAtMs = wallClockNow().count();
    for (const IniText& file : files) {
        const auto entry = writeFile(client, file);
        if (!entry.ok())
            return { WriteOutcome::Refused, {}, std::string(entry.status().message()) };
        manifest.files.push_back(*entry);
    }
    if (inForce->version > 0 && !saveToHistory(client, *inForce))
        return { WriteOutcome::Refused, {}, "the history could not be written" };
    const std::string value = nlohmann::json(manifest).dump();
    const int64_t objectVersion = current.ok() ? current->version : 0;
    const auto calls = storeCalls(client, retryInterval, retryTimeout);
    const WriteResult written
        = writeResolved(calls, { currentConfigObject, value, objectVersion, manifest.operationId });
    if (written.outcome == WriteOutcome::Conflict)
        return conflictResult(read);
    if (written.outcome == WriteOutcome::Applied)
        saveToHistory(client, manifest);
    return { written.outcome, manifest, written.detail };
}

}
