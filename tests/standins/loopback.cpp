#include "standins/loopback.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace persimmonfield {
namespace {

    using nlohmann::json;

    constexpr Milliseconds reportInterval { 100 };
    // Longer than any response is delayed in the tests.
    constexpr Milliseconds callTimeout { 20'000 };
    constexpr const char* healthPath = "/healthz";

    std::string queryParameter(const std::string& target, const std::string& name)
    {
        const size_t at = target.find(name + "=");
        if (at == std::string::npos)
            return {};
        const std::string rest = target.substr(at + name.size() + 1);
        return rest.substr(0, rest.find('&'));
    }

    HttpResponse makeResponse(int status, const std::string& body)
    {
        HttpResponse response;
        response.status = status;
        response.body = body;
        return response;
    }

    // Includes the request id, as real servers do.
    HttpResponse makeServerResponse(const HttpRequest& request, int status, const std::string& body)
    {
        HttpResponse response = makeResponse(status, body);
        response.headers = { { "Persimmonfield-Request-Id", *request.header("Persimmonfield-Request-Id") } };
        return response;
    }

}

StandInStore::StandInStore(asio::io_context& loop, const Address& address)
    : loop_(loop)
    , server_(loop, [this](const auto& exchange) { handle(exchange); })
{
    if (!server_.listen(address).ok())
        std::abort();
}

void StandInStore::put(const std::string& kind, const std::string& name, const json& value)
{
    Object& object = objects_[{ kind, name }];
    object.value = value;
    object.revision = ++revision_;
    object.isDeleted = false;
    answerWatches();
}

void StandInStore::failWatches()
{
    unansweredTo_ = revision_ + 1;
    for (const Watch& watch : std::exchange(watches_, {}))
        answer(watch.exchange, 503, json::object());
}

size_t StandInStore::openWatches(const std::string& kind) const
{
    return static_cast<size_t>(std::count_if(watches_.begin(), watches_.end(), [&kind](const Watch& watch) {
        return watch.kind == kind && !watch.exchange->hasCallerDisconnected();
    }));
}

void StandInStore::silenceWatches(const std::string& kind, size_t count)
{
    for (auto watch = watches_.begin(); watch != watches_.end() && count > 0;) {
        if (watch->kind != kind || watch->exchange->hasCallerDisconnected()) {
            ++watch;
            continue;
        }
        silencedWatches_.push_back(std::move(*watch));
        watch = watches_.erase(watch);
        --count;
    }
}

void StandInStore::remove(const std::string& kind, const std::string& name)
{
    objects_[{ kind, name }] = { {}, ++revision_, true, nullptr };
    answerWatches();
}

int64_t StandInStore::revisionOf(const std::string& kind, const std::string& name) const
{
    const auto found = objects_.find({ kind, name });
    return found == objects_.end() || found->second.isDeleted ? 0 : found->second.revision;
}

bool StandInStore::putIfUnchanged(
    const std::string& kind, const std::string& name, const json& value, int64_t revision)
{
    if (revisionOf(kind, name) != revision)
        return false;
    put(kind, name, value);
    return true;
}

void StandInStore::holdWrites(const std::string& kind, const std::string& namePrefix)
{
    heldObjects_ = { kind, namePrefix };
}

void StandInStore::carryOutHeldWrites()
{
    heldObjects_.reset();
    for (const HeldWrite& held : std::exchange(heldWrites_, {}))
        write(held.exchange, held.kind, held.name, held.isStatus);
}

json StandInStore::value(const std::string& kind, const std::string& name) const
{
    const auto found = objects_.find({ kind, name });
    return found == objects_.end() || found->second.isDeleted ? json() : found->second.value;
}

json StandInStore::status(const std::string& kind, const std::string& name) const
{
    const auto found = objects_.find({ kind, name });
    return found == objects_.end() ? json() : found->second.status;
}

void StandInStore::answer(const std::shared_ptr<HttpExchange>& exchange, int status, const json& body) const
{
    HttpResponse response = makeResponse(status, body.dump());
    if (era_ > 0)
        response.headers.push_back({ "Store-Era", std::to_string(era_) });
    exchange->respond(std::move(response));
}

void StandInStore::restoreCopy()
{
    std::tie(objects_, revision_) = copy_;
    ++era_;
    compactedTo_ = std::min(compactedTo_, revision_);
    unansweredTo_ = 0;
    for (const Watch& watch : std::exchange(watches_, {}))
        answer(watch.exchange, 503, json::object());
}

void StandInStore::withhold(const std::string& kind)
{
    withheldKind_ = kind;
    for (const auto& exchange : std::exchange(withheld_, {}))
        handle(exchange);
}

void StandInStore::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    if (delay_ <= Milliseconds(0))
        return handleUndelayed(exchange);
    const auto timer = std::make_shared<asio::steady_timer>(loop_, delay_);
    timer->async_wait([this, timer, exchange](std::error_code) { handleUndelayed(exchange); });
}

