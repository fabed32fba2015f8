// DRAIN: an upstream that started again under its id, and whose first report is late, leaves.

#include "fleet.h"

using namespace review;

namespace {

constexpr Milliseconds drain { 2'000 };
constexpr Milliseconds requestInterval { 25 };
// How late the first reports of the second life arrive.
constexpr Milliseconds lateness { 3'000 };
constexpr Milliseconds servedAfterAck { 8'000 };

bool play(const std::string& recordPath)
{
    Fleet fleet(recordPath);
    const std::string service = "orders";
    Machine& first = fleet.addMachine("zone-a", service);
    Machine& second = fleet.addMachine("zone-b", service);
    fleet.store->put("config", "main", configuration({ rule("orders", "non_idempotent", "/orders/", service) }, { service }));
    const Address lateControl = newAddress();
    FaultProxy proxy(fleet.loop, lateControl, first.control);
    for (Machine* machine : { &first, &second })
        fleet.startNode(*machine);
    const auto optionsOf = [&](const Machine& machine, const std::string& id) {
        return Upstream::Options { id, service, machine.zone, machine.upstream, machine.upstream, machine.control };
    };
    Upstream other(fleet.loop, optionsOf(second, "i-7f3a91c2"), fleet.record);
    auto life = std::make_unique<Upstream>(fleet.loop, optionsOf(first, "i-9046ff59"), fleet.record);
    fleet.awaitReady(first);
    fleet.awaitReady(second);
    fleet.runFor(Milliseconds(1'500));

    TimePoint ackedAt = TimePoint::max();
    int lateRuns = 0;
    int answered = 0;
    int unserved = 0;
    bool isSending = true;
    asio::steady_timer timer(fleet.loop);
    std::function<void()> sendNext = [&] {
        for (const auto& machine : fleet.machines) {
            const HttpRequest request = fleet.request("POST", "/orders/1");
            machine->client->call(request, Milliseconds(2'500), [&, id = *request.header("Persimmonfield-Request-Id")](const CallResult& result) {
                const int status = result.outcome == CallOutcome::Answered ? result.response.status : 0;
                fleet.record.add(fmt::format("request {} is answered {}", id, status));
                ++(status == 200 ? answered : unserved);
            });
        }
        timer.expires_after(requestInterval);
        timer.async_wait([&](std::error_code error) {
            if (!error && isSending)
                sendNext();
        });
    };
    sendNext();
    fleet.runFor(Milliseconds(1'000));
    if (life->runs() == 0)
        throw CannotRun { "the first life gets no requests" };

    // The upstream crashes and starts again under its id.
    life->crash();
    fleet.runFor(Milliseconds(500));
    auto options = optionsOf(first, "i-9046ff59");
    if (hasTrouble()) {
        options.control = lateControl;
        proxy.setDelay(lateness);
    }
    Upstream reborn(fleet.loop, options, fleet.record);
    reborn.setRunHandler([&](const HttpRequest& request) {
        const TimePoint now = BootClock::now();
        const bool isLate = ackedAt != TimePoint::max() && now > ackedAt + drain;
        fleet.record.add(fmt::format("the second life runs {}{}", *request.header("Persimmonfield-Request-Id"),
            isLate ? ", later than drain after the ack" : ""));
        lateRuns += isLate ? 1 : 0;
    });
    fleet.runFor(Milliseconds(1'000));

    // It is taken away: it sends its DELETE until that is acknowledged, and serves on for a while.
    reborn.setControl(first.control);
    for (int i = 0; i < 4 && ackedAt == TimePoint::max(); ++i) {
        int status = -1;
        reborn.leave([&status](int answer) { status = answer; });
        fleet.runUntil([&status] { return status >= 0; }, Milliseconds(2'000));
        if (status == 200)
            ackedAt = BootClock::now();
    }
    if (ackedAt == TimePoint::max())
        throw CannotRun { "the DELETE is not acknowledged" };
    fleet.runFor(servedAfterAck);
    isSending = false;
    fleet.runFor(Milliseconds(2'500));
    const std::string result = fmt::format("answered 200: {}, otherwise: {}; runs of the second life later than drain after the ack: {}",
        answered, unserved, lateRuns);
    fleet.record.add(result);
    std::printf("%s\n", result.c_str());
    return lateRuns == 0;
}

}

int main(int, char** argv)
{
    return runCase([argv] { return play(argv[1]); });
}
