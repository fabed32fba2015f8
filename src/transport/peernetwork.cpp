#include "transport/peernetwork.h"

#include "base/hashing.h"
#include "base/logger.h"

#include <absl/status/status.h>
#include <fmt/format.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmonfield {
namespace {

    using Client = websocketpp::client<websocketpp::config::asio_client>;
    using Server = websocketpp::server<websocketpp::config::asio>;
    using Handle = websocketpp::connection_hdl;

    constexpr const char* secretHeader = "Persimmonfield-Peer-Secret";
    constexpr long dialTimeoutMs = 700;
    constexpr Milliseconds checkInterval { 100 };
    constexpr Milliseconds pingInterval { 200 };
    constexpr Milliseconds silenceTimeout { 800 };
    // A link on which this daemon has sent no frame for this long is no longer pinged.
    constexpr Milliseconds activityWindow { 5'000 };
    constexpr size_t maxBacklogBytes = 67'108'864;
    // Frames up to this size are sent even if the backlog of all links together is full.
    constexpr size_t smallFrameBytes = 131'072;
    constexpr size_t writableBacklogBytes = 1'048'576;

    enum class LinkState {
        Dialing,
        Open,
    };

    struct Link {
        LinkId id = 0;
        std::string address; // Empty if the other daemon dialed the link.
        LinkState state = LinkState::Dialing;
        bool isRetired = false;
        Handle handle;
        std::vector<Frame> queuedFrames; // Sent when the link is open.
        TimePoint lastSent;
        TimePoint lastPing;
        TimePoint lastReceived;
        // When the first ping was sent since which nothing has been received.
        std::optional<TimePoint> unansweredSince;
    };

}

class PeerNetwork::Impl {
public:
    explicit Impl(PeerNetworkOptions options)
        : options_(std::move(options))
    {
    }

    void setSecret(const std::string& secret) { options_.secret = secret; }
    bool isStarted() const { return isStarted_; }

    absl::Status start()
    {
        isStarted_ = true;
        configureEndpoint(client_);
        configureEndpoint(server_);
        server_.set_reuse_addr(true);
        server_.set_validate_handler([this](const Handle& handle) { return isHandshakeAllowed(handle); });
        server_.set_open_handler([this](const Handle& handle) { onLinkAccepted(handle); });
        client_.set_open_handler([this](const Handle& handle) { onLinkDialed(handle); });
        client_.set_fail_handler([this](const Handle& handle) { onLinkClosed(handle); });
        const auto port = static_cast<uint16_t>(options_.listenAddress.port);
        std::error_code error;
        const auto host = asio::ip::make_address(options_.listenAddress.host, error);
        server_.listen(asio::ip::tcp::endpoint(host, port), error);
        if (error)
            return absl::UnavailableError(
                fmt::format("cannot listen on {}: {}", options_.listenAddress.text(), error.message()));
        server_.start_accept(error);
        scheduleSilenceCheck();
        if (!options_.loop)
            thread_ = std::thread([this] { ownLoop_.run(); });
        return absl::OkStatus();
    }

