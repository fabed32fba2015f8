#include "config/configparser.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <set>
#include <string_view>
#include <utility>

namespace persimmonfield {

bool Configuration::isZoneEvacuated(const std::string& zone) const
{
    const auto found = zones.find(zone);
    return found != zones.end() && found->second.isEvacuated;
}

namespace {

    constexpr int64_t maxPartitions = 1 << 20;
    constexpr int64_t maxRate = 1'000'000'000;
    constexpr size_t sha256Digits = 64;

    constexpr std::array<std::pair<std::string_view, RouteType>, 3> routeTypes { {
        { "once", RouteType::Once },
        { "idempotent", RouteType::Idempotent },
        { "download", RouteType::Download },
    } };

    // One section of a file with its entries.
    struct Section {
        std::string kind;
        std::string name;
        FileLocation location;
        std::vector<IniEntry> entries;
    };

    std::vector<std::string> splitList(const std::string& value)
    {
        std::vector<std::string> items;
        for (absl::string_view item : absl::StrSplit(value, ',', absl::SkipWhitespace()))
            items.emplace_back(absl::StripAsciiWhitespace(item));
        return items;
    }

    class Parser {
    public:
        ParsedConfiguration parse(const std::vector<IniText>& files)
        {
            std::vector<Section> sections;
            for (const IniText& file : files)
                collectSections(file, sections);
            for (const Section& section : sections)
                readSection(section);
            checkReferences();
            return std::move(result_);
        }

    private:
        void fail(const FileLocation& location, std::string cause)
        {
            result_.errors.push_back({ location.file, location.line, std::move(cause) });
        }

        void collectSections(const IniText& file, std::vector<Section>& sections)
        {
            IniContent content = parseIni(file);
            for (FileError& error : content.errors)
                result_.errors.push_back(std::move(error));
            for (IniEntry& entry : content.entries) {
                const std::pair<std::string, std::string> title
                    = absl::StrSplit(entry.section, absl::MaxSplits(' ', 1));
                const bool isNew = sections.empty() || sections.back().location.file != file.name
                    || sections.back().kind != title.first || sections.back().name != title.second;
                if (isNew)
                    sections.push_back({ title.first, title.second, { file.name, entry.line }, {} });
                sections.back().entries.push_back(std::move(entry));
            }
        }

        void readSection(const Section& section)
        {
            if (section.name.empty())
                return fail(section.location, fmt::format("section [{}] has no name", section.kind));
            if (!seen_.insert(section.kind + " " + section.name).second)
                return fail(
                    section.location, fmt::format("{} '{}' is declared twice", section.kind, section.name));
            result_.sections[section.kind + " " + section.name] = section.location;
            if (section.kind == "service")
                return readService(section);
            if (section.kind == "route")
                return readRoute(section);
            if (section.kind == "team")
                return readTeam(section);
            if (section.kind == "key")
                return readKey(section);
            if (section.kind == "availability-zone")
                return readZone(section);
            fail(section.location, fmt::format("unknown kind of section '{}'", section.kind));
        }

        using EntryReader = std::function<bool(const std::string& value)>;

        struct Field {
            std::string name;
            bool isRequired = false;
            EntryReader read; // Stores the value and returns whether it is valid.
            std::string expectation;
        };

        void readFields(const Section& section, const std::vector<Field>& fields)
        {
            std::set<std::string> given;
            for (const IniEntry& entry : section.entries) {
                const FileLocation location { section.location.file, entry.line };
                const auto field = std::find_if(fields.begin(), fields.end(),
                    [&entry](const Field& each) { return each.name == entry.name; });
                if (field == fields.end())
                    fail(location, fmt::format("unknown setting '{}' in a {}", entry.name, section.kind));
                else if (!given.insert(entry.name).second)
                    fail(location, fmt::format("'{}' is given twice", entry.name));
                else if (!field->read(entry.value))
                    fail(location,
                        fmt::format(
                            "'{}' must be {}, not '{}'", entry.name, field->expectation, entry.value));
            }
            for (const Field& field : fields) {
                if (field.isRequired && given.count(field.name) == 0)
                    fail(section.location,
                        fmt::format("{} '{}' lacks '{}'", section.kind, section.name, field.name));
            }
        }

        static bool hasEntry(const Section& section, const std::string& name)
        {
            return std::any_of(section.entries.begin(), section.entries.end(),
                [&name](const IniEntry& entry) { return entry.name == name; });
        }

        static EntryReader text(std::string& target)
        {
            return [&target](const std::string& value) {
                target = value;
                return !value.empty();
            };
        }

        static EntryReader choice(bool& target, std::string whenTrue, std::string whenFalse)
        {
            return [&target, whenTrue = std::move(whenTrue), whenFalse = std::move(whenFalse)](
                       const std::string& value) {
                target = value == whenTrue;
                return target || value == whenFalse;
            };
        }

        static EntryReader number(int64_t& target, int64_t min, int64_t max)
        {
            return [&target, min, max](const std::string& value) {
                return absl::SimpleAtoi(value, &target) && target >= min && target <= max;
            };
        }

        static EntryReader list(std::vector<std::string>& target)
        {
            return [&target](const std::string& value) {
                target = splitList(value);
                return !target.empty();
            };
        }

