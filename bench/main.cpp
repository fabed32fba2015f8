#include "bench/benches.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace {

using namespace persimmonfield::bench;

constexpr const char* usage
    = R"(Runs benchmarks of persimmonfield and checks the results against their bounds.

Usage:
  persimmonfield-bench [NAME] [--json]

NAME is path, ownership, requests, config or capacity; all benchmarks run if it is omitted.
Exit codes: 0 within all bounds, 1 a bound is violated, 2 invalid arguments.
)";

struct Bench {
    std::string name;
    std::function<void(const Environment&, Report&)> run;
};

}

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const std::vector<Bench> benches { { "path", benchPath }, { "ownership", benchOwnership },
        { "requests", benchRequests }, { "config", benchConfig }, { "capacity", benchCapacity } };
    const std::string wanted = arguments["NAME"].isString() ? arguments["NAME"].asString() : std::string();
    const Environment environment { std::filesystem::path(argv[0]).parent_path().string() };
    bool isKnown = false;
    bool isOk = true;
    for (const Bench& bench : benches) {
        if (!wanted.empty() && bench.name != wanted)
            continue;
        isKnown = true;
        Report report;
        bench.run(environment, report);
        report.print(arguments["--json"].asBool());
        isOk = isOk && report.isOk();
    }
    if (!isKnown) {
        fmt::print(stderr, "{}", usage);
        return 2;
    }
    return isOk ? 0 : 1;
}
