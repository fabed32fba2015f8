#include "persimmonctl/configcommands.h"

#include "config/configparser.h"
#include "config/configstore.h"
#include "config/configurationcheck.h"
#include "persimmonctl/fleetcommands.h"
#include "persimmonctl/linediff.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace persimmonfield {
namespace {

    namespace fs = std::filesystem;
    using nlohmann::json;

    constexpr Milliseconds callTimeout { 3'000 };
    constexpr Milliseconds waitTimeout { 30'000 };
    // File in a configuration directory with the version that was last applied from or written to the
    // directory.
    constexpr const char* versionFileName = ".persimmonfield-version";

    struct LoadedDirectory {
        std::vector<IniText> files;
        std::vector<FileError> errors;
        ParsedConfiguration parsed; // Only if there are no errors.
    };

    LoadedDirectory loadDirectory(const std::string& directory)
    {
        LoadedDirectory loaded;
        std::error_code error;
        std::vector<fs::path> paths;
        for (const fs::directory_entry& entry : fs::directory_iterator(directory, error)) {
            if (entry.path().extension() == ".ini")
                paths.push_back(entry.path());
        }
        if (error)
            loaded.errors.push_back({ directory, 0, error.message() });
        std::sort(paths.begin(), paths.end());
        for (const fs::path& path : paths) {
            std::ifstream file(path, std::ios::binary);
            if (!file)
                loaded.errors.push_back({ path.string(), 0, "cannot be read" });
            loaded.files.push_back(
                { path.filename().string(), std::string(std::istreambuf_iterator<char>(file), {}) });
        }
        if (!error && paths.empty())
            loaded.errors.push_back({ directory, 0, "contains no *.ini file" });
        if (!loaded.errors.empty())
            return loaded;
        loaded.parsed = parseConfiguration(loaded.files);
        loaded.errors = loaded.parsed.errors;
        return loaded;
    }

    json toJson(const std::vector<FileError>& errors)
    {
        json list = json::array();
        for (const FileError& error : errors)
            list.push_back({ { "file", error.file }, { "line", error.line }, { "cause", error.cause } });
        return list;
    }

    void printErrors(const std::vector<FileError>& errors, bool asJson)
    {
        if (asJson) {
            fmt::print("{}\n", json { { "valid", errors.empty() }, { "errors", toJson(errors) } }.dump());
            return;
        }
        for (const FileError& error : errors)
            fmt::print(stderr, "{}\n", error.text());
    }

    int64_t readVersionFile(const std::string& directory)
    {
        std::ifstream file(fs::path(directory) / versionFileName);
        int64_t version = 0;
        file >> version;
        return file ? version : 0;
    }

    void writeVersionFile(const std::string& directory, int64_t version)
    {
        std::ofstream(fs::path(directory) / versionFileName) << version << "\n";
    }

    std::string timeText(int64_t sinceEpochMs)
    {
        const std::time_t seconds = sinceEpochMs / 1'000;
        return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(seconds));
    }

    std::string operatorName()
    {
        const char* name = std::getenv("USER");
        return name && *name ? name : "operator";
    }

    ObjectReader makeReader(const ObjectClient& client)
    {
        return [&client](const std::string& name) { return client.read(name); };
    }

    ExitCode printStoreError(const std::string& cause)
    {
        fmt::print(stderr, "persimmonctl: the platform's store: {}\n", cause);
        return ExitCode::StoreError;
    }

    std::string findText(const std::vector<IniText>& files, const std::string& name)
    {
        for (const IniText& file : files) {
            if (file.name == name)
                return file.text;
        }
        return {};
    }

    // Prints who changed the configuration meanwhile, and the diff from the files in force to the local
    // files.
    void printConflict(const ObjectClient& client, const stored::ConfigManifest& inForce,
        const std::vector<IniText>& localFiles)
    {
        fmt::print(stderr, "persimmonctl: version {} is in force, accepted {}, author {}\n", inForce.version,
            timeText(inForce.acceptedAtMs), inForce.author);
        const auto currentFiles = readConfigFiles(inForce, makeReader(client));
        if (!currentFiles.ok())
            return;
        std::vector<std::string> names;
        for (const IniText& file : *currentFiles)
            names.push_back(file.name);
        for (const IniText& file : localFiles) {
            if (std::find(names.begin(), names.end(), file.name) == names.end())
                names.push_back(file.name);
        }
        for (const std::string& name : names) {
            const std::string diff = lineDiff(findText(*currentFiles, name), findText(localFiles, name));
            if (!diff.empty())
                fmt::print(stderr, "{} (- in force, + local):\n{}", name, diff);
        }
    }

    ExitCode exitCodeOf(WriteOutcome outcome)
    {
        switch (outcome) {
        case WriteOutcome::Applied:
            return ExitCode::Ok;
        case WriteOutcome::Conflict:
            return ExitCode::Conflict;
        case WriteOutcome::Refused:
            return ExitCode::StoreError;
        case WriteOutcome::Unknown:
            return ExitCode::Unknown;
        }
        return ExitCode::Unknown;
    }

}

namespace {

    ExitCode waitAndPrintLagging(const ConfigCommandOptions& options, int64_t version)
    {
        const auto lagging = waitUntilInForce(options.platformUrl, version, waitTimeout);
        if (!lagging.ok())
            return printStoreError(std::string(lagging.status().message()));
        for (const std::string& name : *lagging)
            fmt::print(stderr, "persimmonctl: not in force on {}\n", name);
        return lagging->empty() ? ExitCode::Ok : ExitCode::Lagging;
    }

}

namespace {

