#pragma once

#include <string>

namespace persimmonfield {

// The lines by which two texts differ, each marked with "- " or "+ ", in the order of the texts.
std::string lineDiff(const std::string& before, const std::string& after);

}