    void stop()
    {
        ownLoop_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    LinkId linkTo(const std::string& address)
    {
        if (!isStarted_ || !parseAddress(address).ok())
            return 0;
        std::unique_lock lock(mutex_);
        const auto known = byAddress_.find(address);
        if (known != byAddress_.end())
            return known->second;
        std::error_code error;
        auto connection = client_.get_connection("ws://" + address, error);
        if (error)
            return 0;
        connection->append_header(secretHeader, options_.secret);
        connection->set_open_handshake_timeout(dialTimeoutMs);
        const LinkId id = addLink(connection->get_handle(), address, LinkState::Dialing);
        lock.unlock();
        client_.connect(connection);
        return id;
    }

    bool send(LinkId id, const Frame& frame)
    {
        Handle handle;
        bool isDialed = false;
        {
            std::lock_guard lock(mutex_);
            const auto found = links_.find(id);
            if (found == links_.end())
                return false;
            Link& link = found->second;
            if (link.isRetired)
                return false;
            link.lastSent = BootClock::now();
            if (frame.body.size() > smallFrameBytes && !hasRoomFor(frame.body.size())) {
                options_.counters->counter("peer_frames_unsent_total")++;
                return false;
            }
            if (link.state == LinkState::Dialing) {
                link.queuedFrames.push_back(frame);
                return true;
            }
            handle = link.handle;
            isDialed = !link.address.empty();
        }
        const std::string bytes = encodeFrame(frame);
        return isDialed ? sendBytes(client_, handle, bytes) : sendBytes(server_, handle, bytes);
    }

    bool withdrawRequest(LinkId id, int64_t number)
    {
        std::lock_guard lock(mutex_);
        const auto link = links_.find(id);
        if (link == links_.end())
            return false;
        auto& queuedFrames = link->second.queuedFrames;
        const auto frame
            = std::find_if(queuedFrames.begin(), queuedFrames.end(), [number](const Frame& each) {
                  const peer::PeerMessage& message = each.message;
                  return (message.forwardedRequest && message.forwardedRequest->id == number)
                      || (message.bodyOffer && message.bodyOffer->request.id == number);
              });
        if (frame == queuedFrames.end())
            return false;
        queuedFrames.erase(frame);
        return true;
    }

    std::vector<LinkId> openLinks(bool isAcceptedOnly) const
    {
        std::lock_guard lock(mutex_);
        std::vector<LinkId> open;
        for (const auto& [id, link] : links_) {
            if (link.state == LinkState::Open && (!isAcceptedOnly || link.address.empty()))
                open.push_back(id);
        }
        return open;
    }

    void refuseLinks()
    {
        isRefusingLinks_ = true;
        if (!server_.is_listening())
            return;
        std::error_code error;
        server_.stop_listening(error);
        if (error)
            log(LogLevel::Warning, "peer-listener-not-closed", { { "cause", error.message() } });
    }

    void retire(LinkId id)
    {
        std::lock_guard lock(mutex_);
        const auto found = links_.find(id);
        if (found == links_.end())
            return;
        found->second.isRetired = true;
        removeAddress(found->second);
    }

    void close(LinkId id)
    {
        Handle handle;
        bool isDialed = false;
        {
            std::lock_guard lock(mutex_);
            const auto found = links_.find(id);
            if (found == links_.end())
                return;
            handle = found->second.handle;
            isDialed = !found->second.address.empty();
        }
        std::error_code error;
        if (isDialed)
            client_.close(handle, websocketpp::close::status::going_away, {}, error);
        else
            server_.close(handle, websocketpp::close::status::going_away, {}, error);
        if (error)
            log(LogLevel::Info, "link-not-closed", { { "link", id }, { "cause", error.message() } });
    }

    bool waitUntilWritable(LinkId id, TimePoint deadline)
    {
        while (true) {
            const auto backlog = backlogBytes(id);
            if (!backlog)
                return false;
            if (*backlog <= writableBacklogBytes)
                return true;
            if (BootClock::now() >= deadline)
                return false;
            std::this_thread::sleep_for(Milliseconds(1));
        }
    }

private:
    template <typename Endpoint> void configureEndpoint(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(options_.loop ? options_.loop : &ownLoop_);
        endpoint.set_max_message_size(maxFrameBytes);
        endpoint.set_tcp_post_init_handler([&endpoint](const Handle& handle) {
            std::error_code ignored;
            endpoint.get_con_from_hdl(handle)->get_raw_socket().set_option(
                asio::ip::tcp::no_delay(true), ignored);
        });
        endpoint.set_message_handler(
            [this](const Handle& handle, const typename Endpoint::message_ptr& message) {
                onMessage(handle, message->get_payload());
            });
        endpoint.set_pong_handler([this](const Handle& handle, const std::string&) { onPong(handle); });
        endpoint.set_close_handler([this](const Handle& handle) { onLinkClosed(handle); });
    }

    template <typename Endpoint>
    static bool sendBytes(Endpoint& endpoint, const Handle& handle, const std::string& bytes)
    {
        std::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (error || connection->get_buffered_amount() > maxBacklogBytes)
            return false;
        return !connection->send(bytes, websocketpp::frame::opcode::binary);
    }

    std::optional<size_t> backlogBytes(LinkId id)
    {
        std::lock_guard lock(mutex_);
        const auto found = links_.find(id);
        if (found == links_.end())
            return std::nullopt;
        const Link& link = found->second;
        if (link.state == LinkState::Dialing)
            return link.queuedFrames.size() * maxBodyBytesPerFrame;
        std::error_code error;
        if (link.address.empty()) {
            const auto connection = server_.get_con_from_hdl(link.handle, error);
            return error ? std::nullopt : std::optional(connection->get_buffered_amount());
        }
        const auto connection = client_.get_con_from_hdl(link.handle, error);
        return error ? std::nullopt : std::optional(connection->get_buffered_amount());
    }

    // Whether a large frame may be sent now. One may always be if none waits. Call with the mutex held.
    bool hasRoomFor(size_t bytes)
    {
        size_t backlog = 0;
        for (const auto& [id, link] : links_) {
            std::error_code error;
            for (const Frame& frame : link.queuedFrames)
                backlog += frame.body.size();
            if (link.state != LinkState::Open)
                continue;
            if (link.address.empty()) {
                if (const auto accepted = server_.get_con_from_hdl(link.handle, error))
                    backlog += accepted->get_buffered_amount();
            } else if (const auto dialed = client_.get_con_from_hdl(link.handle, error)) {
                backlog += dialed->get_buffered_amount();
            }
        }
        return backlog == 0 || backlog + bytes <= options_.maxTotalBacklogBytes;
    }

    bool isHandshakeAllowed(const Handle& handle)
    {
        if (isRefusingLinks_)
            return false;
        const std::string receivedSecret = server_.get_con_from_hdl(handle)->get_request_header(secretHeader);
        if (equalsInConstantTime(receivedSecret, options_.secret))
            return true;
        options_.counters->counter("peer_links_refused_total")++;
        return false;
    }

    // Call with the mutex held.
    LinkId addLink(const Handle& handle, const std::string& address, LinkState state)
    {
        const LinkId id = nextId_++;
        Link& link = links_[id];
        link.id = id;
        link.address = address;
        link.state = state;
        link.handle = handle;
        link.lastSent = link.lastPing = link.lastReceived = BootClock::now();
        byHandle_[handle] = id;
        if (!address.empty())
            byAddress_[address] = id;
        return id;
    }

    void onLinkAccepted(const Handle& handle)
    {
        LinkId id = 0;
        {
            std::lock_guard lock(mutex_);
            id = addLink(handle, {}, LinkState::Open);
        }
        if (options_.onAccepted)
            options_.onAccepted(id);
    }

    void onLinkDialed(const Handle& handle)
    {
        std::lock_guard lock(mutex_);
        const auto id = byHandle_.find(handle);
        if (id == byHandle_.end())
            return;
        Link& link = links_[id->second];
        recordReceived(link);
        for (const Frame& frame : link.queuedFrames)
            sendBytes(client_, handle, encodeFrame(frame));
        link.queuedFrames.clear();
        link.state = LinkState::Open;
    }

    void onLinkClosed(const Handle& handle)
    {
        LinkId id = 0;
        bool wasOpen = false;
        {
            std::lock_guard lock(mutex_);
            const auto found = byHandle_.find(handle);
            if (found == byHandle_.end())
                return;
            id = found->second;
            wasOpen = links_[id].state == LinkState::Open;
            removeLink(id);
        }
        options_.onClosed(id, wasOpen);
    }

    // Call with the mutex held.
    void removeLink(LinkId id)
    {
        const Link& link = links_[id];
        removeAddress(link);
        byHandle_.erase(link.handle);
        links_.erase(id);
    }

    // Call with the mutex held.
    void removeAddress(const Link& link)
    {
        const auto current = byAddress_.find(link.address);
        if (current != byAddress_.end() && current->second == link.id)
            byAddress_.erase(current);
    }

    void onPong(const Handle& handle)
    {
        std::lock_guard lock(mutex_);
        const auto id = byHandle_.find(handle);
        if (id != byHandle_.end())
            recordReceived(links_[id->second]);
    }

    static void recordReceived(Link& link)
    {
        link.unansweredSince.reset();
        link.lastReceived = BootClock::now();
    }

    void onMessage(const Handle& handle, const std::string& payload)
    {
        LinkId id = 0;
        {
            std::lock_guard lock(mutex_);
            const auto found = byHandle_.find(handle);
            if (found == byHandle_.end())
                return;
            id = found->second;
            recordReceived(links_[id]);
        }
        options_.counters->counter("peer_bytes_received_total") += static_cast<int64_t>(payload.size());
        auto frame = decodeFrame(payload);
        if (!frame.ok()) {
            options_.counters->counter("peer_frames_refused_total")++;
            log(LogLevel::Warning, "frame-refused", { { "cause", std::string(frame.status().message()) } });
            return;
        }
        try {
            options_.onFrame(id, *std::move(frame));
        } catch (const std::exception& error) {
            // Whoever waits for an answer to the frame learns from the closed link that none will come.
            options_.counters->counter("peer_frames_failed_total")++;
            log(LogLevel::Error, "frame-failed", { { "link", id }, { "cause", error.what() } });
            close(id);
        }
    }

    void scheduleSilenceCheck()
    {
        const TimePoint due = BootClock::now() + checkInterval;
        client_.set_timer(checkInterval.count(), [this, due](const std::error_code& error) {
            if (error)
                return;
            options_.counters->histogram("loop_delay_seconds").observe(BootClock::now() - due);
            checkSilence();
            scheduleSilenceCheck();
        });
    }

    // Pings the dialed links that are in use, and terminates those on which nothing has been received for
    // silenceTimeout: a device on the network path may have dropped the connection without notifying either
    // end. Retired links are not pinged, since the other daemon is expected to close them; they are
    // terminated after the same time.
    void checkSilence()
    {
        std::vector<Handle> toPing;
        std::vector<Handle> toTerminate;
        {
            std::lock_guard lock(mutex_);
            const TimePoint now = BootClock::now();
            for (auto& [id, link] : links_) {
                if (link.state != LinkState::Open || link.address.empty())
                    continue;
                if (link.isRetired) {
                    if (now - link.lastReceived > silenceTimeout)
                        toTerminate.push_back(link.handle);
                    continue;
                }
                if (now - link.lastSent > activityWindow)
                    continue;
                // A link with recently received data needs no ping.
                if (!link.unansweredSince && now - link.lastReceived < pingInterval)
                    continue;
                if (link.unansweredSince && now - *link.unansweredSince > silenceTimeout) {
                    toTerminate.push_back(link.handle);
                } else if (now - link.lastPing >= pingInterval) {
                    link.lastPing = now;
                    link.unansweredSince = link.unansweredSince.value_or(now);
                    toPing.push_back(link.handle);
                }
            }
        }
        std::error_code error;
        for (const Handle& handle : toPing)
            client_.ping(handle, {}, error);
        for (const Handle& handle : toTerminate) {
            options_.counters->counter("peer_links_silent_total")++;
            const auto connection = client_.get_con_from_hdl(handle, error);
            onLinkClosed(handle);
            if (!error && connection)
                connection->terminate(std::make_error_code(std::errc::timed_out));
        }
    }

    PeerNetworkOptions options_;
    asio::io_context ownLoop_;
    Client client_;
    Server server_;
    std::thread thread_;
    std::atomic<bool> isStarted_ { false };
    std::atomic<bool> isRefusingLinks_ { false };
    mutable std::mutex mutex_;
    LinkId nextId_ = 1;
    std::unordered_map<LinkId, Link> links_;
    std::unordered_map<std::string, LinkId> byAddress_;
    std::map<Handle, LinkId, std::owner_less<Handle>> byHandle_;
};

PeerNetwork::PeerNetwork(PeerNetworkOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

PeerNetwork::~PeerNetwork()
{
    stop();
}

absl::Status PeerNetwork::start()
{
    return impl_->start();
}

absl::Status PeerNetwork::start(const std::string& secret)
{
    impl_->setSecret(secret);
    return impl_->start();
}

bool PeerNetwork::isStarted() const
{
    return impl_->isStarted();
}

void PeerNetwork::stop()
{
    impl_->stop();
}

LinkId PeerNetwork::linkTo(const std::string& address)
{
    return impl_->linkTo(address);
}

bool PeerNetwork::send(LinkId link, const Frame& frame)
{
    return impl_->send(link, frame);
}

bool PeerNetwork::withdrawRequest(LinkId link, int64_t number)
{
    return impl_->withdrawRequest(link, number);
}

std::vector<LinkId> PeerNetwork::openLinks() const
{
    return impl_->openLinks(false);
}

std::vector<LinkId> PeerNetwork::acceptedLinks() const
{
    return impl_->openLinks(true);
}

void PeerNetwork::refuseLinks()
{
    impl_->refuseLinks();
}

void PeerNetwork::retire(LinkId link)
{
    impl_->retire(link);
}

void PeerNetwork::close(LinkId link)
{
    impl_->close(link);
}

bool PeerNetwork::waitUntilWritable(LinkId link, TimePoint deadline)
{
    return impl_->waitUntilWritable(link, deadline);
}

}
