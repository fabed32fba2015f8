#pragma once

#include <string>
#include <vector>

namespace persimmonfield::bench {

// How a value is compared with its bound.
enum class BoundKind {
    AtMost,
    AtLeast,
    None, // For information only.
};

struct Row {
    std::string name;
    double value = 0;
    std::string unit;
    BoundKind kind = BoundKind::None;
    double bound = 0;

    bool isOk() const;
};

// The results of one benchmark run.
class Report {
public:
    void add(const std::string& name, double value, const std::string& unit);
    void atMost(const std::string& name, double value, const std::string& unit, double bound);
    void atLeast(const std::string& name, double value, const std::string& unit, double bound);

    // Prints one row per line, as a table or as JSON lines.
    void print(bool asJson) const;
    bool isOk() const;

private:
    std::vector<Row> rows_;
};

}
