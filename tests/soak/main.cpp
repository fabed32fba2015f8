#include "soak/soak.h"

#include <docopt/docopt.h>

#include <filesystem>
#include <iostream>

static const char usage[] = R"(A soak test of the platform daemon: real processes under random faults.

Usage:
  persimmonfield-soak --program=PATH --directory=DIR [--seed=N] [--seconds=N]

Options:
  --program=PATH   Path of the daemon.
  --directory=DIR  Directory for settings and logs.
  --seed=N         Seed for the faults and the requests [default: 1].
  --seconds=N      How long faults are injected [default: 30].
)";

int main(int argc, char** argv)
{
    using namespace persimmonfield;
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    soak::SoakOptions options;
    options.program = arguments.at("--program").asString();
    options.directory = arguments.at("--directory").asString();
    options.seed = static_cast<uint64_t>(arguments.at("--seed").asLong());
    options.duration = std::chrono::seconds(arguments.at("--seconds").asLong());
    std::filesystem::create_directories(options.directory);
    soak::Soak soak(options);
    const std::vector<std::string> violations = soak.run();
    for (const std::string& line : violations)
        std::cout << "BROKEN " << line << "\n";
    std::cout << "seed " << options.seed << ": " << soak.summary() << ", " << violations.size()
              << " broken\n";
    return violations.empty() ? 0 : 1;
}
