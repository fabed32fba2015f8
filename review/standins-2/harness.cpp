#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <random>
#include <regex>
#include <sstream>

namespace review {
namespace {

    const auto startedAt = std::chrono::steady_clock::now();
    std::mutex recordMutex;
    std::ofstream recordFile;
    std::mutex processMutex;
    std::set<int> processes;
    std::string temporaryFolder;

    std::string lower(std::string text)
    {
        std::transform(
            text.begin(), text.end(), text.begin(), [](unsigned char each) { return std::tolower(each); });
        return text;
    }

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int bindTo(int port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = loopback(port);
        if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return socket;
        ::close(socket);
        return -1;
    }

    const std::string& folder()
    {
        if (temporaryFolder.empty()) {
            std::string pattern = "/tmp/persimmonfield-review-XXXXXX";
            temporaryFolder = ::mkdtemp(pattern.data());
        }
        return temporaryFolder;
    }

    std::string queryParameter(const std::string& target, const std::string& name)
    {
        const size_t at = target.find(name + "=");
        if (at == std::string::npos)
            return {};
        const std::string rest = target.substr(at + name.size() + 1);
        return rest.substr(0, rest.find('&'));
    }

    std::vector<std::string> split(const std::string& text, char separator)
    {
        std::vector<std::string> parts;
        std::istringstream stream(text);
        for (std::string part; std::getline(stream, part, separator);)
            parts.push_back(part);
        return parts;
    }

}

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
}

void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void finish(int exitCode)
{
    {
        std::lock_guard lock(processMutex);
        for (const int pid : processes) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        processes.clear();
    }
    if (!temporaryFolder.empty()) {
        for (const char* name : { "settings", "log" }) {
            for (int i = 0; i < 32; ++i)
                ::unlink((temporaryFolder + "/" + name + std::to_string(i)).c_str());
        }
        ::rmdir(temporaryFolder.c_str());
    }
    record("exit " + std::to_string(exitCode));
    recordFile.flush();
    std::_Exit(exitCode);
}

void openRecord(const std::string& path)
{
    ::signal(SIGPIPE, SIG_IGN);
    recordFile.open(path);
}

void record(const std::string& line)
{
    std::lock_guard lock(recordMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", now());
    recordFile << time << line << std::endl;
    std::cout << time << line << std::endl;
}

int freePorts(int count)
{
    static std::mt19937 random(std::random_device {}());
    static std::set<int> given;
    for (int attempt = 0; attempt < 1'000; ++attempt) {
        const int first = 10'000 + static_cast<int>(random() % 20'000);
        std::vector<int> sockets;
        for (int port = first; port < first + count; ++port) {
            const int socket = given.count(port) > 0 ? -1 : bindTo(port);
            if (socket < 0)
                break;
            sockets.push_back(socket);
        }
        for (const int socket : sockets)
            ::close(socket);
        if (static_cast<int>(sockets.size()) < count)
            continue;
        for (int port = first; port < first + count; ++port)
            given.insert(port);
        return first;
    }
    record("no free ports");
    finish(2);
}

std::string Message::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (lower(key) == lower(name))
            return value;
    }
    return {};
}

bool Message::has(const std::string& name) const
{
    return std::any_of(headers.begin(), headers.end(),
        [&name](const auto& each) { return lower(each.first) == lower(name); });
}

int Message::status() const
{
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const size_t first = start.find(' ') + 1;
    return start.substr(first, start.rfind(' ') - first);
}

Connection::Connection(int socket)
    : socket_(socket)
{
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    ::close(socket_);
}

bool Connection::send(const std::string& bytes)
{
    for (size_t sent = 0; sent < bytes.size();) {
        const ssize_t size = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<size_t>(size);
    }
    return true;
}

