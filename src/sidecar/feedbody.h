#pragma once

#include "store/storedialect.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace persimmonfield {

// The objects of a FeedPage as the body of its frame.
std::string writeFeedBody(const std::vector<StoreObject>& objects);

// Reads the objects of a FeedPage. Returns InvalidArgument if the body is malformed.
absl::StatusOr<std::vector<StoreObject>> readFeedBody(const std::string& kind, const std::string& body);

}
