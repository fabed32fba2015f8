#include "bench/benches.h"

#include "limits/teamhome.h"
#include "membership/witness.h"
#include "ownership/fleetview.h"
#include "ownership/tableplanner.h"

#include <fmt/format.h>

#include <functional>

#include <malloc.h>

namespace persimmonfield::bench {
namespace {

    constexpr int zones = 8;
    constexpr int partitionsPerInstance = 27;
    constexpr const char* service = "cards";

    double heapMb()
    {
        const auto info = mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
    }

    double elapsedMs(const std::function<void()>& run)
    {
        const TimePoint start = BootClock::now();
        run();
        return std::chrono::duration<double, std::milli>(BootClock::now() - start).count();
    }

    InstanceId instanceId(int index)
    {
        return { fmt::format("instance-{:05}", index), "0123456789abcdef" };
    }

    peer::StoredObject makeObject(const std::string& name, const std::string& value, int64_t version)
    {
        peer::StoredObject result;
        result.name = name;
        result.value = value;
        result.version = version;
        result.deleted = false;
        return result;
    }

    stored::NodeEntry makeEntry(int index)
    {
        stored::NodeEntry entry {};
        entry.name = instanceId(index).name;
        entry.incarnation = instanceId(index).incarnation;
        entry.zone = fmt::format("zone-{}", index % zones);
        entry.service = service;
        entry.peerAddress = entry.operatorAddress = "10.100.100.100:10000";
        entry.serverUp = true;
        entry.state = stored::State::Joined;
        entry.operationId = std::string(32, '0');
        for (int i = 1; i <= 7; ++i)
            entry.witnesses.push_back(toWitness(instanceId(index + i)));
        return entry;
    }

    // Returns a daemon's mirror of the store for a fleet of that many instances.
    StoreMirror makeMirror(int instances)
    {
        StoreMirror mirror;
        int64_t version = 0;
        for (int i = 0; i < instances; ++i)
            mirror.update(
                makeObject(nodeObject(instanceId(i)), nlohmann::json(makeEntry(i)).dump(), ++version));
        const int partitions = instances * partitionsPerInstance;
        for (int first = 0; first < partitions; first += rowsPerTableObject) {
            stored::TableObject table {};
            table.service = service;
            table.firstPartition = first;
            table.operationId = std::string(32, '0');
            for (int i = first; i < std::min(partitions, first + rowsPerTableObject); ++i) {
                stored::PartitionRow row {};
                row.owner = instanceId(i % instances).name;
                row.incarnation = instanceId(i % instances).incarnation;
                row.fence = 1;
                table.rows.push_back(row);
            }
            mirror.update(makeObject(tableObject(service, first), nlohmann::json(table).dump(), ++version));
        }
        mirror.apply(0, version, {});
        return mirror;
    }

    void measureFleet(int instances, Report& report)
    {
        const std::string prefix = fmt::format("capacity.{}-instances.", instances);
        const double memoryBefore = heapMb();
        StoreMirror mirror = makeMirror(instances);
        FleetViewBuilder builder;
        std::shared_ptr<const FleetView> view;
        report.add(prefix + "first-view", elapsedMs([&] { view = builder.build(mirror); }), "ms");
        report.add(prefix + "state", heapMb() - memoryBefore, "MB");
        stored::NodeEntry changed = makeEntry(0);
        changed.departing = true;
        mirror.update(makeObject(nodeObject(instanceId(0)), nlohmann::json(changed).dump(), 1'000'000));
        report.add(prefix + "view-after-a-change", elapsedMs([&] { view = builder.build(mirror); }), "ms");
        auto configured = std::make_shared<FleetView>(*view);
        auto configuration = std::make_shared<Configuration>();
        configuration->services[service] = { service, instances * partitionsPerInstance };
        configured->configuration = configuration;
        TablePlanner planner;
        const TimePoint now { std::chrono::hours(1) };
        report.add(prefix + "plan", elapsedMs([&] { planner.step(*configured, service, now); }), "ms");
    }

    void measureDecisions(Report& report)
    {
        constexpr int rounds = 100'000;
        const TimePoint start { std::chrono::hours(1) };
        Witness witness { LeaseTiming() };
        const InstanceId holder = instanceId(1);
        const double confirmMs = elapsedMs([&] {
            for (int i = 0; i < rounds; ++i)
                witness.confirm(holder, true, start + Milliseconds(i));
        });
        report.add("capacity.witness.confirm", confirmMs * 1e3 / rounds, "us");
        TeamHome home(1'000'000, 1'000'000, start);
        const double grantMs = elapsedMs([&] {
            for (int i = 0; i < rounds; ++i)
                home.grantTokens("instance", { i + 1, 5, 5, 0 }, start + Milliseconds(i));
        });
        report.add("capacity.team-home.demand", grantMs * 1e3 / rounds, "us");
    }

}

void benchCapacity(const Environment&, Report& report)
{
    for (const int instances : { 240, 600, 1'200, 2'400 })
        measureFleet(instances, report);
    measureDecisions(report);
}

}
