#pragma once

#include "base/counters.h"
#include "limits/bytebudget.h"

#include <asio/io_context.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace persimmonfield {

class MemoryGuard;

// Bytes that the process holds for one request or answer. Releases them when it is destroyed. Used on the
// event loop's thread.
class HeldBytes {
public:
    struct Hooks {
        std::function<void()> onGranted; // Bytes that were waited for are held now.
        // The holder must let its bytes go: there was no room for what it waited for, or it makes room for
        // others. The guard counts them as released already.
        std::function<void()> onRefused;
    };

    HeldBytes(std::shared_ptr<MemoryGuard> guard, const std::string& caller, HeldFor purpose, Hooks hooks);
    ~HeldBytes();
    HeldBytes(const HeldBytes&) = delete;
    HeldBytes& operator=(const HeldBytes&) = delete;

    // As in ByteBudget. While the result is Wait, one of the hooks is called later.
    ByteBudget::Verdict reserve(size_t bytes);
    void set(size_t bytes);

    // Records that the caller has sent or taken this number of bytes. Many small numbers count as one step.
    void recordProgress(size_t bytes);

    // Whether the guard may call onRefused to make room for others.
    void setYielding(bool isYielding);

    // Calls no hooks from now on, because the bytes are needed until this object is destroyed.
    void keep();

private:
    friend class MemoryGuard;

    std::shared_ptr<MemoryGuard> guard_;
    ByteBudget::HolderId id_;
    Hooks hooks_;
    size_t unrecordedProgress_ = 0;
};

// Applies a ByteBudget to the connections and links of a process: calls the hooks of those that it decides
// about, and records what is held, refused and cut.
class MemoryGuard : public std::enable_shared_from_this<MemoryGuard> {
public:
    MemoryGuard(asio::io_context& loop, const ByteBudgetOptions& options, Counters& counters);
    ~MemoryGuard();
    MemoryGuard(const MemoryGuard&) = delete;
    MemoryGuard& operator=(const MemoryGuard&) = delete;

    // Decides and records nothing from now on. Call it before the loop and the counters end; bytes may be
    // released after that.
    void stop();

    // Whether more is held than there should be, so that no further request may be taken.
    bool isFull() const { return budget_.isFull(); }

    // Records that a connection was closed because there are as many as there may be.
    void recordConnectionClosed();

private:
    friend class HeldBytes;

    class Timer;

    // Decides soon, but not within the current call.
    void scheduleDecision();
    void decide();
    void armTimer();
    void call(ByteBudget::HolderId id, bool isGranted);
    void recordHeld();
    void recordDecisions(const ByteBudget::Decisions& decisions);

    asio::io_context& loop_;
    ByteBudget budget_;
    Counters& counters_;
    std::array<Counters::Value*, static_cast<size_t>(HeldFor::Count)> gauges_ {};
    std::map<ByteBudget::HolderId, HeldBytes*> holders_;
    std::unique_ptr<Timer> timer_;
    bool isDecisionScheduled_ = false;
    bool isStopped_ = false;
    TimePoint loggedAt_;
    size_t unlogged_ = 0; // Refusals and cuts since the last log line.
    TimePoint connectionsLoggedAt_;
    size_t unloggedConnections_ = 0;
};

}
