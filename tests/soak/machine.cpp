#include "soak/machine.h"

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <utility>

namespace persimmonfield::soak {
namespace {

    constexpr const char* host = "127.0.0.1";
    constexpr int firstPort = 22'000;
    constexpr int portsPerMachine = 20;
    constexpr int zones = 3;
    constexpr Milliseconds defaultWorkTime { 40 };

    enum PortOffset {
        CallerPort,
        ReportPort,
        ReadinessPort,
        ServerPort,
        PeerPort, // The first internal port; the next one serves the metrics.
        LastInternalPort = PeerPort + 1,
        StoreProxyPort,
        PeerProxyPort,
        ServerProxyPort,
    };

}

const Address Machine::storeAddress { host, firstPort - 1 };

Machine::Machine(asio::io_context& loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , throttleTimer_(loop)
{
    storeProxy_ = std::make_unique<FaultProxy>(loop, address(StoreProxyPort), storeAddress);
    peerProxy_ = std::make_unique<FaultProxy>(loop, address(PeerProxyPort), address(PeerPort));
    caller_ = std::make_unique<HttpClient>(
        loop, HttpClientOptions { address(CallerPort), Milliseconds(1'000), Milliseconds(8'000), false, {} });
    startDaemon();
    startServer(false);
}

std::string Machine::name() const
{
    return fmt::format("m{}", options_.index);
}

std::string Machine::zone() const
{
    return fmt::format("zone-{}", options_.index % zones);
}

Address Machine::callerAddress() const
{
    return address(CallerPort);
}

Address Machine::address(int offset) const
{
    return { host, firstPort + options_.index * portsPerMachine + offset };
}

std::string Machine::proxiedPeerAddress() const
{
    return address(PeerProxyPort).text();
}

std::string Machine::writeSettings() const
{
    const std::string path = fmt::format("{}/{}.ini", options_.directory, name());
    std::ofstream file(path);
    file << "[instance]\nname = " << name() << "\nzone = " << zone() << "\nservice = " << options_.service
         << "\ncaller-address = " << address(CallerPort).text()
         << "\nreport-address = " << address(ReportPort).text()
         << "\nreadiness-address = " << address(ReadinessPort).text() << "\nhost = " << host
         << "\ninternal-ports = " << address(PeerPort).port << "," << address(LastInternalPort).port
         << "\nserver-address = " << address(ServerProxyPort).text()
         << "\nstore-address = " << address(StoreProxyPort).text()
         << "\nreport-interval = 300ms\n[bounds]\ndrain = 2000ms\ngrace = 6s\nquotaSlack = 20\n";
    return path;
}

void Machine::startDaemon()
{
    unthrottleDaemon();
    setenv("PERSIMMONFIELD_CONFIG", writeSettings().c_str(), 1);
    daemon_ = std::make_unique<testing::Process>(
        std::vector<std::string> { options_.program }, fmt::format("{}/{}.log", options_.directory, name()));
}

void Machine::throttleDaemon(Milliseconds on, Milliseconds off)
{
    isThrottled_ = true;
    alternateFreeze(true, on, off);
}

void Machine::unthrottleDaemon()
{
    if (std::exchange(isThrottled_, false))
        freezeDaemon(false);
    throttleTimer_.cancel();
}

void Machine::alternateFreeze(bool isFrozen, Milliseconds on, Milliseconds off)
{
    freezeDaemon(isFrozen);
    throttleTimer_.expires_after(isFrozen ? off : on);
    throttleTimer_.async_wait([this, isFrozen, on, off](std::error_code error) {
        if (!error && isThrottled_)
            alternateFreeze(!isFrozen, on, off);
    });
}

void Machine::stopServer()
{
    server().stop();
    serverProxies_.back()->stop();
}

void Machine::setWorkTime(std::optional<Milliseconds> time)
{
    workTime_ = time.value_or(defaultWorkTime);
    server().setWorkTime(workTime_);
}

void Machine::startServer(bool hasSameId)
{
    const auto incarnation = static_cast<int64_t>(servers_.size()) + 1;
    const std::string id
        = hasSameId && !servers_.empty() ? server().id() : fmt::format("{}-s{}", name(), incarnation);
    servers_.push_back(std::make_unique<StandInServer>(loop_,
        StandInServerOptions { id, options_.service, zone(), address(ServerPort), address(ReportPort),
            address(ServerProxyPort), incarnation }));
    serverProxies_.push_back(
        std::make_unique<FaultProxy>(loop_, address(ServerProxyPort), address(ServerPort)));
    serverProxies_.back()->setResponseFilter(options_.responseFilter);
    setWorkTime(std::nullopt);
    options_.onServerStarted(server());
}

}
