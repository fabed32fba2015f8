// MIXED: an upstream hands out wrong bytes in the heads of some answers.

#include "fleet.h"

#include <random>

using namespace review;

namespace {

constexpr const char* signatureHeader = "Persimmonfield-Response-Signature";
constexpr int requestCount = 16'000;
constexpr size_t requestsAtOnce = 8;
// The share of the answers that have a wrong byte.
constexpr double spoiledShare = 0.03;

bool play(const std::string& recordPath)
{
    Fleet fleet(recordPath);
    const std::string service = "orders";
    for (const char* zone : { "zone-a", "zone-b" }) {
        Machine& machine = fleet.addMachine(zone, service);
        machine.upstreamListen = newAddress();
    }
    fleet.store->put("config", "main", configuration({ rule("orders", "non_idempotent", "/orders/", service) }, { service }));
    std::mt19937 random(7);
    int spoiled = 0;
    std::vector<std::unique_ptr<FaultProxy>> outputs;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (const auto& machine : fleet.machines) {
        // The last part of the upstream, which sends its bytes.
        outputs.push_back(std::make_unique<FaultProxy>(fleet.loop, machine->upstream, machine->upstreamListen));
        const bool isFaulty = hasTrouble() && outputs.size() == 1;
        outputs.back()->setResponseFilter([&, isFaulty](std::string& bytes) {
            const size_t headSize = bytes.find("\r\n\r\n");
            const bool isAnswer = bytes.rfind("HTTP/1.1 200", 0) == 0 && headSize != std::string::npos;
            if (!isFaulty || !isAnswer || std::uniform_real_distribution<>()(random) >= spoiledShare)
                return true;
            const size_t place = random() % headSize;
            const char before = bytes[place];
            bytes[place] = static_cast<char>('a' + random() % 26);
            ++spoiled;
            const size_t line = bytes.rfind('\n', place) + 1;
            fleet.record.add(fmt::format("the upstream hands out '{}' for '{}' in: {}", bytes[place], before,
                bytes.substr(line, bytes.find('\r', line) - line)));
            return true;
        });
        fleet.startNode(*machine);
        upstreams.push_back(std::make_unique<Upstream>(fleet.loop,
            Upstream::Options { "i-" + machine->name, service, machine->zone, machine->upstreamListen, machine->upstream, machine->control },
            fleet.record));
    }
    for (const auto& machine : fleet.machines)
        fleet.awaitReady(*machine);
    fleet.runFor(Milliseconds(1'500));

    std::map<int, int> statuses;
    int unsigned2xx = 0;
    int sent = 0;
    int ended = 0;
    std::function<void(Machine&)> sendNext = [&](Machine& machine) {
        if (sent >= requestCount)
            return;
        ++sent;
        const HttpRequest request = fleet.request("POST", "/orders/1");
        machine.client->call(request, Milliseconds(2'500), [&, id = *request.header("Persimmonfield-Request-Id")](const CallResult& result) {
            ++ended;
            const int status = result.outcome == CallOutcome::Answered ? result.response.status : 0;
            ++statuses[status];
            const bool isSuccess = status >= 200 && status < 300;
            if (isSuccess && !result.response.header(signatureHeader)) {
                ++unsigned2xx;
                std::string head;
                for (const auto& field : result.response.headers)
                    head += " [" + field.name + ": " + field.value + "]";
                fleet.record.add(fmt::format("request {} is answered {} without the signature:{}", id, status, head));
            } else if (status != 200) {
                fleet.record.add(fmt::format("request {} is answered {}", id, status));
            }
            sendNext(machine);
        });
    };
    for (const auto& machine : fleet.machines) {
        for (size_t i = 0; i < requestsAtOnce; ++i)
            sendNext(*machine);
    }
    fleet.runUntil([&] { return ended >= requestCount; }, Milliseconds(60'000));
    std::string result = fmt::format("requests ended: {}, spoiled answers: {}, successes without the signature: {}; by status:", ended, spoiled, unsigned2xx);
    for (const auto& [status, count] : statuses)
        result += fmt::format(" {}: {}", status, count);
    fleet.record.add(result);
    std::printf("%s\n", result.c_str());
    if (ended < requestCount || statuses[200] < requestCount / 2)
        throw CannotRun { "too few requests were answered" };
    return unsigned2xx == 0;
}

}

int main(int, char** argv)
{
    return runCase([argv] { return play(argv[1]); });
}