void StandInStore::handleUndelayed(const std::shared_ptr<HttpExchange>& exchange)
{
    if (isDown_)
        return answer(exchange, 503, json::object());
    const std::string path = exchange->request().target.substr(0, exchange->request().target.find('?'));
    const std::vector<std::string> parts = absl::StrSplit(path.substr(1), '/');
    const std::string name = parts.size() > 2 ? parts[2] : std::string();
    if (parts.at(1) == withheldKind_) {
        withheld_.push_back(exchange);
        return;
    }
    if (exchange->request().method == "GET")
        list(exchange, parts.at(1));
    else
        write(exchange, parts.at(1), name, parts.size() > 3 && parts[3] == "status");
}

void StandInStore::list(const std::shared_ptr<HttpExchange>& exchange, const std::string& kind)
{
    const std::string after = queryParameter(exchange->request().target, "watch");
    int64_t revision = 0;
    if (absl::SimpleAtoi(after, &revision)) {
        ++watchCalls_;
        staleWatchCalls_ += queryParameter(exchange->request().target, "allowStale") == "1" ? 1 : 0;
        if (revision < compactedTo_ || (era_ > 0 && revision > revision_))
            return answer(exchange, 410, json::object());
        watches_.push_back({ kind, revision, exchange });
        return answerWatches();
    }
    ++listCalls_;
    json items = json::array();
    for (const auto& [key, object] : objects_) {
        if (key.first == kind && !object.isDeleted)
            items.push_back(objectOf(key));
    }
    answer(exchange, 200, { { "items", items }, { "hasMore", false }, { "atRev", revision_ } });
}

json StandInStore::objectOf(const Key& key) const
{
    const Object& object = objects_.at(key);
    const json value = view_ ? view_(key.first, key.second, object.value) : object.value;
    return { { "metadata", { { "name", key.second }, { "revision", object.revision } } }, { "spec", value },
        { "status", object.status } };
}

json StandInStore::eventsAfter(const std::string& kind, int64_t revision) const
{
    json events = json::array();
    for (const auto& [key, object] : objects_) {
        if (key.first == kind && object.revision > revision)
            events.push_back({ { "object", objectOf(key) }, { "deleted", object.isDeleted } });
    }
    return events;
}

void StandInStore::answerWatches()
{
    std::vector<Watch> waiting;
    for (Watch& watch : std::exchange(watches_, {})) {
        const json events = eventsAfter(watch.kind, watch.after);
        if (events.empty() || watch.after < unansweredTo_)
            waiting.push_back(std::move(watch));
        else
            answer(watch.exchange, 200, { { "events", events }, { "atRev", revision_ } });
    }
    watches_.insert(watches_.end(), waiting.begin(), waiting.end());
}

