#include "base/random.h"

#include <memory>
#include <random>

namespace persimmonfield {

std::function<uint64_t()> randomSource()
{
    auto engine = std::make_shared<std::mt19937_64>(std::random_device {}());
    return [engine] { return (*engine)(); };
}

}
