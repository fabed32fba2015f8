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

    double millisecondsOf(const std::function<void()>& function)
    {
        const TimePoint began = BootClock::now();
        function();
        return std::chrono::duration<double, std::milli>(BootClock::now() - began).count();
    }

    InstanceId idOf(int index)
    {
        return { fmt::format("instance-{:05}", index), "0123456789abcdef" };
    }

    peer::StoredObject object(const std::string& name, const std::string& value, int64_t version)
    {
        peer::StoredObject result;
        result.name = name;
        result.value = value;
        result.version = version;
        result.deleted = false;
        return result;
    }

    stored::NodeEntry entryOf(int index)
    {
        stored::NodeEntry entry {};
        entry.name = idOf(index).name;
        entry.incarnation = idOf(index).incarnation;
        entry.zone = fmt::format("zone-{}", index % zones);
        entry.service = service;
        entry.peerAddress = entry.operatorAddress = "10.100.100.100:10000";
        entry.serverUp = true;
        entry.state = stored::State::Joined;
        entry.operationId = std::string(32, '0');
        for (int i = 1; i <= 7; ++i)
            entry.witnesses.push_back(toWitness(idOf(index + i)));
        return entry;
    }

    // A fleet of that size as one daemon's copy of the store.
    StoreMirror mirrorOf(int instances)
    {
        StoreMirror mirror;
        int64_t version = 0;
        for (int i = 0; i < instances; ++i)
            mirror.update(object(nodeObject(idOf(i)), nlohmann::json(entryOf(i)).dump(), ++version));
        const int partitions = instances * partitionsPerInstance;
        for (int first = 0; first < partitions; first += rowsPerTableObject) {
            stored::TableObject table {};
            table.service = service;
            table.firstPartition = first;
            table.operationId = std::string(32, '0');
            for (int i = first; i < std::min(partitions, first + rowsPerTableObject); ++i) {
                stored::PartitionRow row {};
                row.owner = idOf(i % instances).name;
                row.incarnation = idOf(i % instances).incarnation;
                row.fence = 1;
                table.rows.push_back(row);
            }
            mirror.update(object(tableObject(service, first), nlohmann::json(table).dump(), ++version));
        }
        mirror.apply(0, version, {});
        return mirror;
    }

    void measureFleet(int instances, Report& report)
    {
        const std::string prefix = fmt::format("capacity.{}-instances.", instances);
        const double memoryBefore = heapMb();
        StoreMirror mirror = mirrorOf(instances);
        FleetViewBuilder builder;
        std::shared_ptr<const FleetView> view;
        report.add(prefix + "first-view", millisecondsOf([&] { view = builder.build(mirror); }), "ms");
        report.add(prefix + "state", heapMb() - memoryBefore, "MB");
        stored::NodeEntry changed = entryOf(0);
        changed.departing = true;
        mirror.update(object(nodeObject(idOf(0)), nlohmann::json(changed).dump(), 1'000'000));
        report.add(
            prefix + "view-after-a-change", millisecondsOf([&] { view = builder.build(mirror); }), "ms");
        auto configured = std::make_shared<FleetView>(*view);
        auto configuration = std::make_shared<Configuration>();
        configuration->services[service] = { service, instances * partitionsPerInstance };
        configured->configuration = configuration;
        TablePlanner planner;
        const TimePoint now { std::chrono::hours(1) };
        report.add(prefix + "plan", millisecondsOf([&] { planner.step(*configured, service, now); }), "ms");
    }

    void measureDecisions(Report& report)
    {
        constexpr int rounds = 100'000;
        const TimePoint start { std::chrono::hours(1) };
        Witness witness { LeaseTiming() };
        const InstanceId holder = idOf(1);
        const double confirms = millisecondsOf([&] {
            for (int i = 0; i < rounds; ++i)
                witness.confirm(holder, true, start + Milliseconds(i));
        });
        report.add("capacity.witness.confirm", confirms * 1e3 / rounds, "us");
        TeamHome home(1'000'000, 1'000'000, start);
        const double demands = millisecondsOf([&] {
            for (int i = 0; i < rounds; ++i)
                home.grantTokens("instance", { i + 1, 5, 5, 0 }, start + Milliseconds(i));
        });
        report.add("capacity.team-home.demand", demands * 1e3 / rounds, "us");
    }

}

void benchCapacity(const Environment&, Report& report)
{
    for (const int instances : { 240, 600, 1'200, 2'400 })
        measureFleet(instances, report);
    measureDecisions(report);
}

}
