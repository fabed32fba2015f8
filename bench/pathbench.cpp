#include "bench/benches.h"
#include "bench/load.h"

namespace persimmonfield::bench {
namespace {

    using testing::Fleet;
    using testing::HttpCall;

    constexpr int firstPort = 25'000;
    constexpr int partitions = 16;
    constexpr int threads = 32;
    constexpr int slots = 64;
    constexpr size_t bodyBytes = 512;
    constexpr double addedP99BoundMs = 2;

    HttpCall makeCall(int thread, int number)
    {
        HttpCall call;
        call.method = "POST";
        call.target = "/signatures/" + std::to_string(thread) + "-" + std::to_string(number % 64);
        call.headers.emplace("Authorization", "Bearer " + testing::keyOf("large"));
        call.headers.emplace("Content-Type", "application/octet-stream");
        call.body = std::string(bodyBytes, 'x');
        return call;
    }

}

void benchPath(const Environment& environment, Report& report)
{
    Fleet fleet(environment.binaryDirectory, firstPort);
    fleet.startPlatform();
    fleet.addInstance({ "one", "a", "cards", { "--echo" }, false, slots, 256 });
    fleet.addInstance({ "two", "b", "cards", { "--echo" }, false, slots, 256 });
    fleet.apply("[service cards]\npartitions = 16\n"
                "[route signatures]\nservice = cards\npath = /signatures/{key}\naccess = team\n"
                "[team large]\nrate = 1000000\nburst = 1000000\n"
        + testing::keySection("large"));
    fleet.waitUntilOwned("cards", partitions);

    LoadSpec routed;
    routed.ports = { fleet.callerPort(0), fleet.callerPort(1) };
    routed.request = makeCall;
    routed.threads = threads;
    LoadSpec direct = routed;
    direct.ports = { fleet.serverPort(0), fleet.serverPort(1) };
    generateLoad(routed);
    const LoadResult routedMax = generateLoad(routed);
    const LoadResult directMax = generateLoad(direct);
    report.add("path.capacity.routed", routedMax.successesPerSecond(), "req/s");
    report.add("path.capacity.direct", directMax.successesPerSecond(), "req/s");
    routed.ratePerSecond = direct.ratePerSecond = routedMax.successesPerSecond() / 2;
    routed.duration = direct.duration = Milliseconds(5'000);
    const LoadResult directHalf = generateLoad(direct);
    const LoadResult routedHalf = generateLoad(routed);
    report.add("path.half.direct.p50", directHalf.percentile(0.5), "ms");
    report.add("path.half.direct.p99", directHalf.percentile(0.99), "ms");
    report.add("path.half.routed.p50", routedHalf.percentile(0.5), "ms");
    report.add("path.half.routed.p99", routedHalf.percentile(0.99), "ms");
    report.atMost("path.half.added.p99", routedHalf.percentile(0.99) - directHalf.percentile(0.99), "ms",
        addedP99BoundMs);
    report.atMost("path.half.failed",
        static_cast<double>(routedHalf.statuses.size() - routedHalf.latenciesMs.size()), "requests", 0);
}

}
