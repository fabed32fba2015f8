#include "fleet/traffic.h"

#include <algorithm>
#include <utility>

namespace persimmonfield::testing {

Traffic::Traffic(Fleet& fleet, TrafficSpec spec)
    : fleet_(fleet)
    , spec_(std::move(spec))
{
    for (int i = 0; i < spec_.threads; ++i)
        threads_.emplace_back([this, i] { run(i); });
}

Traffic::~Traffic()
{
    stop();
}

std::vector<SentRequest> Traffic::stop()
{
    isStopping_ = true;
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
    std::sort(requests_.begin(), requests_.end(),
        [](const SentRequest& left, const SentRequest& right) { return left.ended < right.ended; });
    return requests_;
}

void Traffic::run(int thread)
{
    for (int number = 0; !isStopping_; ++number) {
        SentRequest request;
        request.target = spec_.pathPrefix + std::to_string(thread) + "-" + std::to_string(number);
        HttpCall toSend { spec_.method, request.target, {}, {} };
        toSend.headers.emplace("Authorization", "Bearer " + keyOf(spec_.team));
        const size_t instance
            = spec_.ingressInstances[static_cast<size_t>(thread + number) % spec_.ingressInstances.size()];
        request.began = BootClock::now();
        const HttpAnswer answer = call(fleet_.callerPort(instance), toSend);
        request.ended = BootClock::now();
        request.reason = answer.header("Persimmonfield-Reason");
        const std::string outcome = answer.header("Persimmonfield-Outcome");
        if (answer.status == 200)
            request.outcome = CallOutcome::Answered;
        else if (answer.status != 0)
            request.outcome = outcome == "not-run" ? CallOutcome::NotRun : CallOutcome::Unknown;
        {
            std::lock_guard lock(mutex_);
            requests_.push_back(std::move(request));
        }
        ++sent_;
        std::this_thread::sleep_for(spec_.pause);
    }
}

std::map<std::string, int> countRuns(const Fleet& fleet)
{
    std::map<std::string, int> total;
    for (size_t i = 0; i < fleet.size(); ++i) {
        const nlohmann::json recorded = fleet.runs(i);
        if (recorded.is_null())
            continue;
        for (const auto& [target, count] : recorded["runs"].items())
            total[target] += count.get<int>();
    }
    return total;
}

std::vector<size_t> instancesExcept(const Fleet& fleet, const std::set<size_t>& excluded)
{
    std::vector<size_t> rest;
    for (size_t i = 0; i < fleet.size(); ++i) {
        if (excluded.count(i) == 0)
            rest.push_back(i);
    }
    return rest;
}

}
