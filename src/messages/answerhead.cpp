#include "messages/answerhead.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace persimmonfield {

bool isFinalStatus(int64_t status)
{
    constexpr int64_t first = 200;
    constexpr int64_t last = 599;
    return status >= first && status <= last;
}

bool isFieldName(std::string_view name)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [symbols](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c))
            || symbols.find(c) != std::string_view::npos;
    });
}

}
