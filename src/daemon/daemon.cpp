#include "daemon/daemon.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr size_t timelineCapacity = 10'000;
    constexpr Milliseconds departureTimeout { 20'000 };

    const char* stateName(stored::State state)
    {
        switch (state) {
        case stored::State::Joined:
            return "joined";
        case stored::State::Claimed:
            return "claimed";
        case stored::State::Lapsed:
            return "lapsed";
        }
        return "lapsed";
    }

    nlohmann::json instancesOf(const FleetView& view)
    {
        nlohmann::json instances = nlohmann::json::array();
        for (const auto& [name, node] : view.nodes) {
            const stored::NodeEntry& entry = node->entry;
            instances.push_back({ { "name", entry.name }, { "incarnation", entry.incarnation },
                { "zone", entry.zone }, { "service", entry.service }, { "state", stateName(entry.state) },
                { "serverUp", entry.serverUp }, { "departing", entry.departing },
                { "witnesses", entry.witnesses.size() }, { "operatorAddress", entry.operatorAddress } });
        }
        return instances;
    }

    nlohmann::json ownersOf(const FleetView& view)
    {
        nlohmann::json services = nlohmann::json::object();
        for (const auto& [service, groups] : view.tables) {
            nlohmann::json owners = nlohmann::json::object();
            int moving = 0;
            for (const auto& group : groups) {
                for (const stored::PartitionRow& row : group->table.rows) {
                    owners[row.owner] = owners.value(row.owner, 0) + 1;
                    moving += row.target.empty() ? 0 : 1;
                }
            }
            services[service] = { { "partitionsByOwner", owners }, { "moving", moving } };
        }
        return services;
    }

}

Daemon::Builder& Daemon::Builder::setSettings(settings::SettingsSchema settings)
{
    settings_ = std::move(settings);
    return *this;
}

Daemon::Builder& Daemon::Builder::setPeerSecret(std::string secret)
{
    secret_ = std::move(secret);
    return *this;
}

absl::StatusOr<std::unique_ptr<Daemon>> Daemon::Builder::build() const
{
    const auto caller = parseAddress(settings_.callerAddress);
    const auto peer = parseAddress(settings_.peerAddress);
    const auto operatorServer = parseAddress(settings_.operatorAddress);
    const auto server = parseAddress(settings_.serverAddress);
    for (const auto* address : { &caller, &peer, &operatorServer, &server }) {
        if (!address->ok())
            return address->status();
    }
    const Addresses addresses { *caller, *peer, *operatorServer, *server };
    return std::unique_ptr<Daemon>(new Daemon(settings_, secret_, addresses));
}

Daemon::Daemon(settings::SettingsSchema settings, const std::string& secret, const Addresses& addresses)
    : settings_(std::move(settings))
    , timeline_(settings_.name, timelineCapacity)
    , network_({ addresses.peer, secret, &counters_, nullptr, PeerNetworkOptions().maxTotalBacklogBytes,
          [this](LinkId link, Frame frame) { onFrame(link, std::move(frame)); },
          [this](LinkId link, bool wasOpen) {
              forwarder_.onClosed(link, wasOpen);
              peerRequests_.onClosed(link);
          },
          nullptr })
    , gate_({ addresses.server, static_cast<int>(settings_.serverSlots), settings_.serverChecksFences,
          &authority_, &counters_, &timeline_, nullptr })
    , peerRequests_({ &gate_, &network_, &counters_ })
    , forwarder_(gate_, network_, counters_)
    , controlThread_({ settings_, &authority_, &counters_, &timeline_, &network_,
          [this] { return gate_.isServerUp(); }, [this] { return gate_.isServerDraining(); },
          [this](const std::shared_ptr<const FleetView>& view) { ingress_.onViewChange(view); } })
    , limiter_({ &authority_, &network_, [this] { return controlThread_.view(); },
          [this] { return controlThread_.self(); } })
    , ingress_({ settings_, addresses.caller, &authority_, &forwarder_, &limiter_, &counters_,
          [this] { return controlThread_.view(); }, [this] { return controlThread_.self(); },
          [this](const std::string& fingerprint) { reportCrash(fingerprint); } })
    , operatorServer_({ addresses.operatorServer, [this] { return counters_.exposition(); },
          [this] { return status(); }, [this] { return timeline_.jsonLines(); } })
{
}

