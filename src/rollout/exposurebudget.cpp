#include "rollout/exposurebudget.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    // Requests that an instance may save up, so that it does not send them at once later.
    constexpr double maxAvailable = 2;

}

ExposureBudget::ExposureBudget(double initial)
    : available_(initial)
{
}

void ExposureBudget::onServed()
{
    available_ = std::min(maxAvailable, available_ + share_);
}

bool ExposureBudget::take()
{
    if (available_ < 1)
        return false;
    available_ -= 1;
    return true;
}

void ExposureBudget::giveBack()
{
    available_ = std::min(maxAvailable, available_ + 1);
}

}
