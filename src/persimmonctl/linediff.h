#pragma once

#include <string>

namespace persimmonfield {

// Compares two texts by lines. Returns the removed lines prefixed with "- " and the added lines prefixed with
// "+ ", in text order and without context lines.
std::string lineDiff(const std::string& before, const std::string& after);

}
