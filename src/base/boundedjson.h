#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonfield {

// Parses JSON from an untrusted source. Returns InvalidArgument if the text is malformed, contains a number
// that is too large, or is nested more deeply than `maxJsonDepth`: the JSON library copies and writes values
// recursively, so a deep one would overflow the stack.
absl::StatusOr<nlohmann::json> parseJson(std::string_view text);

// Deepest nesting of arrays and objects that parseJson() accepts.
inline constexpr int maxJsonDepth = 64;

// Returns the texts of the elements of a JSON array, or of the members of a JSON object by name, without
// parsing them, so that one that cannot be parsed does not affect the others. Returns InvalidArgument if the
// text is not an array, or not an object.
absl::StatusOr<std::vector<std::string_view>> splitJsonArray(std::string_view text);
absl::StatusOr<std::map<std::string, std::string_view>> splitJsonObject(std::string_view text);

}
