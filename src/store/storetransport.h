#pragma once

#include "base/address.h"
#include "base/time.h"
#include "http/httpclient.h"

#include <asio/io_context.hpp>

#include <functional>

namespace persimmonfield {

// Carries calls to the store: straight, or through another instance while the store turns this one away.
class StoreTransport {
public:
    using Done = HttpClient::Done;
    using CallId = HttpClient::CallId;
    // Hands a call to another instance; answers false when none can be asked.
    using Relay = std::function<bool(const HttpRequest& request, Duration timeout, const Done& done)>;

    StoreTransport(asio::io_context& loop, const Address& address);

    void setRelay(Relay relay) { relay_ = std::move(relay); }

    // Calls the store; `done` is called once, after the return.
    void call(const HttpRequest& request, Duration timeout, const Done& done);

    // The same for a call that waits long: it is not handed on after it failed, since another instance must
    // not be kept waiting as long. The id is 0 where the call cannot be cancelled.
    CallId callWaiting(const HttpRequest& request, Duration timeout, const Done& done);

    // Gives a waiting call up; `done` is not called.
    void cancelWaiting(CallId id) { client_.cancel(id); }

    // Connections seem to have gone silent: those that lie idle are not used again.
    void closeIdle() { client_.closeIdle(); }

    // Calls the store straight only, for another instance; false when this one is turned away itself.
    bool callForOther(const HttpRequest& request, Duration timeout, const Done& done);

    // Called when the store was lost or answers again.
    void setReachableHandler(std::function<void(bool isReachable)> handler)
    {
        onReachable_ = std::move(handler);
    }

    bool isReachable() const { return isReachable_; }

    // When the store last answered this instance.
    TimePoint lastAnswer() const { return lastAnswer_; }

private:
    CallId callDirectly(const HttpRequest& request, Duration timeout, const Done& done);
    void noteDirect(bool isGood);

    HttpClient client_;
    Relay relay_;
    std::function<void(bool)> onReachable_;
    bool isReachable_ = true;
    TimePoint nextDirectTry_;
    TimePoint lastAnswer_;
};

}
