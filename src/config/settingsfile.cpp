#include "config/settingsfile.h"

#include "base/address.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <map>
#include <set>

namespace persimmonfield {
namespace {

    using nlohmann::json;

    constexpr int64_t defaultServerSlots = 10;
    constexpr int64_t defaultCallerConnections = 512;

    enum class SettingType {
        Text,
        Name,
        SocketAddress,
        AddressList,
        Number,
        YesOrNo,
        Level,
    };

    struct SettingRule {
        std::string member;
        SettingType type = SettingType::Text;
        json initial; // The default value; null if the setting is required.
    };

    const std::map<std::string, SettingRule>& settingRules()
    {
        static const std::map<std::string, SettingRule> rules {
            { "name", { "name", SettingType::Name, {} } },
            { "zone", { "zone", SettingType::Name, {} } },
            { "service", { "service", SettingType::Name, {} } },
            { "caller-address", { "callerAddress", SettingType::SocketAddress, {} } },
            { "peer-address", { "peerAddress", SettingType::SocketAddress, {} } },
            { "operator-address", { "operatorAddress", SettingType::SocketAddress, {} } },
            { "server-address", { "serverAddress", SettingType::SocketAddress, {} } },
            { "server-checks-fences", { "serverChecksFences", SettingType::YesOrNo, false } },
            { "server-slots", { "serverSlots", SettingType::Number, defaultServerSlots } },
            { "platform", { "platform", SettingType::Text, {} } },
            { "peer-secret-file", { "peerSecretFile", SettingType::Text, {} } },
            { "seeds", { "seeds", SettingType::AddressList, json::array() } },
            { "log-level", { "logLevel", SettingType::Level, "info" } },
            { "caller-connections", { "callerConnections", SettingType::Number, defaultCallerConnections } },
        };
        return rules;
    }

    // Returns the value as JSON, or null if the text is not valid for the type. `expectation` describes valid
    // text.
    json convert(SettingType type, const std::string& value, std::string& expectation)
    {
        switch (type) {
        case SettingType::Text:
            expectation = "a non-empty text";
            return value.empty() ? json() : json(value);
        case SettingType::Name:
            expectation = "a name of letters, digits, '-', '_' and '.'";
            for (char letter : value) {
                if (!absl::ascii_isalnum(static_cast<unsigned char>(letter))
                    && std::string_view("-_.").find(letter) == std::string_view::npos)
                    return {};
            }
            return value.empty() ? json() : json(value);
        case SettingType::SocketAddress:
            expectation = "IP:PORT";
            return parseAddress(value).ok() ? json(value) : json();
        case SettingType::AddressList: {
            expectation = "a list of IP:PORT";
            json list = json::array();
            for (absl::string_view item : absl::StrSplit(value, ',', absl::SkipWhitespace())) {
                const std::string text(absl::StripAsciiWhitespace(item));
                if (!parseAddress(text).ok())
                    return {};
                list.push_back(text);
            }
            return list;
        }
        case SettingType::Number: {
            expectation = "a whole number above 0";
            int64_t number = 0;
            return absl::SimpleAtoi(value, &number) && number > 0 ? json(number) : json();
        }
        case SettingType::YesOrNo:
            expectation = "'yes' or 'no'";
            return value == "yes" ? json(true) : value == "no" ? json(false) : json();
        case SettingType::Level:
            expectation = "debug, info, warning or error";
            return value == "debug" || value == "info" || value == "warning" || value == "error" ? json(value)
                                                                                                 : json();
        }
        return {};
    }

}

ParsedSettings parseSettings(const IniText& file)
{
    ParsedSettings result;
    IniContent content = parseIni(file);
    result.errors = std::move(content.errors);
    json members = json::object();
    std::set<std::string> given;
    for (const IniEntry& entry : content.entries) {
        const auto fail = [&](const std::string& cause) {
            result.errors.push_back({ file.name, entry.line, cause });
        };
        const auto rule = settingRules().find(entry.name);
        std::string expectation;
        if (entry.section != "persimmonfieldd")
            fail(fmt::format("unknown section [{}]", entry.section));
        else if (rule == settingRules().end())
            fail(fmt::format("unknown setting '{}'", entry.name));
        else if (!given.insert(entry.name).second)
            fail(fmt::format("'{}' is given twice", entry.name));
        else if (json value = convert(rule->second.type, entry.value, expectation); value.is_null())
            fail(fmt::format("'{}' must be {}, not '{}'", entry.name, expectation, entry.value));
        else
            members[rule->second.member] = std::move(value);
    }
    for (const auto& [name, rule] : settingRules()) {
        if (members.contains(rule.member))
            continue;
        if (rule.initial.is_null() && given.count(name) == 0)
            result.errors.push_back({ file.name, 0, fmt::format("'{}' is not set", name) });
        else
            members[rule.member] = rule.initial;
    }
    if (result.errors.empty())
        result.settings = members.get<settings::SettingsSchema>();
    return result;
}

}
