#pragma once

#include <string>
#include <vector>

namespace persimmonfield::bench {

// How a figure is compared with its bound.
enum class BoundKind {
    AtMost,
    AtLeast,
    None, // Given beside the others, without a bound of its own.
};

struct Row {
    std::string name;
    double figure = 0;
    std::string unit;
    BoundKind kind = BoundKind::None;
    double bound = 0;

    bool isOk() const;
};

// The rows of one run.
class Report {
public:
    void add(const std::string& name, double figure, const std::string& unit);
    void atMost(const std::string& name, double figure, const std::string& unit, double bound);
    void atLeast(const std::string& name, double figure, const std::string& unit, double bound);

    // Prints a row a line; as JSON lines for programs.
    void print(bool asJson) const;
    bool isOk() const;

private:
    std::vector<Row> rows_;
};

}