    // What a check of a valid configuration says about it.
    struct CheckReport {
        std::vector<FileError> findings;
        std::optional<int64_t> versionInForce; // nullopt if it was not compared.
        std::vector<std::string> changes; // From the version in force.
    };

    absl::StatusOr<CheckReport> compareWithFleet(
        const ParsedConfiguration& parsed, const std::string& platformUrl)
    {
        const ObjectClient client(platformUrl, callTimeout);
        const auto manifest = readCurrentManifest(makeReader(client));
        if (!manifest.ok())
            return manifest.status();
        const auto files = readConfigFiles(*manifest, makeReader(client));
        if (!files.ok())
            return files.status();
        const auto fleet = summarizeFleet(platformUrl);
        if (!fleet.ok())
            return fleet.status();
        const Configuration inForce = parseConfiguration(*files).configuration;
        return CheckReport { checkConfiguration(parsed, *fleet), manifest->version,
            configurationChanges(inForce, parsed.configuration) };
    }

    void printReport(const CheckReport& report, bool asJson)
    {
        if (asJson) {
            json value { { "valid", true }, { "errors", json::array() },
                { "findings", toJson(report.findings) } };
            if (report.versionInForce) {
                value["versionInForce"] = *report.versionInForce;
                value["changes"] = report.changes;
            }
            fmt::print("{}\n", value.dump());
            return;
        }
        for (const FileError& finding : report.findings)
            fmt::print(stderr, "{}\n", finding.text());
        if (!report.versionInForce)
            return;
        fmt::print("{} from version {}{}\n", report.changes.empty() ? "nothing differs" : "differs",
            *report.versionInForce, report.changes.empty() ? "" : ":");
        for (const std::string& change : report.changes)
            fmt::print("  {}\n", change);
    }

}

ExitCode checkCommand(const ConfigCommandOptions& options)
{
    const LoadedDirectory loaded = loadDirectory(options.directory);
    if (!loaded.errors.empty()) {
        printErrors(loaded.errors, options.asJson);
        return ExitCode::Invalid;
    }
    CheckReport report;
    report.findings = checkConfiguration(loaded.parsed);
    if (!options.platformUrl.empty()) {
        auto compared = compareWithFleet(loaded.parsed, options.platformUrl);
        if (compared.ok())
            report = *std::move(compared);
        else
            fmt::print(stderr, "persimmonctl: not compared with the version in force: {}\n",
                std::string(compared.status().message()));
    }
    printReport(report, options.asJson);
    return options.isStrict && !report.findings.empty() ? ExitCode::Findings : ExitCode::Ok;
}

ExitCode applyCommand(const ConfigCommandOptions& options)
{
    const LoadedDirectory loaded = loadDirectory(options.directory);
    if (!loaded.errors.empty()) {
        printErrors(loaded.errors, options.asJson);
        return ExitCode::Invalid;
    }
    const ObjectClient client(options.platformUrl, callTimeout);
    const int64_t expected = options.expectedVersion.value_or(readVersionFile(options.directory));
    const ApplyResult result = applyConfig(client, loaded.files, expected, operatorName());
    if (result.outcome == WriteOutcome::Applied) {
        writeVersionFile(options.directory, result.manifest.version);
        if (options.asJson)
            fmt::print("{}\n", json { { "version", result.manifest.version } }.dump());
        else
            fmt::print("version {} was accepted\n", result.manifest.version);
        if (options.shouldWait)
            return waitAndPrintLagging(options, result.manifest.version);
    } else if (result.outcome == WriteOutcome::Conflict) {
        printConflict(client, result.manifest, loaded.files);
    } else {
        printStoreError(result.detail);
    }
    return exitCodeOf(result.outcome);
}

ExitCode showCommand(const ConfigCommandOptions& options)
{
    const ObjectClient client(options.platformUrl, callTimeout);
    const auto manifest = readCurrentManifest(makeReader(client));
    if (!manifest.ok())
        return printStoreError(std::string(manifest.status().message()));
    const auto files = readConfigFiles(*manifest, makeReader(client));
    if (!files.ok())
        return printStoreError(std::string(files.status().message()));
    if (!options.directory.empty()) {
        for (const IniText& file : *files)
            std::ofstream(fs::path(options.directory) / file.name, std::ios::binary) << file.text;
        writeVersionFile(options.directory, manifest->version);
        return ExitCode::Ok;
    }
    json list = json::array();
    for (const IniText& file : *files)
        list.push_back({ { "name", file.name }, { "text", file.text } });
    if (options.asJson) {
        const json value { { "version", manifest->version }, { "author", manifest->author },
            { "acceptedAtMs", manifest->acceptedAtMs }, { "files", list } };
        fmt::print("{}\n", value.dump());
        return ExitCode::Ok;
    }
    fmt::print("; version {}, accepted {}, author {}\n", manifest->version, timeText(manifest->acceptedAtMs),
        manifest->author);
    for (const IniText& file : *files)
        fmt::print("; file {}\n{}", file.name, file.text);
    return ExitCode::Ok;
}

ExitCode historyCommand(const ConfigCommandOptions& options)
{
    const ObjectClient client(options.platformUrl, callTimeout);
    const auto listing = client.list("config/history/");
    if (!listing.ok())
        return printStoreError(std::string(listing.status().message()));
    for (const peer::StoredObject& object : listing->objects) {
        const json manifest = json::parse(object.value, nullptr, false);
        if (options.asJson)
            fmt::print("{}\n", manifest.dump());
        else
            fmt::print("{:6}  {}  {}\n", manifest.value("version", 0),
                timeText(manifest.value("acceptedAtMs", int64_t { 0 })), manifest.value("author", ""));
    }
    return ExitCode::Ok;
}

}