void StandInStore::write(const std::shared_ptr<HttpExchange>& exchange, const std::string& kind,
    const std::string& name, bool isStatus)
{
    ++writes_;
    const json body = json::parse(exchange->request().body.text());
    const json& metadata = body.at("metadata");
    const Key key { kind, name.empty() ? metadata.at("name").get<std::string>() : name };
    const bool isHeld = heldObjects_ && heldObjects_->first == kind
        && key.second.compare(0, heldObjects_->second.size(), heldObjects_->second) == 0;
    if (isHeld) {
        heldWrites_.push_back({ exchange, kind, name, isStatus });
        return;
    }
    const auto known = objects_.find(key);
    const bool exists = known != objects_.end() && !known->second.isDeleted;
    const bool isCreation = exchange->request().method == "POST";
    if (isCreation ? exists : !exists || known->second.revision != metadata.value("revision", int64_t { 0 }))
        return answer(exchange, exists ? 409 : 404, exists ? objectOf(key) : json::object());
    if (isStatus)
        objects_.at(key).status = body.at("status");
    put(kind, key.second, isStatus ? json(objects_.at(key).value) : body.at("spec"));
    if (responsesToDrop_ > 0) {
        --responsesToDrop_;
        unansweredWrites_.push_back(exchange);
        return;
    }
    answer(exchange, isCreation ? 201 : 200, objectOf(key));
}

StandInServer::StandInServer(asio::io_context& loop, StandInServerOptions options)
    : options_(std::move(options))
    , server_(loop, [this](const auto& exchange) { handle(exchange); })
    , client_(loop, { options_.reportAddress, callTimeout, callTimeout, false, {} })
    , timer_(loop)
    , loop_(loop)
{
    if (!server_.listen(options_.address).ok())
        std::abort();
    report();
    schedule();
}

void StandInServer::schedule()
{
    timer_.expires_after(reportInterval);
    timer_.async_wait([this](std::error_code error) {
        if (error || isStopped_ || !isReporting_)
            return;
        report();
        schedule();
    });
}

void StandInServer::stopReports()
{
    // The timer may have expired already.
    isReporting_ = false;
    timer_.cancel();
}

// Returns the withdrawn ranges that no running request uses any more, and forgets them.
json StandInServer::takeReleased()
{
    json released = json::array();
    std::vector<HeldRange> remaining;
    for (const HeldRange& range : std::exchange(releasing_, {})) {
        if (isWorkingIn(range))
            remaining.push_back(range);
        else
            released.push_back({ range.first, range.last, "left-by-" + options_.id });
    }
    releasing_ = std::move(remaining);
    return released;
}

void StandInServer::report()
{
    const json released = takeReleased();
    json holds = json::array();
    const TimePoint now = BootClock::now();
    for (const auto* ranges : { &holds_, &releasing_ }) {
        for (const HeldRange& range : *ranges) {
            if (now < holdsUntil_)
                holds.push_back({ range.first, range.last, range.fence });
        }
    }
    const json body { { "service", options_.service },
        { "address", options_.reportedAddress.value_or(options_.address).text() }, { "zone", options_.zone },
        { "version", options_.version }, { "slots", slots_ }, { "state", isDraining_ ? "draining" : "ready" },
        { "warmupLeft", std::to_string(reportsCold_ ? coldFor().count() : 0) + "ms" },
        { "sequence", ++sequence_ }, { "born", options_.startedMs }, { "holds", holds },
        { "released", released } };
    ++openReports_;
    client_.call({ "PUT", "/instances/" + options_.id, {}, body.dump() }, callTimeout,
        [this, now](const CallResult& result) {
            --openReports_;
            reportStatus_ = result.outcome == CallOutcome::Answered ? result.response.status : 0;
            if (!isStopped_ && result.outcome == CallOutcome::Answered && result.response.status == 200)
                applyReportResponse(result.response.body, now);
        });
}

Milliseconds StandInServer::coldFor() const
{
    const auto left = std::chrono::duration_cast<Milliseconds>(coldUntil_ - BootClock::now());
    return std::max(Milliseconds(0), left);
}

void StandInServer::leave(std::function<void(int status)> done)
{
    client_.call({ "DELETE", "/instances/" + options_.id, {}, {} }, callTimeout,
        [done = std::move(done)](const CallResult& result) {
            if (done)
                done(result.outcome == CallOutcome::Answered ? result.response.status : 0);
        });
}

