#include "store/storetransport.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr int statusTooMany = 429;
    constexpr int statusUnavailable = 503;
    constexpr Milliseconds connectTimeout { 500 };
    // The store's pages have about 1 MB, its objects 1 MiB at most. Decoding takes several times the size.
    constexpr size_t maxAnswerBytes = 8UL * 1024 * 1024;
    constexpr size_t maxTotalAnswerBytes = 16UL * 1024 * 1024;
    // After an unsuccessful direct call, the next one is made after this time. A configuration must be in
    // force within two seconds, and the store's recovery must be noticed well before that.
    constexpr Milliseconds directRetryInterval { 400 };
    // A read that is made both ways is relayed by so many instances at most, by the next one after this time.
    constexpr int maxRelays = 3;
    constexpr Milliseconds relayInterval { 400 };

    bool isUnavailable(const CallResult& result)
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
        options.maxBodyBytes = maxAnswerBytes;
        options.maxTotalBodyBytes = maxTotalAnswerBytes;
        return options;
    }

}

// A call that is made directly and through other instances, one after the other while none has answered.
class StoreTransport::Race : public std::enable_shared_from_this<Race> {
public:
    Race(StoreTransport& transport, HttpRequest request, Duration timeout, Done done)
        : transport_(transport)
        , request_(std::move(request))
        , timeout_(timeout)
        , done_(std::move(done))
        , timer_(transport.loop_)
    {
    }

    void start()
    {
        ++pendingCalls_;
        transport_.callDirectly(request_, timeout_, resultCallback());
        relay();
    }

private:
    Done resultCallback()
    {
        return [self = shared_from_this()](CallResult result) { self->onResult(std::move(result)); };
    }

    void relay()
    {
        if (isOver_ || relaysLeft_ == 0 || !transport_.relay_)
            return;
        if (relaysLeft_ < maxRelays && transport_.skipRelay_)
            transport_.skipRelay_();
        --relaysLeft_;
        ++pendingCalls_;
        if (!transport_.relay_(request_, timeout_, resultCallback())) {
            --pendingCalls_;
            relaysLeft_ = 0;
            return;
        }
        timer_.expires_after(relayInterval);
        timer_.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error)
                self->relay();
        });
    }

    void onResult(CallResult result)
    {
        --pendingCalls_;
        if (isOver_)
            return;
        if (isUnavailable(result)) {
            relay();
            if (pendingCalls_ > 0)
                return;
        }
        isOver_ = true;
        timer_.cancel();
        done_(std::move(result));
    }

    StoreTransport& transport_;
    HttpRequest request_;
    Duration timeout_;
    Done done_;
    asio::steady_timer timer_;
    int pendingCalls_ = 0;
    int relaysLeft_ = maxRelays;
    bool isOver_ = false;
};

StoreTransport::StoreTransport(asio::io_context& loop, const Address& address)
    : loop_(loop)
    , client_(loop, clientOptions(address))
{
}

void StoreTransport::call(const HttpRequest& request, Duration timeout, const Done& done)
{
    const bool mayCallDirectly = isReachable_ || BootClock::now() >= nextDirectAttempt_;
    if (!mayCallDirectly && relay_ && relay_(request, timeout, done))
        return;
    callDirectly(request, timeout, [this, request, timeout, done](CallResult result) {
        if (isUnavailable(result) && relay_ && relay_(request, timeout, done))
            return;
        done(std::move(result));
    });
}

void StoreTransport::callBothWays(const HttpRequest& request, Duration timeout, const Done& done)
{
    std::make_shared<Race>(*this, request, timeout, done)->start();
}

StoreTransport::CallId StoreTransport::callLongPoll(
    const HttpRequest& request, Duration timeout, const Done& done)
{
    if (isReachable_)
        return callDirectly(request, timeout, done);
    call(request, timeout, done);
    return 0;
}

bool StoreTransport::callForPeer(const HttpRequest& request, Duration timeout, const Done& done)
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
        recordDirectResult(!isUnavailable(result));
        done(std::move(result));
    });
}

void StoreTransport::recordDirectResult(bool isSuccess)
{
    const TimePoint now = BootClock::now();
    if (isSuccess)
        lastAnswerAt_ = now;
    else
        nextDirectAttempt_ = now + directRetryInterval;
    if (std::exchange(isReachable_, isSuccess) != isSuccess && onReachabilityChanged_)
        onReachabilityChanged_(isSuccess);
    if (isSuccess && onAnswer_)
        onAnswer_();
}

}
