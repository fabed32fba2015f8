#pragma once

#include "base/address.h"
#include "base/time.h"
#include "http/httpclient.h"

#include <asio/io_context.hpp>

#include <functional>

namespace persimmonfield {

// Sends calls to the store directly, or through another instance while the store is unavailable to this one.
class StoreTransport {
public:
    using Done = HttpClient::Done;
    using CallId = HttpClient::CallId;
    // Relays a call through another instance; returns false if no instance is available.
    using Relay = std::function<bool(const HttpRequest& request, Duration timeout, const Done& done)>;

    StoreTransport(asio::io_context& loop, const Address& address);

    // `skipRelay` makes the next call go through another instance than the last one.
    void setRelay(Relay relay, std::function<void()> skipRelay = nullptr)
    {
        relay_ = std::move(relay);
        skipRelay_ = std::move(skipRelay);
    }

    // Calls the store. `done` is called exactly once, after this function has returned.
    void call(const HttpRequest& request, Duration timeout, const Done& done);

    // Like call(), but for a read whose direct path seems to be dead: it is relayed as well at once, also by
    // further instances while the first ones do not answer. `done` gets the first answer.
    void callBothWays(const HttpRequest& request, Duration timeout, const Done& done);

    // Like call(), for a long poll. A direct call that fails is not relayed afterwards, because it would
    // block another instance for the same time. Returns 0 if the call cannot be cancelled.
    CallId callLongPoll(const HttpRequest& request, Duration timeout, const Done& done);

    // Cancels a long poll; its `done` is not called.
    void cancelLongPoll(CallId id) { client_.cancel(id); }

    // Closes idle connections. To be called when connections seem to be dead, so that they are not reused.
    void closeIdle() { client_.closeIdle(); }

    // Calls the store only directly, also while it seems to be unreachable.
    void callOnlyDirectly(const HttpRequest& request, Duration timeout, const Done& done)
    {
        callDirectly(request, timeout, done);
    }

    // Calls the store on behalf of another instance, only directly. Returns false if the store is unavailable
    // to this instance as well.
    bool callForPeer(const HttpRequest& request, Duration timeout, const Done& done);

    // The handler is called when the store becomes unreachable or reachable again.
    void setReachabilityHandler(std::function<void(bool isReachable)> handler)
    {
        onReachabilityChanged_ = std::move(handler);
    }

    // The handler is called after each response of the store to a direct call, before the call's `done`.
    void setAnswerHandler(std::function<void()> handler) { onAnswer_ = std::move(handler); }

    bool isReachable() const { return isReachable_; }

    // The time of the store's last response to a direct call.
    TimePoint lastAnswerAt() const { return lastAnswerAt_; }

private:
    class Race;

    CallId callDirectly(const HttpRequest& request, Duration timeout, const Done& done);
    void recordDirectResult(bool isSuccess);

    asio::io_context& loop_;
    HttpClient client_;
    Relay relay_;
    std::function<void()> skipRelay_;
    std::function<void(bool)> onReachabilityChanged_;
    std::function<void()> onAnswer_;
    bool isReachable_ = true;
    TimePoint nextDirectAttempt_;
    TimePoint lastAnswerAt_;
};

}
