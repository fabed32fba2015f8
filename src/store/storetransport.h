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

    void setRelay(Relay relay) { relay_ = std::move(relay); }

    // Calls the store. `done` is called exactly once, after this function has returned.
    void call(const HttpRequest& request, Duration timeout, const Done& done);

    // Like call(), for a long poll. A direct call that fails is not relayed afterwards, because it would
    // block another instance for the same time. Returns 0 if the call cannot be cancelled.
    CallId callLongPoll(const HttpRequest& request, Duration timeout, const Done& done);

    // Cancels a long poll; its `done` is not called.
    void cancelLongPoll(CallId id) { client_.cancel(id); }

    // Closes idle connections. To be called when connections seem to be dead, so that they are not reused.
    void closeIdle() { client_.closeIdle(); }

    // Calls the store on behalf of another instance, only directly. Returns false if the store is unavailable
    // to this instance as well.
    bool callForPeer(const HttpRequest& request, Duration timeout, const Done& done);

    // The handler is called when the store becomes unreachable or reachable again.
    void setReachabilityHandler(std::function<void(bool isReachable)> handler)
    {
        onReachabilityChanged_ = std::move(handler);
    }

    bool isReachable() const { return isReachable_; }

    // The time of the store's last response to a direct call.
    TimePoint lastAnswerAt() const { return lastAnswerAt_; }

private:
    CallId callDirectly(const HttpRequest& request, Duration timeout, const Done& done);
    void recordDirectResult(bool isSuccess);

    HttpClient client_;
    Relay relay_;
    std::function<void(bool)> onReachabilityChanged_;
    bool isReachable_ = true;
    TimePoint nextDirectAttempt_;
    TimePoint lastAnswerAt_;
};

}
