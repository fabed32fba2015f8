#include "sidecar/coldserverguard.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {
namespace {

    // A busy server answers when one of its slots is free.
    constexpr Milliseconds answerTimeout { 500 };
    constexpr Milliseconds connectTimeout { 250 };
    constexpr size_t maxHealthBytes = 65'536;

    HttpClientOptions clientOptions(const ColdServerGuardOptions& guard)
    {
        HttpClientOptions options;
        options.address = guard.settings.serverAddress;
        options.isAnswerTo = guard.protocol->isAnswerTo;
        options.connectTimeout = connectTimeout;
        options.maxBodyBytes = maxHealthBytes;
        options.maxTotalBodyBytes = maxHealthBytes;
        return options;
    }

}

ColdServerGuard::ColdServerGuard(ColdServerGuardOptions options)
    : options_(std::move(options))
    , limit_(BootClock::now())
    , client_(*options_.loop, clientOptions(options_))
{
}

void ColdServerGuard::setService(const ServiceConfig& service)
{
    hasService_ = true;
    healthPath_ = service.healthPath;
    limit_.setRate(service.coldRate, options_.settings.coldOverload);
    limit_.setCanAsk(!healthPath_.empty());
}

void ColdServerGuard::onReport(const ServerIncarnation& incarnation, TimePoint coldUntil, TimePoint now)
{
    if (incarnation_ != incarnation) {
        incarnation_ = incarnation;
        client_.cancel(call_);
        client_.closeIdle();
        limit_.onNewServer();
    }
    limit_.onReport(coldUntil, now);
}

void ColdServerGuard::onStart(TimePoint now)
{
    limit_.onStart(now);
    if (limit_.shouldAsk(now))
        ask();
}

Duration ColdServerGuard::delay(TimePoint now)
{
    if (limit_.shouldAsk(now))
        ask();
    return limit_.delay(now);
}

void ColdServerGuard::ask()
{
    limit_.onAsked();
    options_.counters->counter("server_health_calls_total")++;
    call_ = client_.call({ "GET", healthPath_, {}, {} }, answerTimeout,
        [this](const CallResult& result) { onHealth(result); });
}

void ColdServerGuard::onHealth(const CallResult& result)
{
    const TimePoint now = BootClock::now();
    std::optional<Milliseconds> coldFor;
    if (result.outcome == CallOutcome::Answered)
        coldFor = options_.protocol->readHealth(result.response, *incarnation_);
    if (coldFor) {
        limit_.onAnswer(*coldFor, now);
    } else {
        options_.counters->counter("server_health_calls_failed_total")++;
        limit_.onNoAnswer(now);
    }
    if (coldFor.value_or(Milliseconds(0)) > Milliseconds(0))
        log(LogLevel::Info, "server-cold",
            { { "server", incarnation_->id }, { "coldForMs", coldFor->count() } });
    options_.onAnswer();
}

}
