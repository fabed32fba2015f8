#include "bench/report.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace persimmonfield::bench {
namespace {

    const char* verdict(const Row& row)
    {
        if (row.kind == BoundKind::None)
            return "-";
        return row.isOk() ? "ok" : "FAIL";
    }

    std::string boundText(const Row& row)
    {
        if (row.kind == BoundKind::None)
            return "-";
        return fmt::format("{} {:g}", row.kind == BoundKind::AtMost ? "<=" : ">=", row.bound);
    }

}

bool Row::isOk() const
{
    if (kind == BoundKind::AtMost)
        return value <= bound;
    return kind == BoundKind::None || value >= bound;
}

void Report::add(const std::string& name, double value, const std::string& unit)
{
    rows_.push_back({ name, value, unit, BoundKind::None, 0 });
}

void Report::atMost(const std::string& name, double value, const std::string& unit, double bound)
{
    rows_.push_back({ name, value, unit, BoundKind::AtMost, bound });
}

void Report::atLeast(const std::string& name, double value, const std::string& unit, double bound)
{
    rows_.push_back({ name, value, unit, BoundKind::AtLeast, bound });
}

void Report::print(bool asJson) const
{
    for (const Row& row : rows_) {
        if (asJson) {
            const nlohmann::json line { { "name", row.name }, { "figure", row.value }, { "unit", row.unit },
                { "bound", boundText(row) }, { "verdict", verdict(row) } };
            fmt::print("{}\n", line.dump());
        } else {
            fmt::print("{:58} {:>12.4g} {:10} {:>10} {}\n", row.name, row.value, row.unit, boundText(row),
                verdict(row));
        }
    }
}

bool Report::isOk() const
{
    return std::all_of(rows_.begin(), rows_.end(), [](const Row& row) { return row.isOk(); });
}

}
