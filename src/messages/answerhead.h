#pragma once

#include <string_view>

namespace persimmonfield {

// Whether the text can be the name of a header field: a token of RFC 9110, 5.6.2.
bool isFieldName(std::string_view name);

}
