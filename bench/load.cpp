#include "bench/load.h"

#include <httplib.h>

#include <algorithm>
#include <thread>

namespace persimmonfield::bench {
namespace {

    constexpr double nanosecondsPerMillisecond = 1e6;

    void runThread(const LoadSpec& spec, int thread, TimePoint began, LoadResult& result)
    {
        httplib::Client client("127.0.0.1", spec.ports[static_cast<size_t>(thread) % spec.ports.size()]);
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_read_timeout(60, 0);
        const bool isPaced = spec.ratePerSecond > 0;
        const Duration interval(isPaced ? static_cast<int64_t>(1e9 * spec.threads / spec.ratePerSecond) : 0);
        TimePoint due = began + interval * thread / spec.threads;
        const TimePoint end = began + spec.duration;
        for (int number = 0; BootClock::now() < end; ++number) {
            if (isPaced)
                std::this_thread::sleep_for(due - BootClock::now());
            else
                due = BootClock::now();
            const auto answer = client.send(testing::toHttplibRequest(spec.request(thread, number)));
            const int status = answer ? answer->status : 0;
            result.statuses.push_back(status);
            if (status == 200)
                result.latenciesMs.push_back(
                    static_cast<double>((BootClock::now() - due).count()) / nanosecondsPerMillisecond);
            due += interval;
        }
    }

}

double LoadResult::percentile(double share) const
{
    if (latenciesMs.empty())
        return 0;
    const auto index = static_cast<size_t>(share * static_cast<double>(latenciesMs.size() - 1));
    return latenciesMs[index];
}

int LoadResult::count(int status) const
{
    return static_cast<int>(std::count(statuses.begin(), statuses.end(), status));
}

LoadResult generateLoad(const LoadSpec& spec)
{
    std::vector<LoadResult> parts(static_cast<size_t>(spec.threads));
    std::vector<std::thread> threads;
    const TimePoint began = BootClock::now();
    for (int i = 0; i < spec.threads; ++i)
        threads.emplace_back([&, i] { runThread(spec, i, began, parts[static_cast<size_t>(i)]); });
    for (std::thread& thread : threads)
        thread.join();
    LoadResult all;
    all.seconds = std::chrono::duration<double>(BootClock::now() - began).count();
    for (const LoadResult& part : parts) {
        all.latenciesMs.insert(all.latenciesMs.end(), part.latenciesMs.begin(), part.latenciesMs.end());
        all.statuses.insert(all.statuses.end(), part.statuses.begin(), part.statuses.end());
    }
    std::sort(all.latenciesMs.begin(), all.latenciesMs.end());
    return all;
}

}
