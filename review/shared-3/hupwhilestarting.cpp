// Fault: the settings file changes while the nodes start.

#include "fleet.h"

#include <array>
#include <csignal>

using namespace review;

namespace {

// Times after the start of a process at which its settings file changes, which SIGHUP tells it.
constexpr std::array<int, 3> changesAfterMs { 5, 10, 20 };
constexpr Milliseconds restartDelay { 300 };
constexpr Milliseconds calmTime { 1'000 };

bool play(const std::string& recordPath)
{
    Fleet fleet(recordPath);
    const std::string service = "orders";
    fleet.store->put("config", "main", configuration({ rule("orders", "non_idempotent", "/orders/", service) }, { service }));
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (const char* zone : { "zone-a", "zone-b", "zone-c" }) {
        Machine& machine = fleet.addMachine(zone, service);
        upstreams.push_back(std::make_unique<Upstream>(fleet.loop,
            Upstream::Options { "i-" + machine.name, service, zone, machine.upstream, machine.upstream, machine.control }, fleet.record));
    }
    // Each time the platform starts all processes, writes their settings once more a moment later, and starts
    // again whichever has ended.
    int ended = 0;
    std::map<std::string, int> endsOf;
    for (const int afterMs : changesAfterMs) {
        for (const auto& machine : fleet.machines)
            fleet.startNode(*machine);
        fleet.runFor(Milliseconds(afterMs));
        if (hasTrouble()) {
            for (const auto& machine : fleet.machines) {
                fleet.writeSettings(*machine);
                fleet.record.add(fmt::format("node {} gets SIGHUP {} ms after its start", machine->name, afterMs));
                machine->process->signal(SIGHUP);
            }
        }
        fleet.runFor(calmTime);
        for (const auto& machine : fleet.machines) {
            if (!machine->process->hasEnded())
                continue;
            ++ended;
            ++endsOf[machine->name];
            fleet.record.add("node " + machine->name + " has ended");
        }
        for (const auto& machine : fleet.machines) {
            if (machine->process->hasEnded())
                continue;
            machine->process->signal(SIGTERM);
            if (!fleet.runUntil([&] { return machine->process->hasEnded(); }, Milliseconds(7'000)))
                throw CannotRun { "a node does not stop" };
        }
        fleet.runFor(restartDelay);
    }
    // Afterwards all start in peace, and stay.
    for (const auto& machine : fleet.machines)
        fleet.startNode(*machine);
    for (const auto& machine : fleet.machines)
        fleet.awaitReady(*machine);
    const std::string result = fmt::format("starts with a change of the settings: {}, processes that ended by themselves: {}",
        changesAfterMs.size() * fleet.machines.size(), ended);
    fleet.record.add(result);
    std::printf("%s\n", result.c_str());
    return ended == 0;
}

}

int main(int, char** argv)
{
    return runCase([argv] { return play(argv[1]); });
}
