#include "base/boundedjson.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    using nlohmann::json;

    constexpr std::string_view whitespace = " \t\r\n";

    absl::Status invalid(const char* cause)
    {
        return absl::InvalidArgumentError(cause);
    }

    bool isOpening(char character)
    {
        return character == '[' || character == '{';
    }

    bool isClosing(char character)
    {
        return character == ']' || character == '}';
    }

    // Returns the position after the string literal that starts at `at`.
    size_t endOfString(std::string_view text, size_t at)
    {
        for (++at; at < text.size() && text[at] != '"'; ++at) {
            if (text[at] == '\\')
                ++at;
        }
        return std::min(at + 1, text.size());
    }

    // Returns the position after the value that starts at `at`: of the next comma or closing bracket outside
    // of the value, or the end of the text.
    size_t endOfValue(std::string_view text, size_t at)
    {
        int depth = 0;
        while (at < text.size()) {
            const char character = text[at];
            if (character == '"') {
                at = endOfString(text, at);
                continue;
            }
            if (depth == 0 && (character == ',' || isClosing(character)))
                return at;
            depth += isOpening(character) ? 1 : 0;
            depth -= isClosing(character) ? 1 : 0;
            ++at;
        }
        return at;
    }

    bool isTooDeep(std::string_view text)
    {
        int depth = 0;
        for (size_t at = 0; at < text.size();) {
            if (text[at] == '"') {
                at = endOfString(text, at);
                continue;
            }
            depth += isOpening(text[at]) ? 1 : 0;
            depth -= isClosing(text[at]) ? 1 : 0;
            if (depth > maxJsonDepth)
                return true;
            ++at;
        }
        return false;
    }

    std::string_view trimmed(std::string_view text)
    {
        const size_t first = text.find_first_not_of(whitespace);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
    }

    // Calls `onPart` with each part between the brackets that is separated by a comma.
    template <typename OnPart>
    absl::Status splitParts(std::string_view text, char opening, char closing, const OnPart& onPart)
    {
        text = trimmed(text);
        if (text.size() < 2 || text.front() != opening || text.back() != closing)
            return invalid("the brackets are missing");
        text = text.substr(1, text.size() - 2);
        if (trimmed(text).empty())
            return absl::OkStatus();
        for (size_t at = 0; at <= text.size();) {
            const size_t end = endOfValue(text, at);
            if (end < text.size() && text[end] != ',')
                return invalid("a bracket is closed that was not opened");
            if (absl::Status status = onPart(trimmed(text.substr(at, end - at))); !status.ok())
                return status;
            at = end + 1;
        }
        return absl::OkStatus();
    }

}

absl::StatusOr<json> parseJson(std::string_view text)
{
    if (isTooDeep(text))
        return invalid("the text is nested too deeply");
    try {
        return json::parse(text);
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

absl::StatusOr<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    std::vector<std::string_view> elements;
    const absl::Status status = splitParts(text, '[', ']', [&elements](std::string_view part) {
        elements.push_back(part);
        return absl::OkStatus();
    });
    if (!status.ok())
        return status;
    return elements;
}

absl::StatusOr<std::map<std::string, std::string_view>> splitJsonObject(std::string_view text)
{
    std::map<std::string, std::string_view> members;
    const absl::Status status = splitParts(text, '{', '}', [&members](std::string_view part) {
        const size_t nameEnd = part.empty() || part.front() != '"' ? 0 : endOfString(part, 0);
        const size_t colon = part.find_first_not_of(whitespace, nameEnd);
        const auto name = parseJson(part.substr(0, nameEnd));
        if (!name.ok() || !name->is_string() || colon == std::string_view::npos || part[colon] != ':')
            return invalid("a member has no name");
        members[name->get<std::string>()] = trimmed(part.substr(colon + 1));
        return absl::OkStatus();
    });
    if (!status.ok())
        return status;
    return members;
}

}
