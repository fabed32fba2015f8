#include "store/storetransport.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr int statusTooMany = 429;
    constexpr int statusUnavailable = 503;
    constexpr Milliseconds connectTimeout { 500 };
    // A store that turned this instance away is tried again after this time: its return must be noticed well
    // within the two seconds in which a configuration is to be in force.
    constexpr Milliseconds directPause { 400 };

    bool isTurnedAway(const CallResult& result)
    {
        if (result.outcome != CallOutcome::Answered)
            return true;
        return result.response.status == statusTooMany || result.response.status == statusUnavailable;
    }

    HttpClientOptions clientOptions(const Address& address)
    {
        HttpClientOptions options;
        options.address = address;
        options.connectTimeout = connectTimeout;
        options.usesTcpKeepAlive = true;
        return options;
    }

}

StoreTransport::StoreTransport(asio::io_context& loop, const Address& address)
    : client_(loop, clientOptions(address))
{
}

void StoreTransport::call(const HttpRequest& request, Duration timeout, const Done& done)
{
    const bool mayTryDirectly = isReachable_ || BootClock::now() >= nextDirectTry_;
    if (!mayTryDirectly && relay_ && relay_(request, timeout, done))
        return;
    callDirectly(request, timeout, [this, request, timeout, done](CallResult result) {
        if (isTurnedAway(result) && relay_ && relay_(request, timeout, done))
            return;
        done(std::move(result));
    });
}

StoreTransport::CallId StoreTransport::callWaiting(
    const HttpRequest& request, Duration timeout, const Done& done)
{
    if (isReachable_)
        return callDirectly(request, timeout, done);
    call(request, timeout, done);
    return 0;
}

bool StoreTransport::callForOther(const HttpRequest& request, Duration timeout, const Done& done)
{
    if (!isReachable_)
        return false;
    callDirectly(request, timeout, done);
    return true;
}

StoreTransport::CallId StoreTransport::callDirectly(
    const HttpRequest& request, Duration timeout, const Done& done)
{
    return client_.call(request, timeout, [this, done](CallResult result) {
        noteDirect(!isTurnedAway(result));
        done(std::move(result));
    });
}

void StoreTransport::noteDirect(bool isGood)
{
    const TimePoint now = BootClock::now();
    if (isGood)
        lastAnswer_ = now;
    else
        nextDirectTry_ = now + directPause;
    if (std::exchange(isReachable_, isGood) != isGood && onReachable_)
        onReachable_(isGood);
}

}
