#pragma once

#include "base/time.h"
#include "ownership/keyload.h"
#include "ownership/loadspread.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// The portions of a busy server's load that are to move to other members, until they are in the key table. A
// write changes only one part of the table, and it fails when another instance has written that part first;
// the portions then remain due for a while. Does no I/O and reads no clock.
class KeyOffload {
public:
    // Replaces the portions that are not in the table yet.
    void begin(std::vector<LoadPortion> portions, TimePoint now);

    // Returns the table with portions marked as moving, all in one part; nullopt if none is due. The caller
    // writes the table and calls onWritten().
    std::optional<stored::KeyTable> nextTable(
        const stored::KeyTable& table, const std::string& instance, const KeyLoad& load, TimePoint now);

    void onWritten(bool isApplied);

    // Whether portions are due.
    bool isOpen(TimePoint now) const { return !open_.empty() && now < until_; }

private:
    std::vector<LoadPortion> open_;
    std::vector<LoadPortion> pending_; // In the write in progress.
    TimePoint until_;
};

}
