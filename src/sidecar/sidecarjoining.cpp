// How a Sidecar joins the fleet.

#include "sidecar/sidecar.h"

#include "base/hashing.h"
#include "base/logger.h"
#include "base/random.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr size_t secretBytes = 16;
    constexpr const char* secretObject = "secret";
    constexpr const char* secretMember = "secret";
    constexpr Milliseconds secretRetryInterval { 300 };
    constexpr uint64_t maxJoinDelayMs = 300;
    // How long an instance that starts waits for others to write a lost secret again.
    constexpr Milliseconds lostSecretDelay { 2'000 };

    // The secret of the links; empty if the object has none.
    std::string secretOf(const StoreObject& object)
    {
        const auto secret = object.value.is_object() ? object.value.find(secretMember) : object.value.end();
        return secret != object.value.end() && secret->is_string() ? secret->get<std::string>()
                                                                   : std::string();
    }

}

void Sidecar::onFleet(const StorePage& page, bool isFullListing)
{
    directory_.apply(page, isFullListing);
    // The directory may have been loaded by another listing than that of this watch.
    const bool isFirst = !std::exchange(isEarlierEntryRead_, true);
    const stored::InstanceEntry* own = isFirst ? directory_.instance(settings_.name) : nullptr;
    if (own && own->incarnation != incarnation_)
        serverMonitor_->setEarlierEntry(*own);
    applyCrashCounts(page);
    bool hasSecret = false;
    for (const StoreObject& object : page.objects) {
        if (object.name != secretObject)
            continue;
        hasSecret = true;
        isSecretLost_ = false;
        startNetwork(secretOf(object));
    }
    const Milliseconds jitter(static_cast<int64_t>(random_() % maxJoinDelayMs));
    // Entries without a secret show that a restore has lost it. Those who use it write it again.
    if (!std::exchange(isJoining_, true)) {
        joinFleetAfter(directory_.instances().empty() ? jitter : lostSecretDelay + jitter);
    } else if (isFullListing && !hasSecret && network_->isStarted()) {
        isSecretLost_ = true;
        createSecret();
    }
    if (isFullListing)
        entryPublisher_->restore();
    onDirectoryChange();
}

// Applies the quarantines that the instances of the page have recorded in their entries.
void Sidecar::applyCrashCounts(const StorePage& page)
{
    for (const StoreObject& object : page.objects) {
        const stored::InstanceEntry* entry = directory_.instanceOfObject(object.name);
        if (entry && entry->crashCounts)
            quarantine_.onEntry(*entry, BootClock::now());
    }
}

// The first instance of the fleet creates the secret of the links. Instances that start together wait for a
// random time, in which the watch delivers the secret of the fastest one.
void Sidecar::joinFleetAfter(Duration delay)
{
    secretTimer_.expires_after(delay);
    secretTimer_.async_wait([this](std::error_code error) {
        if (!error && (!network_->isStarted() || isSecretLost_))
            createSecret();
    });
}

void Sidecar::createSecret()
{
    const nlohmann::json value { { secretMember, secret_.empty() ? randomHex(secretBytes) : secret_ } };
    store_.write({ fleetKind, secretObject, value, 0 }, [this](const StoreWriteResult& result) {
        if (result.object) {
            isSecretLost_ = false;
            return startNetwork(secretOf(*result.object));
        }
        log(LogLevel::Info, "fleet-secret-not-written", { { "cause", result.detail } });
        joinFleetAfter(secretRetryInterval);
    });
}

void Sidecar::startNetwork(const std::string& secret)
{
    isJoining_ = true;
    if (network_->isStarted() && !secret.empty() && secret != secret_)
        log(LogLevel::Error, "secret-differs", { { "era", store_.era() } });
    if (secret.empty() || network_->isStarted())
        return;
    secret_ = secret;
    secretTimer_.cancel();
    const absl::Status status = network_->start(secret);
    if (!status.ok())
        log(LogLevel::Error, "peer-address-refused", { { "cause", std::string(status.message()) } });
    transport_.setRelay(
        [this](const HttpRequest& request, Duration timeout, const StoreTransport::Done& done) {
            return relay_->call(request, timeout, done);
        },
        [this] { relay_->skip(); });
    feedFollower_->start();
    publishEntry();
}

}
