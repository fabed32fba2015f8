// Clients send orders with bodies of 100 KB to two machines. The links of the three machines that serve
// them are squeezed to 10 Mbit/s. As the platform does, the script kills a process whose memory exceeds
// `memoryMb` and starts it again after a second.
#include "harness.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int memoryMb = 160;
constexpr int64_t memoryLimit = int64_t { memoryMb } * 1024 * 1024;
constexpr double linkRate = 10e6; // Bits per second.
constexpr size_t bodyBytes = 100'000;
constexpr double requestsPerSecond = 80; // At each of the two machines.
constexpr double deadlineSeconds = 1.5;
constexpr double playSeconds = 100;

std::mutex mutex;
std::map<int, int> answers; // By status; 0 if the client gave up or was cut off.
std::map<std::string, double> gaveUpAt; // By request.

void sendRequest(int port)
{
    const std::string id = newRequestId();
    const double deadline = now() + deadlineSeconds;
    int status = 0;
    if (const auto connection = connectTo(port)) {
        connection->send(requestText("POST", "/fulfilment/write/order",
            { { "Host", host }, { "Persimmonfield-Request-Id", id }, { "Persimmonfield-Deadline-Ms", "1500" },
                { "Authorization", std::string("Token ") + callerKey } },
            std::string(bodyBytes, 'x')));
        if (const auto answer = connection->read(deadline + 0.1))
            status = answer->status();
    }
    std::lock_guard lock(mutex);
    ++answers[status];
    if (status != 200)
        gaveUpAt[id] = now();
}

void playClients(const Machine& machine, double until)
{
    const double begin = now();
    for (int sent = 0; now() < until; ++sent) {
        sleepFor(begin + sent / requestsPerSecond - now());
        std::thread([port = machine.outboundPort()] { sendRequest(port); }).detach();
    }
}

}

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    const int storePort = freePorts(1);
    Store store(storePort);
    store.put("config", "main", configuration({ "gallery", "fulfilment" }, 1'500));
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<std::unique_ptr<RateProxy>> links;
    for (int i = 0; i < 5; ++i) {
        const std::string zone = std::string("zone-") + static_cast<char>('a' + i % 3);
        machines.push_back(std::make_unique<Machine>("auxiliary-" + std::to_string(i + 1), zone,
            i < 2 ? "gallery" : "fulfilment", storePort, memoryMb));
        Machine& machine = *machines.back();
        links.push_back(std::make_unique<RateProxy>(machine.proxyPort(), machine.peerPort()));
        store.setPeerAddress("127.0.0.1:" + std::to_string(machine.peerPort()),
            "127.0.0.1:" + std::to_string(machine.proxyPort()));
        machine.start();
        upstreams.push_back(std::make_unique<Upstream>("i-" + std::to_string(i + 1), machine.service(), zone,
            machine.serverPort(), machine.reportPort(), 0.05, 12));
    }
    std::vector<Machine*> all;
    for (const auto& machine : machines)
        all.push_back(machine.get());
    if (!waitUntilReady(all, 10)) {
        record("the machines are not ready");
        finish(2);
    }
    sleepFor(3);
    record(std::string("clients begin; links of auxiliary-3, -4 and -5 at ")
        + (hasTrouble() ? "10 Mbit/s" : "full rate"));
    for (size_t i = 2; hasTrouble() && i < links.size(); ++i)
        links[i]->setRate(linkRate);
    const double end = now() + playSeconds;
    std::thread first([&] { playClients(*machines[0], end); });
    std::thread second([&] { playClients(*machines[1], end); });
    std::map<std::string, int> ends;
    std::map<std::string, double> restartAt;
    std::map<std::string, int64_t> peak;
    for (double nextLine = now(); now() < end; sleepFor(0.05)) {
        for (Machine* machine : all) {
            if (!machine->isRunning()) {
                if (now() >= restartAt[machine->name()])
                    machine->start();
                continue;
            }
            const int64_t memory = machine->memory();
            peak[machine->name()] = std::max(peak[machine->name()], memory);
            if (memory > 0 && memory <= memoryLimit)
                continue;
            record(machine->name() + (memory > 0 ? " exceeds its memory: " : " has ended: ")
                + std::to_string(memory / 1'000'000) + " MB");
            machine->kill();
            ++ends[machine->name()];
            restartAt[machine->name()] = now() + 1;
        }
        if (now() >= nextLine) {
            nextLine += 5;
            std::lock_guard lock(mutex);
            std::string line = "memory in MB:";
            for (const Machine* machine : all)
                line += " " + std::to_string(machine->memory() / 1'000'000);
            line += "; answers:";
            for (const auto& [status, count] : answers)
                line += " " + std::to_string(status) + ": " + std::to_string(count);
            record(line);
        }
    }
    first.join();
    second.join();
    sleepFor(deadlineSeconds + 0.2);
    int late = 0;
    size_t runs = 0;
    {
        std::lock_guard lock(mutex);
        for (size_t i = 2; i < upstreams.size(); ++i) {
            for (const Run& run : upstreams[i]->runs()) {
                ++runs;
                const auto left = gaveUpAt.find(run.requestId);
                late += left != gaveUpAt.end() && run.at > left->second + 0.5 ? 1 : 0;
            }
        }
        for (const auto& [status, count] : answers)
            record("answered " + std::to_string(status) + ": " + std::to_string(count));
    }
    record("runs at upstreams: " + std::to_string(runs)
        + ", of these more than 0.5 s after the client's deadline: " + std::to_string(late));
    int machinesBroken = 0;
    for (const Machine* machine : all) {
        record(machine->name() + ": processes that ended by themselves: "
            + std::to_string(ends[machine->name()]) + ", most memory "
            + std::to_string(peak[machine->name()] / 1'000'000) + " MB of " + std::to_string(memoryMb));
        machinesBroken += ends[machine->name()] >= 3 ? 1 : 0;
    }
    finish(machinesBroken >= 2 ? 1 : 0);
}
