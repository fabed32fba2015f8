#include "daemon/daemon.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr size_t timelineCapacity = 10'000;
    constexpr Milliseconds departPatience { 20'000 };

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
    const auto operatorPort = parseAddress(settings_.operatorAddress);
    const auto server = parseAddress(settings_.serverAddress);
    for (const auto* address : { &caller, &peer, &operatorPort, &server }) {
        if (!address->ok())
            return address->status();
    }
    const Addresses addresses { *caller, *peer, *operatorPort, *server };
    return std::unique_ptr<Daemon>(new Daemon(settings_, secret_, addresses));
}

Daemon::Daemon(settings::SettingsSchema settings, const std::string& secret, const Addresses& addresses)
    : settings_(std::move(settings))
    , timeline_(settings_.name, timelineCapacity)
    , network_({ addresses.peer, secret, &counters_, nullptr,
          [this](LinkId link, Frame frame) { onFrame(link, std::move(frame)); },
          [this](LinkId link, bool wasOpen) {
              forwarder_.onClosed(link, wasOpen);
              gateway_.onClosed(link);
          },
          nullptr })
    , gate_({ addresses.server, static_cast<int>(settings_.serverSlots), settings_.serverChecksFences,
          &authority_, &counters_, &timeline_, nullptr })
    , gateway_({ &gate_, &network_, &counters_ })
    , forwarder_(gate_, network_, counters_)
    , control_({ settings_, &authority_, &counters_, &timeline_, &network_,
          [this] { return gate_.isServerUp(); }, [this] { return gate_.isServerDraining(); },
          [this](const std::shared_ptr<const FleetView>& view) { entrance_.onView(view); } })
    , limiter_(
          { &authority_, &network_, [this] { return control_.view(); }, [this] { return control_.self(); } })
    , entrance_({ settings_, addresses.caller, &authority_, &forwarder_, &limiter_, &counters_,
          [this] { return control_.view(); }, [this] { return control_.self(); },
          [this](const std::string& fingerprint) { reportCrash(fingerprint); } })
    , operatorPort_({ addresses.operatorPort, [this] { return counters_.exposition(); },
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
    if (absl::Status status = operatorPort_.start(); !status.ok())
        return status;
    gate_.start();
    gateway_.start();
    control_.start();
    limiter_.start();
    return entrance_.start();
}

void Daemon::stop()
{
    if (!std::exchange(isRunning_, false))
        return;
    if (!control_.depart(departPatience))
        log(LogLevel::Warning, "departed-incompletely", {});
    entrance_.stop();
    limiter_.stop();
    gate_.stop();
    gateway_.stop();
    control_.stop();
    operatorPort_.stop();
    network_.stop();
}

void Daemon::onFrame(LinkId link, Frame frame)
{
    peer::PeerMessage& message = frame.message;
    if (message.forwardedRequest) {
        gateway_.onRequest(link, *std::move(message.forwardedRequest), frame.body);
    } else if (message.forwardedAnswer) {
        forwarder_.onAnswer(link, *message.forwardedAnswer, frame.body);
    } else if (message.bodyChunk) {
        // Of one link, either requests or answers come in: the other side finds no such id.
        forwarder_.onAnswerChunk(link, *message.bodyChunk, frame.body);
        gateway_.onRequestChunk(link, *message.bodyChunk, frame.body);
    } else if (message.refusal) {
        forwarder_.onRefusal(link, *message.refusal);
    } else if (message.cancel) {
        gateway_.onCancel(link, *message.cancel);
    } else if (message.crashReport) {
        const peer::CrashReport& report = *message.crashReport;
        entrance_.noteCrash(report.fingerprint,
            nodeObject(instanceId(report.reporter)) + "/" + std::to_string(report.sequence));
    } else if (message.shareRequest) {
        limiter_.onShareRequest(link, *message.shareRequest);
    } else if (message.shareGrant) {
        limiter_.onShareGrant(*message.shareGrant);
    } else {
        control_.onMessage(link, std::move(message));
    }
}

void Daemon::reportCrash(const std::string& fingerprint)
{
    const InstanceId self = control_.self();
    peer::PeerMessage message;
    message.crashReport = peer::CrashReport { fingerprint, toMessage(self), ++crashReports_ };
    timeline_.record("server-crash-suspect", { { "fingerprint", fingerprint } });
    counters_.counter("crash_suspects_total")++;
    entrance_.noteCrash(fingerprint, nodeObject(self) + "/" + std::to_string(message.crashReport->sequence));
    const auto view = control_.view();
    for (const auto& [name, node] : view->nodes) {
        if (node->entry.state == stored::State::Joined && instanceId(node->entry) != self)
            network_.send(network_.linkTo(node->entry.peerAddress), { message, {} });
    }
}

std::string Daemon::status() const
{
    const auto view = control_.view();
    const InstanceId self = control_.self();
    const nlohmann::json value { { "name", self.name }, { "incarnation", self.incarnation },
        { "holdsLease", authority_.holdsLease(BootClock::now()) }, { "configVersion", view->configVersion },
        { "grants", authority_.grants().size() }, { "load", gate_.load() },
        { "serverUp", gate_.isServerUp() }, { "instances", instancesOf(*view) },
        { "services", ownersOf(*view) } };
    return value.dump();
}

}