bool Connection::fill(double deadline)
{
    pollfd state { socket_, POLLIN, 0 };
    const double left = deadline - now();
    if (left <= 0 || ::poll(&state, 1, static_cast<int>(left * 1'000) + 1) <= 0)
        return false;
    char chunk[65'536];
    const ssize_t size = ::recv(socket_, chunk, sizeof chunk, 0);
    if (size <= 0) {
        hasEnded_ = true;
        return false;
    }
    buffer_.append(chunk, static_cast<size_t>(size));
    return true;
}

std::optional<Message> Connection::read(double deadline)
{
    size_t headEnd = 0;
    while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline))
            return std::nullopt;
    }
    Message message;
    std::istringstream head(buffer_.substr(0, headEnd));
    buffer_.erase(0, headEnd + 4);
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const size_t colon = line.find(':');
        if (message.start.empty())
            message.start = line;
        else if (colon != std::string::npos)
            message.headers.emplace_back(
                line.substr(0, colon), line.substr(line.find_first_not_of(" \t", colon + 1)));
    }
    const size_t length = static_cast<size_t>(std::atoll(("0" + message.header("Content-Length")).c_str()));
    while (buffer_.size() < length) {
        if (!fill(deadline))
            return std::nullopt;
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
}

std::unique_ptr<Connection> connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return std::make_unique<Connection>(socket);
    ::close(socket);
    return nullptr;
}

