#include "soak/soak.h"

#include <docopt/docopt.h>

#include <filesystem>
#include <iostream>

static const char usage[] = R"(A soak of the platform's daemon: real processes under random faults.

Usage:
  persimmonfield-soak --program=PATH --directory=DIR [--seed=N] [--seconds=N]

Options:
  --program=PATH   The daemon.
  --directory=DIR  Where settings and logs are put.
  --seed=N         Of the faults and the requests [default: 1].
  --seconds=N      How long faults come [default: 30].
)";

int main(int argc, char** argv)
{
    using namespace persimmonfield;
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    soak::SoakOptions options;
    options.program = arguments.at("--program").asString();
    options.directory = arguments.at("--directory").asString();
    options.seed = static_cast<uint64_t>(arguments.at("--seed").asLong());
    options.length = std::chrono::seconds(arguments.at("--seconds").asLong());
    std::filesystem::create_directories(options.directory);
    soak::Soak soak(options);
    const std::vector<std::string> breaks = soak.run();
    for (const std::string& line : breaks)
        std::cout << "BROKEN " << line << "\n";
    std::cout << "seed " << options.seed << ": " << soak.summary() << ", " << breaks.size() << " broken\n";
    return breaks.empty() ? 0 : 1;
}
