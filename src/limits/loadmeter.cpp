#include "limits/loadmeter.h"

#include <algorithm>
#include <cmath>

namespace persimmonfield {
namespace {

    // Half-life of the decay. It suits requests that take between a tenth of the half-life and all of it.
    constexpr Milliseconds halfLife { 500 };

}

double LoadMeter::mean(TimePoint now) const
{
    const Duration passed = std::max(Duration::zero(), now - updatedAt_);
    const double halfLives
        = static_cast<double>(passed.count()) / static_cast<double>(Duration(halfLife).count());
    return level_ + (mean_ - level_) * std::exp2(-halfLives);
}

void LoadMeter::add(Duration time, TimePoint now)
{
    mean_ = mean(now)
        + std::log(2.0) * static_cast<double>(time.count()) / static_cast<double>(Duration(halfLife).count());
    updatedAt_ = std::max(updatedAt_, now);
}

void LoadMeter::set(double level, TimePoint now)
{
    mean_ = mean(now);
    level_ = level;
    updatedAt_ = std::max(updatedAt_, now);
}

}
