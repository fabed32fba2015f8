#include "persimmonctl/linediff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace persimmonfield {
namespace {

    std::vector<std::string> linesOf(const std::string& text)
    {
        std::vector<std::string> lines;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

    using Lengths = std::vector<std::vector<size_t>>;

    // lengths[i][j] is the length of the longest common subsequence of `before` from line i on and `after`
    // from line j on.
    Lengths commonSubsequenceLengths(
        const std::vector<std::string>& before, const std::vector<std::string>& after)
    {
        Lengths lengths(before.size() + 1, std::vector<size_t>(after.size() + 1));
        for (size_t i = before.size(); i-- > 0;) {
            for (size_t j = after.size(); j-- > 0;)
                lengths[i][j] = before[i] == after[j] ? lengths[i + 1][j + 1] + 1
                                                      : std::max(lengths[i + 1][j], lengths[i][j + 1]);
        }
        return lengths;
    }

}

std::string lineDiff(const std::string& before, const std::string& after)
{
    const auto old = linesOf(before);
    const auto updated = linesOf(after);
    const Lengths lengths = commonSubsequenceLengths(old, updated);
    std::string result;
    size_t i = 0;
    size_t j = 0;
    while (i < old.size() || j < updated.size()) {
        if (i < old.size() && j < updated.size() && old[i] == updated[j]) {
            ++i;
            ++j;
        } else if (j == updated.size() || (i < old.size() && lengths[i + 1][j] >= lengths[i][j + 1])) {
            result += "- " + old[i++] + "\n";
        } else {
            result += "+ " + updated[j++] + "\n";
        }
    }
    return result;
}

}