std::string responseText(int status, const Headers& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string requestText(
    const std::string& method, const std::string& target, const Headers& headers, const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

Listener::Listener(int port, std::function<void(Connection&)> serve)
    : socket_(bindTo(port))
{
    if (socket_ < 0 || ::listen(socket_, 1'024) != 0) {
        record("cannot listen");
        finish(2);
    }
    std::thread([socket = socket_, serve = std::move(serve)] {
        while (true) {
            const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            std::thread([accepted, serve] {
                Connection connection(accepted);
                serve(connection);
            }).detach();
        }
    }).detach();
}

void Listener::stop()
{
    ::shutdown(socket_, SHUT_RDWR);
    ::close(socket_);
}

Store::Store(int port)
{
    listener_ = std::make_unique<Listener>(port, [this](Connection& connection) { serve(connection); });
}

void Store::put(const std::string& kind, const std::string& name, const json& spec)
{
    std::lock_guard lock(mutex_);
    objects_[{ kind, name }] = { spec, ++revision_ };
    changed_.notify_all();
}

void Store::setPeerAddress(const std::string& from, const std::string& to)
{
    std::lock_guard lock(mutex_);
    peerAddresses_[from] = to;
}

json Store::objectOf(const std::pair<std::string, std::string>& key) const
{
    const Object& object = objects_.at(key);
    json spec = object.spec;
    if (spec.is_object() && spec.contains("peerAddress")) {
        const auto mapped = peerAddresses_.find(spec.at("peerAddress").get<std::string>());
        if (mapped != peerAddresses_.end())
            spec["peerAddress"] = mapped->second;
    }
    return { { "metadata",
                 { { "name", key.second }, { "revision", object.revision }, { "created", 1 },
                     { "finalizers", json::array() }, { "deleting", false } } },
        { "spec", std::move(spec) }, { "status", nullptr } };
}

json Store::eventsAfter(const std::string& kind, int64_t revision) const
{
    json events = json::array();
    for (const auto& [key, object] : objects_) {
        if (key.first == kind && object.revision > revision)
            events.push_back({ { "object", objectOf(key) }, { "deleted", false } });
    }
    return events;
}

std::pair<int, json> Store::handle(const Message& request)
{
    const std::string target = request.target();
    const std::vector<std::string> parts = split(target.substr(1, target.find('?') - 1), '/');
    const std::string kind = parts.at(1);
    std::unique_lock lock(mutex_);
    if (request.method() == "GET") {
        if (parts.size() > 2) {
            const bool exists = objects_.count({ kind, parts[2] }) > 0;
            return { exists ? 200 : 404, exists ? objectOf({ kind, parts[2] }) : json::object() };
        }
        const std::string watch = queryParameter(target, "watch");
        if (!watch.empty()) {
            const double end = now() + std::atof(queryParameter(target, "waitMs").c_str()) / 1'000;
            json events = eventsAfter(kind, std::atoll(watch.c_str()));
            while (events.empty() && now() < end) {
                changed_.wait_for(lock, std::chrono::milliseconds(200));
                events = eventsAfter(kind, std::atoll(watch.c_str()));
            }
            return { 200, { { "events", std::move(events) }, { "atRev", revision_ } } };
        }
        json items = json::array();
        for (const auto& [key, object] : objects_) {
            if (key.first == kind)
                items.push_back(objectOf(key));
        }
        return { 200, { { "items", std::move(items) }, { "hasMore", false }, { "atRev", revision_ } } };
    }
    const json body = json::parse(request.body);
    const json& metadata = body.at("metadata");
    const bool isCreation = request.method() == "POST";
    const std::pair<std::string, std::string> key { kind,
        isCreation ? metadata.at("name").get<std::string>() : parts.at(2) };
    const auto found = objects_.find(key);
    if (isCreation && found != objects_.end())
        return { 409, objectOf(key) };
    if (!isCreation && found == objects_.end())
        return { 404, json::object() };
    if (!isCreation && metadata.contains("revision") && metadata.at("revision") != found->second.revision)
        return { 409, objectOf(key) };
    if (isCreation || found->second.spec != body.at("spec"))
        objects_[key] = { body.at("spec"), ++revision_ };
    changed_.notify_all();
    return { isCreation ? 201 : 200, objectOf(key) };
}

void Store::serve(Connection& connection)
{
    while (const auto request = connection.read(now() + 600)) {
        sleepFor(0.004);
        // A call whose caller is gone by then is not carried out.
        pollfd state { connection.socket(), POLLRDHUP, 0 };
        if (::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
            return;
        const auto [status, body] = handle(*request);
        if (!connection.send(responseText(status, { { "Content-Type", "application/json" } }, body.dump())))
            return;
    }
}

Upstream::Upstream(std::string id, std::string service, std::string zone, int port, int reportPort,
    double workSeconds, int slots)
    : id_(std::move(id))
    , service_(std::move(service))
    , zone_(std::move(zone))
    , port_(port)
    , reportPort_(reportPort)
    , workSeconds_(workSeconds)
    , slots_(slots)
    , startedMs_(std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
                     .count())
{
    listener_ = std::make_unique<Listener>(port_, [this](Connection& connection) { serve(connection); });
    std::thread([this] { report(); }).detach();
}

std::vector<Run> Upstream::runs()
{
    std::lock_guard lock(mutex_);
    return runs_;
}

bool Upstream::sendReport(int64_t sequence)
{
    const json body { { "service", service_ }, { "address", "127.0.0.1:" + std::to_string(port_) },
        { "zone", zone_ }, { "version", "v1" }, { "slots", slots_ }, { "state", "ready" },
        { "warmupLeft", "0ms" }, { "sequence", sequence }, { "born", startedMs_ } };
    const auto connection = connectTo(reportPort_);
    if (!connection)
        return false;
    connection->send(requestText("PUT", "/instances/" + id_,
        { { "Host", "control" }, { "Content-Type", "application/json" } }, body.dump()));
    const auto answer = connection->read(now() + 1);
    return answer && answer->status() == 200;
}

bool Upstream::leave()
{
    const auto connection = connectTo(reportPort_);
    if (!connection)
        return false;
    connection->send(requestText("DELETE", "/instances/" + id_, { { "Host", "control" } }, {}));
    const auto answer = connection->read(now() + 1);
    return answer && answer->status() == 200;
}

void Upstream::end()
{
    hasEnded_ = true;
    listener_->stop();
    std::lock_guard lock(mutex_);
    for (const int socket : sockets_)
        ::shutdown(socket, SHUT_RDWR);
}

void Upstream::report()
{
    while (isReporting_) {
        sendReport(++sequence_);
        sleepFor(0.87);
    }
}

void Upstream::serve(Connection& connection)
{
    {
        std::lock_guard lock(mutex_);
        sockets_.insert(connection.socket());
    }
    answer(connection);
    std::lock_guard lock(mutex_);
    sockets_.erase(connection.socket());
}

void Upstream::answer(Connection& connection)
{
    while (const auto request = connection.read(now() + 600)) {
        const std::string load = std::to_string(running_) + ",0," + std::to_string(slots_);
        if (request->target() == "/healthz") {
            if (!connection.send(responseText(200,
                    { { "Persimmonfield-Instance-Id", id_ }, { "Persimmonfield-Server-Load", load },
                        { "Persimmonfield-Warmup-Ms", "0" } },
                    {})))
                return;
            continue;
        }
        Headers headers { { "Persimmonfield-Request-Id", request->header("Persimmonfield-Request-Id") },
            { "Persimmonfield-Instance-Id", id_ }, { "Persimmonfield-Server-Load", load } };
        const std::string expected = request->header("Persimmonfield-Expect-Instance");
        const bool isMisdirected = !expected.empty() && expected != id_;
        if (isMisdirected || running_ >= slots_) {
            headers.emplace_back("Persimmonfield-Not-Executed", "1");
            if (!connection.send(responseText(isMisdirected ? 421 : 503, headers, {})))
                return;
            continue;
        }
        ++running_;
        {
            std::lock_guard lock(mutex_);
            runs_.push_back({ now(), request->header("Persimmonfield-Request-Id"), request->method(),
                request->target(), request->body.size() });
        }
        sleepFor(workSeconds_);
        --running_;
        if (hasEnded_)
            return;
        headers.emplace_back("Persimmonfield-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
        if (!connection.send(responseText(200, headers, "done by " + id_)))
            return;
    }
}

RateProxy::RateProxy(int port, int targetPort)
{
    listener_ = std::make_unique<Listener>(port, [this, targetPort](Connection& caller) {
        const auto target = connectTo(targetPort);
        if (!target)
            return;
        std::thread back(
            [this, &caller, &target] { pump(target->socket(), caller.socket(), directions_[1]); });
        pump(caller.socket(), target->socket(), directions_[0]);
        back.join();
    });
}

void RateProxy::pump(int from, int to, Direction& direction)
{
    char chunk[8'192];
    while (true) {
        const ssize_t size = ::recv(from, chunk, sizeof chunk, 0);
        if (size <= 0)
            break;
        const double rate = bitsPerSecond_;
        if (rate > 0) {
            double until = 0;
            {
                std::lock_guard lock(direction.mutex);
                direction.freeAt = std::max(direction.freeAt, now()) + static_cast<double>(size) * 8 / rate;
                until = direction.freeAt;
            }
            sleepFor(until - now());
        }
        ssize_t sent = 0;
        while (sent < size) {
            const ssize_t part = ::send(to, chunk + sent, static_cast<size_t>(size - sent), MSG_NOSIGNAL);
            if (part <= 0)
                break;
            sent += part;
        }
        if (sent < size)
            break;
    }
    ::shutdown(from, SHUT_RDWR);
    ::shutdown(to, SHUT_RDWR);
}

DelayProxy::DelayProxy(int port, int targetPort, double delaySeconds)
    : delaySeconds_(delaySeconds)
{
    listener_ = std::make_unique<Listener>(port, [this, targetPort](Connection& caller) {
        const auto target = connectTo(targetPort);
        if (!target)
            return;
        {
            std::lock_guard lock(mutex_);
            sockets_.insert({ caller.socket(), target->socket() });
        }
        std::thread back([this, &caller, &target] { pump(target->socket(), caller.socket()); });
        pump(caller.socket(), target->socket());
        back.join();
        std::lock_guard lock(mutex_);
        sockets_.erase(caller.socket());
        sockets_.erase(target->socket());
    });
}

void DelayProxy::cut()
{
    ++cuts_;
    std::lock_guard lock(mutex_);
    for (const int socket : sockets_)
        ::shutdown(socket, SHUT_RDWR);
}

void DelayProxy::pump(int from, int to)
{
    char chunk[65'536];
    while (true) {
        const ssize_t size = ::recv(from, chunk, sizeof chunk, 0);
        if (size <= 0)
            break;
        const int cuts = cuts_;
        sleepFor(delaySeconds_);
        if (cuts != cuts_ || ::send(to, chunk, static_cast<size_t>(size), MSG_NOSIGNAL) != size)
            break;
    }
    ::shutdown(from, SHUT_RDWR);
    ::shutdown(to, SHUT_RDWR);
}

Machine::Machine(std::string name, std::string zone, std::string service, int storePort, int memoryMb)
    : name_(std::move(name))
    , zone_(std::move(zone))
    , service_(std::move(service))
    , storePort_(storePort)
    , memoryMb_(memoryMb)
    , firstPort_(freePorts(7))
{
}

// The template of the deploy file, filled in with the values of this machine.
std::string Machine::settings() const
{
    const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    std::ostringstream text;
    text << "[instance]\nname = " << name_ << "\nzone = " << zone_ << "\nservice = " << service_
         << "\ncaller-address = " << address(outboundPort()) << "\nreport-address = " << address(reportPort())
         << "\nreadiness-address = " << address(readyPort())
         << "\nhost = 127.0.0.1\ninternal-ports = " << peerPort() << "," << peerPort() + 1
         << "\nserver-address = " << address(serverPort()) << "\nstore-address = " << address(storePort_)
         << "\nreport-interval = 870ms\n\n[machine]\ncores = 0.2\n"
         << "memory = " << memoryMb_ << "\ndescriptors = 4100\n\n[bounds]\nseedLag = 3s\naddrReuse = 2s\n"
         << "contact = 3000ms\nack = 4000ms\ncatchUp = 4s\ndrain = 2000ms\ngrace = 6s\nlossSlack = 200ms\n"
         << "configApply = 2000ms\nrollbackSlack = 250ms\nmaxSkew = 5000ms\nstrictRevocation = false\n"
         << "revoke = 5000ms\nretryBudgetRatio = 0.2\nbudgetWindow = 10s\nretryBudgetSlack = 56\n"
         << "quotaWindow = 5s\nquotaOverage = 0.1\nquotaSlack = 20\nwarmupOverload = 1.5\nwarmupSlack = 5\n"
         << "evacuation = 5000ms\nrecovery = 15s\nmaxHold = 10000ms\nthawSlack = 300ms\n";
    return text.str();
}

void Machine::start()
{
    static std::atomic<int> count { 0 };
    const std::string number = std::to_string(count++ % 32);
    const std::string path = folder() + "/settings" + number;
    std::ofstream(path) << settings();
    const std::string log = folder() + "/log" + number;
    const std::string variable = "PERSIMMONFIELD_CONFIG=" + path;
    const char* const program = "target/persimmonfield-platform";
    const char* const arguments[] { program, nullptr };
    const char* const environment[] { variable.c_str(), nullptr };
    std::lock_guard lock(processMutex);
    const int pid = ::fork();
    if (pid == 0) {
        const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::execve(program, const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        ::_exit(127);
    }
    pid_ = pid;
    processes.insert(pid);
}

void Machine::kill()
{
    std::lock_guard lock(processMutex);
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    processes.erase(pid_);
    pid_ = 0;
}

void Machine::terminate()
{
    ::kill(pid_, SIGTERM);
}

int64_t Machine::memory() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    int64_t all = 0;
    int64_t resident = 0;
    file >> all >> resident;
    return resident * ::sysconf(_SC_PAGESIZE);
}

bool Machine::isReady() const
{
    const auto connection = connectTo(readyPort());
    if (!connection)
        return false;
    connection->send(requestText("GET", "/readyz", { { "Host", "ready" } }, {}));
    const auto answer = connection->read(now() + 1);
    return answer && answer->status() == 200;
}

bool waitUntilReady(const std::vector<Machine*>& machines, double seconds)
{
    const double end = now() + seconds;
    while (now() < end) {
        if (std::all_of(
                machines.begin(), machines.end(), [](const Machine* each) { return each->isReady(); }))
            return true;
        sleepFor(0.1);
    }
    return false;
}

json configuration(const std::vector<std::string>& services, int timeoutMs)
{
    json rules = json::array();
    json clusters = json::array();
    const std::string timeout = std::to_string(timeoutMs) + "ms";
    for (const std::string& service : services) {
        for (const bool isRead : { true, false }) {
            rules.push_back({ { "name", (isRead ? "read-" : "write-") + service },
                { "type", isRead ? "idempotent" : "non_idempotent" }, { "targetLatency", "400ms" },
                { "priority", 1 }, { "allowAnonymous", false },
                { "match", { { "pathPrefix", "/" + service + (isRead ? "/read/" : "/write/") } } },
                { "action", { { "service", service }, { "timeout", timeout }, { "maxAttempts", 2 } } } });
        }
        clusters.push_back({ { "name", service }, { "healthPath", "/healthz" }, { "maxConnections", 110 },
            { "protocol", "h1" }, { "tls", false }, { "warmup", "3s" }, { "warmupPerS", 23.0 } });
    }
    return { { "version", "r7" },
        { "limits",
            { { "maxHeaderBytes", 16'384 }, { "maxBodyBytes", 67'108'864 }, { "headerTimeout", "3000ms" },
                { "idleTimeout", "15000ms" } } },
        { "tenants",
            json::array({ { { "name", "pulo780" }, { "apiKeys", json::array({ callerKey }) },
                { "priority", 1 }, { "ratePerS", 0 }, { "burst", 0 } } }) },
        { "listeners", json::array({ { { "host", host }, { "routingRules", rules } } }) },
        { "clusters", clusters } };
}

std::string newRequestId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    std::lock_guard lock(mutex);
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(random()));
    return id;
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

}
