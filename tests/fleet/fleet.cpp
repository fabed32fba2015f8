#include "fleet/fleet.h"

#include "base/hashing.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

namespace persimmonfield::testing {
namespace {

    namespace fs = std::filesystem;
    using nlohmann::json;

    constexpr int portsPerInstance = 4;
    constexpr Milliseconds pollInterval { 20 };
    constexpr time_t readSeconds = 65;
    constexpr const char* host = "127.0.0.1";

    json getJson(int port, const std::string& target)
    {
        const HttpAnswer answer = call(port, { "GET", target, {}, {} });
        const json value = json::parse(answer.body, nullptr, false);
        return answer.status == 200 && !value.is_discarded() ? value : json();
    }

    void writeFile(const fs::path& path, const std::string& text)
    {
        std::ofstream(path, std::ios::binary) << text;
    }

}

std::string HttpAnswer::header(const std::string& name) const
{
    for (const auto& [each, value] : headers) {
        if (each.size() == name.size() && strcasecmp(each.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

httplib::Request toHttplibRequest(const HttpCall& call)
{
    httplib::Request request;
    request.method = call.method;
    request.path = call.target;
    request.body = call.body;
    for (const auto& [name, value] : call.headers)
        request.headers.emplace(name, value);
    return request;
}

HttpAnswer call(int port, const HttpCall& request)
{
    httplib::Client client(host, port);
    client.set_tcp_nodelay(true);
    client.set_decompress(false);
    client.set_url_encode(false);
    client.set_read_timeout(readSeconds, 0);
    const auto result = client.send(toHttplibRequest(request));
    HttpAnswer answer;
    if (!result)
        return answer;
    answer.status = result->status;
    answer.body = result->body;
    for (const auto& [name, value] : result->headers)
        answer.headers.emplace(name, value);
    return answer;
}

std::string keyOf(const std::string& team)
{
    return team + "-key";
}

std::string keySection(const std::string& team)
{
    return fmt::format("[key {0}]\nteam = {0}\nsha256 = {1}\n", team, sha256Hex(keyOf(team)));
}

Fleet::Fleet(std::string binaryDirectory, int firstPort)
    : binaryDirectory_(std::move(binaryDirectory))
    , directory_((fs::temp_directory_path() / ("persimmonfield-" + randomHex(6))).string())
    , platformPort_(firstPort)
    , nextPort_(firstPort + 1)
{
    fs::create_directories(directory_ + "/config");
    writeFile(directory_ + "/secret", "a secret of the test fleet\n");
}

Fleet::~Fleet()
{
    instances_.clear();
    platform_.reset();
    std::error_code ignored;
    if (!std::getenv("KEEP_FLEET_LOGS"))
        fs::remove_all(directory_, ignored);
}

std::string Fleet::platformUrl() const
{
    return fmt::format("http://{}:{}", host, platformPort_);
}

void Fleet::startPlatform()
{
    const std::vector<std::string> command { binaryDirectory_ + "/tests/standin-platform",
        fmt::format("--port={}", platformPort_) };
    platform_ = std::make_unique<Process>(command, directory_ + "/platform.log");
    waitUntil([this] { return !platformCounts().is_null(); });
}

std::string Fleet::settingsOf(const Member& member) const
{
    std::string seeds;
    for (const Member& other : instances_) {
        if (other.spec.name != member.spec.name && seeds.size() < 100)
            seeds += fmt::format("{}{}:{}", seeds.empty() ? "" : ", ", host, other.firstPort + 1);
    }
    return fmt::format("[persimmonfieldd]\nname = {}\nzone = {}\nservice = {}\n"
                       "caller-address = {}:{}\npeer-address = {}:{}\noperator-address = {}:{}\n"
                       "server-address = {}:{}\nserver-checks-fences = {}\nserver-slots = {}\n"
                       "caller-connections = {}\nplatform = {}\npeer-secret-file = {}/secret\n{}",
        member.spec.name, member.spec.zone, member.spec.service, host, member.firstPort, host,
        member.firstPort + 1, host, member.firstPort + 2, host, member.firstPort + 3,
        member.spec.checksFences ? "yes" : "no", member.spec.slots, member.spec.callerConnections,
        platformUrl(), directory_, seeds.empty() ? "" : "seeds = " + seeds + "\n");
}

void Fleet::addInstance(const InstanceSpec& spec)
{
    Member member;
    member.spec = spec;
    member.firstPort = nextPort_;
    nextPort_ += portsPerInstance;
    instances_.push_back(std::move(member));
    startServer(instances_.size() - 1);
    startDaemon(instances_.size() - 1);
}

void Fleet::startServer(size_t index, const std::vector<std::string>& moreFlags)
{
    Member& member = instances_[index];
    std::vector<std::string> command { binaryDirectory_ + "/tests/standin-server",
        fmt::format("--port={}", serverPort(index)), fmt::format("--slots={}", member.spec.slots) };
    if (member.spec.checksFences)
        command.emplace_back("--checks-fences");
    command.insert(command.end(), member.spec.serverFlags.begin(), member.spec.serverFlags.end());
    command.insert(command.end(), moreFlags.begin(), moreFlags.end());
    member.server = std::make_unique<Process>(command, directory_ + "/" + member.spec.name + "-server.log");
}

void Fleet::startDaemon(size_t index)
{
    Member& member = instances_[index];
    const std::string settings = directory_ + "/" + member.spec.name + ".ini";
    writeFile(settings, settingsOf(member));
    const std::vector<std::string> command { binaryDirectory_ + "/persimmonfieldd",
        "--settings=" + settings };
    member.daemon = std::make_unique<Process>(command, directory_ + "/" + member.spec.name + ".log");
}

int Fleet::apply(const std::string& text)
{
    writeFile(directory_ + "/config/fleet.ini", text);
    std::string output;
    return runPersimmonctl({ "apply", directory_ + "/config" }, output);
}

int Fleet::runPersimmonctl(const std::vector<std::string>& arguments, std::string& output)
{
    std::vector<std::string> command { binaryDirectory_ + "/persimmonctl", "--platform=" + platformUrl() };
    command.insert(command.end(), arguments.begin(), arguments.end());
    return runProgram(command, output);
}

json Fleet::status(size_t index) const
{
    return getJson(instances_[index].firstPort + 2, "/status");
}

std::string Fleet::metrics(size_t index) const
{
    return call(instances_[index].firstPort + 2, { "GET", "/metrics", {}, {} }).body;
}

json Fleet::runs(size_t index) const
{
    return getJson(serverPort(index), "/standin/runs");
}

void Fleet::commandPlatform(const json& command) const
{
    call(platformPort_, { "POST", "/control", {}, command.dump() });
}

void Fleet::commandServer(size_t index, const json& command) const
{
    call(serverPort(index), { "POST", "/standin/control", {}, command.dump() });
}

json Fleet::platformCounts() const
{
    return getJson(platformPort_, "/counts");
}

bool Fleet::waitUntil(const std::function<bool()>& condition, Milliseconds timeout)
{
    const TimePoint end = BootClock::now() + timeout;
    while (!condition()) {
        if (BootClock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

bool Fleet::waitUntilOwned(const std::string& service, int partitions)
{
    return waitUntil([&] {
        for (size_t i = 0; i < instances_.size(); ++i) {
            if (!instances_[i].daemon || !instances_[i].daemon->isRunning())
                continue;
            const json state = status(i);
            if (state.is_null() || !state.value("holdsLease", false))
                return false;
            const json owners
                = state["services"].value(service, json::object()).value("partitionsByOwner", json::object());
            int owned = 0;
            for (const auto& [owner, count] : owners.items())
                owned += owner.empty() ? 0 : count.get<int>();
            if (owned != partitions || state["services"][service].value("moving", 1) != 0)
                return false;
        }
        return true;
    });
}

}