        void readService(const Section& section)
        {
            int64_t partitions = 0;
            bool learnsConcurrency = false;
            readFields(section,
                { { "partitions", false, number(partitions, 0, maxPartitions),
                      fmt::format("a number from 0 to {}", maxPartitions) },
                    { "divided-by-key", false, [](const std::string& value) { return value == "no"; }, "no" },
                    { "learn-concurrency", false, choice(learnsConcurrency, "yes", "no"),
                        "'yes' or 'no'" } });
            ServiceConfig service;
            service.name = section.name;
            service.partitions = static_cast<int>(partitions);
            service.learnsConcurrency = learnsConcurrency;
            result_.configuration.services[section.name] = std::move(service);
        }

        static EntryReader routeType(RouteType& target)
        {
            return [&target](const std::string& value) {
                const auto found = std::find_if(routeTypes.begin(), routeTypes.end(),
                    [&value](const auto& each) { return each.first == value; });
                if (found == routeTypes.end())
                    return false;
                target = found->second;
                return true;
            };
        }

        void readRoute(const Section& section)
        {
            RouteConfig route;
            route.name = section.name;
            bool isIdempotent = false;
            readFields(section,
                { { "service", true, text(route.service), "the name of a service" },
                    { "path", true,
                        [&route](const std::string& value) {
                            if (value.empty() || value.front() != '/')
                                return false;
                            route.pathSegments = absl::StrSplit(value.substr(1), '/');
                            const auto star
                                = std::find(route.pathSegments.begin(), route.pathSegments.end(), "*");
                            return star == route.pathSegments.end() || star + 1 == route.pathSegments.end();
                        },
                        "a path that begins with '/' and has '*' only at its end" },
                    { "key-header", false, text(route.keyHeader), "the name of a header" },
                    { "methods", false, list(route.methods), "a list of methods" },
                    { "teams", false, list(route.teams), "a list of teams" },
                    { "access", true, choice(route.allowsAnonymous, "open", "team"), "'open' or 'team'" },
                    { "type", false, routeType(route.type), "'once', 'idempotent' or 'download'" },
                    { "idempotent", false, choice(isIdempotent, "yes", "no"), "'yes' or 'no'" } });
            const bool hasType = hasEntry(section, "type");
            if (hasType && hasEntry(section, "idempotent"))
                fail(section.location,
                    fmt::format("route '{}' has both 'type' and 'idempotent'", section.name));
            if (!hasType && isIdempotent)
                route.type = RouteType::Idempotent;
            routeLocations_.push_back(section.location);
            result_.configuration.routes.push_back(std::move(route));
        }

        void readTeam(const Section& section)
        {
            TeamConfig team;
            team.name = section.name;
            const auto expectation = fmt::format("a whole number from 1 to {}", maxRate);
            readFields(section,
                { { "rate", true, number(team.ratePerSecond, 1, maxRate), expectation },
                    { "burst", true, number(team.burst, 1, maxRate), expectation } });
            result_.configuration.teams[section.name] = team;
        }

        void readKey(const Section& section)
        {
            KeyConfig key;
            key.name = section.name;
            const auto isDigest = [&key](const std::string& value) {
                key.sha256 = value;
                const bool isHex = value.find_first_not_of("0123456789abcdef") == std::string::npos;
                return isHex && value.size() == sha256Digits;
            };
            readFields(section,
                { { "team", true, text(key.team), "the name of a team" },
                    { "sha256", true, isDigest, "64 lower-case hexadecimal digits" } });
            if (!key.sha256.empty() && !digests_.insert(key.sha256).second)
                fail(section.location, fmt::format("key '{}' has the hash of another key", section.name));
            keyLocations_[section.name] = section.location;
            result_.configuration.keys[section.name] = key;
        }

        void readZone(const Section& section)
        {
            ZoneConfig zone;
            zone.name = section.name;
            readFields(
                section, { { "state", true, choice(zone.isEvacuated, "out", "in"), "'in' or 'out'" } });
            result_.configuration.zones[section.name] = zone;
        }

        void checkReferences()
        {
            const Configuration& configuration = result_.configuration;
            for (size_t i = 0; i < configuration.routes.size(); ++i)
                checkRoute(configuration.routes[i], routeLocations_[i]);
            for (const auto& [name, key] : configuration.keys) {
                if (!key.team.empty() && configuration.teams.count(key.team) == 0)
                    fail(keyLocations_[name],
                        fmt::format("key '{}' refers to undeclared team '{}'", name, key.team));
            }
        }

        void checkRoute(const RouteConfig& route, const FileLocation& location)
        {
            for (const std::string& team : route.teams) {
                if (result_.configuration.teams.count(team) == 0)
                    fail(
                        location, fmt::format("route '{}' refers to undeclared team '{}'", route.name, team));
            }
            const auto service = result_.configuration.services.find(route.service);
            if (service == result_.configuration.services.end())
                return fail(location,
                    fmt::format("route '{}' refers to undeclared service '{}'", route.name, route.service));
            const auto& segments = route.pathSegments;
            const auto keySegments = std::count(segments.begin(), segments.end(), "{key}");
            const auto keySources = keySegments + (route.keyHeader.empty() ? 0 : 1);
            if (service->second.isKeyed() && keySources != 1)
                fail(location,
                    fmt::format(
                        "route '{}' needs exactly one key source: {{key}} or key-header", route.name));
            if (!service->second.isKeyed() && keySources != 0)
                fail(location,
                    fmt::format(
                        "route '{}' has a key source, but its service has no partitions", route.name));
        }

        ParsedConfiguration result_;
        std::set<std::string> seen_;
        std::set<std::string> digests_;
        std::vector<FileLocation> routeLocations_;
        std::map<std::string, FileLocation> keyLocations_;
    };

}

ParsedConfiguration parseConfiguration(const std::vector<IniText>& files)
{
    return Parser().parse(files);
}

}