Daemon::~Daemon()
{
    stop();
}

absl::Status Daemon::start()
{
    isRunning_ = true;
    if (absl::Status status = network_.start(); !status.ok())
        return status;
    if (absl::Status status = operatorServer_.start(); !status.ok())
        return status;
    gate_.start();
    peerRequests_.start();
    controlThread_.start();
    limiter_.start();
    return ingress_.start();
}

void Daemon::stop()
{
    if (!std::exchange(isRunning_, false))
        return;
    if (!controlThread_.depart(departureTimeout))
        log(LogLevel::Warning, "departure-timed-out", {});
    ingress_.stop();
    limiter_.stop();
    gate_.stop();
    peerRequests_.stop();
    controlThread_.stop();
    operatorServer_.stop();
    network_.stop();
}

void Daemon::onFrame(LinkId link, Frame frame)
{
    peer::PeerMessage& message = frame.message;
    if (message.forwardedRequest) {
        peerRequests_.onRequest(link, *std::move(message.forwardedRequest), frame.body);
    } else if (message.forwardedAnswer) {
        forwarder_.onAnswer(link, *message.forwardedAnswer, frame.body);
    } else if (message.bodyChunk) {
        // A link carries either requests or answers; the component that does not know the id ignores the
        // chunk.
        forwarder_.onAnswerChunk(link, *message.bodyChunk, frame.body);
        peerRequests_.onRequestChunk(link, *message.bodyChunk, frame.body);
    } else if (message.refusal) {
        forwarder_.onRefusal(link, *message.refusal);
    } else if (message.cancel) {
        peerRequests_.onCancel(link, *message.cancel);
    } else if (message.crashReport) {
        const peer::CrashReport& report = *message.crashReport;
        ingress_.recordCrash(report.fingerprint,
            nodeObject(instanceId(report.reporter)) + "/" + std::to_string(report.sequence));
    } else if (message.shareRequest) {
        limiter_.onShareRequest(link, *message.shareRequest);
    } else if (message.shareGrant) {
        limiter_.onShareGrant(*message.shareGrant);
    } else {
        controlThread_.onMessage(link, std::move(message));
    }
}

void Daemon::reportCrash(const std::string& fingerprint)
{
    const InstanceId self = controlThread_.self();
    peer::PeerMessage message;
    message.crashReport = peer::CrashReport { fingerprint, toMessage(self), ++crashReports_ };
    timeline_.record("server-crash-suspect", { { "fingerprint", fingerprint } });
    counters_.counter("crash_suspects_total")++;
    ingress_.recordCrash(fingerprint, nodeObject(self) + "/" + std::to_string(message.crashReport->sequence));
    const auto view = controlThread_.view();
    for (const auto& [name, node] : view->nodes) {
        if (node->entry.state == stored::State::Joined && instanceId(node->entry) != self)
            network_.send(network_.linkTo(node->entry.peerAddress), { message, {} });
    }
}

std::string Daemon::status() const
{
    const auto view = controlThread_.view();
    const InstanceId self = controlThread_.self();
    const nlohmann::json value { { "name", self.name }, { "incarnation", self.incarnation },
        { "holdsLease", authority_.holdsLease(BootClock::now()) }, { "configVersion", view->configVersion },
        { "grants", authority_.grants().size() }, { "load", gate_.load() },
        { "serverUp", gate_.isServerUp() }, { "instances", instancesOf(*view) },
        { "services", ownersOf(*view) } };
    return value.dump();
}

}
