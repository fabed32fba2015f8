#include "http/memoryguard.h"

#include "base/logger.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace persimmonfield {
namespace {

    // Bytes that count as progress of a holder: a caller that moves fewer is taken for one that does nothing.
    constexpr size_t progressStep = 16'384;
    constexpr Milliseconds logInterval { 1'000 };
    constexpr std::array<const char*, static_cast<size_t>(HeldFor::Count)> purposeNames { "head", "request",
        "answer" };

    // Whether a log line may follow the last one; records it if so.
    bool mayLog(TimePoint& loggedAt)
    {
        const TimePoint now = BootClock::now();
        if (now - loggedAt < logInterval)
            return false;
        loggedAt = now;
        return true;
    }

}

class MemoryGuard::Timer : public asio::steady_timer {
    using asio::steady_timer::steady_timer;
};

HeldBytes::HeldBytes(
    std::shared_ptr<MemoryGuard> guard, const std::string& caller, HeldFor purpose, Hooks hooks)
    : guard_(std::move(guard))
    , id_(guard_->budget_.open(caller, purpose, BootClock::now()))
    , hooks_(std::move(hooks))
{
    guard_->holders_[id_] = this;
    if (!hooks_.onRefused)
        guard_->budget_.setYielding(id_, false);
}

HeldBytes::~HeldBytes()
{
    guard_->holders_.erase(id_);
    guard_->budget_.close(id_);
    guard_->recordHeld();
    if (guard_->budget_.waiting() > 0)
        guard_->scheduleDecision();
}

ByteBudget::Verdict HeldBytes::reserve(size_t bytes)
{
    const auto verdict = guard_->budget_.reserve(id_, bytes, BootClock::now());
    guard_->recordHeld();
    if (verdict == ByteBudget::Verdict::Wait)
        guard_->scheduleDecision();
    return verdict;
}

void HeldBytes::set(size_t bytes)
{
    guard_->budget_.set(id_, bytes);
    guard_->recordHeld();
    if (guard_->budget_.isFull() || guard_->budget_.waiting() > 0)
        guard_->scheduleDecision();
}

void HeldBytes::recordProgress(size_t bytes)
{
    unrecordedProgress_ += bytes;
    if (unrecordedProgress_ < progressStep)
        return;
    unrecordedProgress_ = 0;
    guard_->budget_.recordProgress(id_, BootClock::now());
}

void HeldBytes::setYielding(bool isYielding)
{
    guard_->budget_.setYielding(id_, isYielding);
}

void HeldBytes::keep()
{
    hooks_ = {};
    setYielding(false);
}

MemoryGuard::MemoryGuard(asio::io_context& loop, const ByteBudgetOptions& options, Counters& counters)
    : loop_(loop)
    , budget_(options)
    , counters_(counters)
    , timer_(std::make_unique<Timer>(loop))
{
    counters_.counter("held_bytes_limit") = static_cast<int64_t>(options.limit);
    for (size_t i = 0; i < purposeNames.size(); ++i)
        gauges_[i] = &counters_.counter("held_bytes", "for", purposeNames[i]);
}

MemoryGuard::~MemoryGuard() = default;

void MemoryGuard::stop()
{
    isStopped_ = true;
    timer_.reset();
}

void MemoryGuard::scheduleDecision()
{
    if (isStopped_ || std::exchange(isDecisionScheduled_, true))
        return;
    asio::post(loop_, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->decide();
    });
}

void MemoryGuard::decide()
{
    isDecisionScheduled_ = false;
    if (isStopped_)
        return;
    const ByteBudget::Decisions decisions = budget_.decide(BootClock::now());
    recordDecisions(decisions);
    const auto self = shared_from_this();
    for (const auto* ended : { &decisions.refused, &decisions.cut }) {
        for (const auto id : *ended)
            call(id, false);
    }
    for (const auto id : decisions.granted)
        call(id, true);
    recordHeld();
    armTimer();
}

// A hook may destroy the holder, and others.
void MemoryGuard::call(ByteBudget::HolderId id, bool isGranted)
{
    const auto found = holders_.find(id);
    if (found == holders_.end())
        return;
    const auto hooks = found->second->hooks_;
    if (isGranted && hooks.onGranted)
        hooks.onGranted();
    else if (!isGranted && hooks.onRefused)
        hooks.onRefused();
}

void MemoryGuard::armTimer()
{
    const TimePoint now = BootClock::now();
    const auto next = budget_.nextDecision(now);
    if (!next || isStopped_)
        return;
    timer_->expires_after(std::max<Duration>(*next - now, Milliseconds(1)));
    timer_->async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->decide();
    });
}

void MemoryGuard::recordHeld()
{
    for (size_t i = 0; i < gauges_.size() && !isStopped_; ++i)
        *gauges_[i] = static_cast<int64_t>(budget_.held(static_cast<HeldFor>(i)));
}

void MemoryGuard::recordDecisions(const ByteBudget::Decisions& decisions)
{
    counters_.counter("memory_waits") = static_cast<int64_t>(budget_.waiting());
    counters_.counter("memory_refusals_total", "kind", "request")
        += static_cast<int64_t>(decisions.refused.size());
    counters_.counter("memory_refusals_total", "kind", "answer")
        += static_cast<int64_t>(decisions.cut.size());
    unlogged_ += decisions.refused.size() + decisions.cut.size();
    if (unlogged_ == 0 || !mayLog(loggedAt_))
        return;
    log(LogLevel::Warning, "memory-full",
        { { "held", budget_.held() }, { "requests", budget_.held(HeldFor::Request) },
            { "answers", budget_.held(HeldFor::Answer) }, { "waiting", budget_.waiting() },
            { "ended", std::exchange(unlogged_, 0) } });
}

void MemoryGuard::recordConnectionClosed()
{
    if (isStopped_)
        return;
    counters_.counter("connections_cut_total")++;
    ++unloggedConnections_;
    if (mayLog(connectionsLoggedAt_))
        log(LogLevel::Warning, "connections-full", { { "closed", std::exchange(unloggedConnections_, 0) } });
}

}
