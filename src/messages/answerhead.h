#pragma once

#include <cstdint>
#include <string_view>

namespace persimmonfield {

// Whether the status is that of a final response of HTTP, which ends its request.
bool isFinalStatus(int64_t status);

// Whether the text can be the name of a header field: a token of RFC 9110, 5.6.2.
bool isFieldName(std::string_view name);

}
