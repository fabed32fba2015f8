#include "limits/loadmeter.h"

#include <algorithm>
#include <cmath>

namespace persimmonfield {
namespace {

    // After this time a level that ended counts half: requests last a tenth of it to a whole one.
    constexpr Milliseconds halfLife { 500 };

}

double LoadMeter::mean(TimePoint now) const
{
    const Duration passed = std::max(Duration::zero(), now - setAt_);
    const double halves
        = static_cast<double>(passed.count()) / static_cast<double>(Duration(halfLife).count());
    return level_ + (mean_ - level_) * std::exp2(-halves);
}

void LoadMeter::add(Duration time, TimePoint now)
{
    mean_ = mean(now)
        + std::log(2.0) * static_cast<double>(time.count()) / static_cast<double>(Duration(halfLife).count());
    setAt_ = std::max(setAt_, now);
}

void LoadMeter::set(double level, TimePoint now)
{
    mean_ = mean(now);
    level_ = level;
    setAt_ = std::max(setAt_, now);
}

}
