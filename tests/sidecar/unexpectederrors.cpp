// An exception from one handler ends the request, or the link, that it belongs to, and nothing else.

#include "sidecar/eventloop.h"
#include "transport/peernetwork.h"

#include <asio/post.hpp>

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <stdexcept>

using namespace persimmonfield;

namespace {

const Address firstAddress { "127.0.0.1", 18'791 };
const Address secondAddress { "127.0.0.1", 18'792 };
constexpr Milliseconds longTime { 20'000 };

}

TEST_GROUP(UnexpectedErrors)
{
    asio::io_context loop { 1 };
    Counters counters;

    std::unique_ptr<PeerNetwork> startNetwork(const Address& address,
        std::function<void(LinkId, Frame)> onFrame, std::function<void(LinkId, bool)> onClosed)
    {
        PeerNetworkOptions options;
        options.listenAddress = address;
        options.secret = "secret";
        options.counters = &counters;
        options.loop = &loop;
        options.onFrame = std::move(onFrame);
        options.onClosed = std::move(onClosed);
        auto network = std::make_unique<PeerNetwork>(std::move(options));
        CHECK(network->start().ok());
        return network;
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + longTime;
        while (!condition()) {
            if (BootClock::now() >= end)
                return false;
            loop.restart();
            loop.run_one_for(Milliseconds(20));
        }
        return true;
    }
};

TEST(UnexpectedErrors, TheLoopContinuesAfterAHandlerHasThrown)
{
    int handled = 0;
    asio::post(loop, [] { throw std::runtime_error("unexpected"); });
    asio::post(loop, [&handled] { ++handled; });
    asio::post(loop, [] { throw std::out_of_range("unexpected"); });
    asio::post(loop, [&handled] { ++handled; });
    runEventLoop(loop, counters);
    LONGS_EQUAL(2, handled);
    LONGS_EQUAL(2, counters.counter("handler_failures_total").load());
}

TEST(UnexpectedErrors, ALinkIsClosedAfterAFrameThatCannotBeHandled)
{
    bool isClosed = false;
    int handled = 0;
    const auto receiver = startNetwork(
        firstAddress,
        [&handled](LinkId, const Frame& frame) {
            if (frame.message.cancel->id == 1)
                throw std::runtime_error("unexpected");
            ++handled;
        },
        [](LinkId, bool) {});
    const auto sender = startNetwork(
        secondAddress, [](LinkId, const Frame&) {}, [&isClosed](LinkId, bool) { isClosed = true; });
    const auto send = [&sender](int64_t id) {
        Frame frame;
        frame.message.cancel = peer::Cancel { id };
        CHECK(sender->send(sender->linkTo(firstAddress.text()), frame));
    };
    send(1);
    CHECK(runUntil([&isClosed] { return isClosed; }));
    LONGS_EQUAL(1, counters.counter("peer_frames_failed_total").load());
    send(2);
    CHECK(runUntil([&handled] { return handled == 1; }));
}