void StandInServer::applyReportResponse(const std::string& answer, TimePoint sentAt)
{
    const json body = json::parse(answer);
    if (!body.contains("holds"))
        return;
    const auto isSame = [](const HeldRange& left, const HeldRange& right) {
        return left.first == right.first && left.last == right.last && left.fence == right.fence;
    };
    const auto contains = [&isSame](const std::vector<HeldRange>& ranges, const HeldRange& range) {
        return std::any_of(
            ranges.begin(), ranges.end(), [&](const HeldRange& each) { return isSame(each, range); });
    };
    int milliseconds = 0;
    const auto text = body.at("hold_time").get<std::string>();
    if (!absl::SimpleAtoi(text.substr(0, text.size() - 2), &milliseconds))
        return;
    const bool hasExpired = BootClock::now() >= holdsUntil_;
    std::vector<HeldRange> holds;
    for (const json& row : body.at("holds"))
        holds.push_back({ row.at(0), row.at(1), row.at(2) });
    const std::vector<HeldRange> before = std::exchange(holds_, std::move(holds));
    for (const HeldRange& range : before) {
        if (!contains(holds_, range) && !hasExpired)
            releasing_.push_back(range);
    }
    holdsUntil_ = sentAt + Milliseconds(milliseconds);
    for (const HeldRange& range : holds_) {
        if (onRangeAcquired_ && (hasExpired || !contains(before, range)))
            onRangeAcquired_(range);
    }
}

bool StandInServer::isWorkingIn(const HeldRange& range) const
{
    const auto next = workingKeys_.lower_bound(range.first);
    return next != workingKeys_.end() && *next <= range.last;
}

bool StandInServer::holds(int key) const
{
    return !isStopped_ && BootClock::now() < holdsUntil_
        && std::any_of(holds_.begin(), holds_.end(),
            [key](const HeldRange& range) { return range.first <= key && key <= range.last; });
}

bool StandInServer::isBusyWith(const HeldRange& range) const
{
    if (isStopped_ || BootClock::now() >= holdsUntil_)
        return false;
    return isWorkingIn(range) || std::any_of(holds_.begin(), holds_.end(), [&range](const HeldRange& held) {
        return held.first <= range.last && range.first <= held.last;
    });
}

void StandInServer::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const HttpRequest& request = exchange->request();
    if (request.target == healthPath) {
        HttpResponse response = makeResponse(200, {});
        response.headers.push_back({ "Persimmonfield-Instance-Id", options_.id });
        response.headers.push_back({ "Persimmonfield-Warmup-Ms", std::to_string(coldFor().count()) });
        return exchange->respond(std::move(response));
    }
    int key = 0;
    const std::string* header = request.header("Persimmonfield-Shard-Key");
    const std::string* expected = request.header("Persimmonfield-Expect-Instance");
    const bool isKeyed = header && absl::SimpleAtoi(*header, &key);
    const bool isMisdirected = (expected && *expected != options_.id) || (isKeyed && !holds(key));
    if (isMisdirected)
        return exchange->respond(makeServerResponse(request, 421, {}));
    runs_.push_back(request);
    if (onRun_)
        onRun_(request);
    if (isHoldingResponses_) {
        heldRequests_.push_back(exchange);
        return;
    }
    if (workTime_ <= Milliseconds(0))
        return sendResponse(exchange);
    if (isKeyed)
        workingKeys_.insert(key);
    const auto timer = std::make_shared<asio::steady_timer>(loop_, workTime_);
    timer->async_wait([this, timer, exchange, isKeyed, key](std::error_code) {
        if (isKeyed)
            workingKeys_.erase(workingKeys_.find(key));
        sendResponse(exchange);
    });
}

void StandInServer::sendResponse(const std::shared_ptr<HttpExchange>& exchange)
{
    HttpResponse response = makeServerResponse(exchange->request(), status_, "from " + options_.id);
    response.headers.push_back({ "Persimmonfield-Response-Signature", "signed" });
    response.headers.push_back({ "Persimmonfield-Server-Load", "1,0,2,100" });
    exchange->respond(std::move(response));
}

void StandInServer::answerHeldRequests()
{
    for (const auto& exchange : std::exchange(heldRequests_, {}))
        exchange->respond(makeServerResponse(exchange->request(), 200, "late from " + options_.id));
}

void StandInServer::stop()
{
    isStopped_ = true;
    timer_.cancel();
    server_.stop();
    client_.closeAll();
}

}
