// A zone is emptied as planned, so that the keys of its upstream are to move. Before the upstream has been
// told, a status report of another writer arrives at its machine.
#include "harness.h"

#include <algorithm>
#include <chrono>

using namespace review;

namespace {

constexpr double reportInterval = 0.87;
constexpr double maxOverlap = 0.5;

struct Row {
    int64_t first = 0;
    int64_t last = 0;
    int64_t fence = 0;
};

// Rows that an upstream held from one moment to another.
struct Hold {
    double begin = 0;
    double end = 0;
    std::vector<Row> rows;
};

bool contains(const std::vector<Row>& rows, const Row& row)
{
    return std::any_of(rows.begin(), rows.end(), [&row](const Row& each) {
        return each.first == row.first && each.last == row.last && each.fence == row.fence;
    });
}

// An upstream of a service that is divided by key. Nothing runs at it.
class KeyedUpstream {
public:
    KeyedUpstream(std::string id, std::string zone, int port, int reportPort)
        : id_(std::move(id))
        , zone_(std::move(zone))
        , port_(port)
        , reportPort_(reportPort)
    {
        listener_
            = std::make_unique<Listener>(port_, [](Connection& connection) { connection.read(now() + 600); });
        std::thread([this] {
            while (true) {
                report();
                sleepFor(hasReleased() ? 0.1 : reportInterval);
            }
        }).detach();
    }

    const std::string& id() const { return id_; }

    // Counts the answers to reports.
    int64_t answers()
    {
        std::lock_guard lock(mutex_);
        return answers_;
    }

    std::vector<Hold> holds()
    {
        std::lock_guard lock(mutex_);
        std::vector<Hold> result = ended_;
        result.push_back({ since_, std::min(until_, now()), rows_ });
        return result;
    }

private:
    bool hasReleased()
    {
        std::lock_guard lock(mutex_);
        return !released_.empty();
    }

    void report()
    {
        const double sentAt = now();
        json holds = json::array();
        std::vector<Row> released;
        {
            std::lock_guard lock(mutex_);
            released = released_;
            for (const Row& row : sentAt < until_ ? rows_ : std::vector<Row>())
                holds.push_back({ row.first, row.last, row.fence });
        }
        json releasedRows = json::array();
        for (const Row& row : released)
            releasedRows.push_back({ row.first, row.last, "5c0e7a21d94b36f8" });
        const json body { { "service", "gallery" }, { "address", "127.0.0.1:" + std::to_string(port_) },
            { "zone", zone_ }, { "version", "v1" }, { "slots", 12 }, { "state", "ready" },
            { "warmupLeft", "0ms" }, { "sequence", ++sequence_ }, { "born", born_ }, { "holds", holds },
            { "released", releasedRows } };
        const auto connection = connectTo(reportPort_);
        if (!connection)
            return;
        connection->send(requestText("PUT", "/instances/" + id_,
            { { "Host", "control" }, { "Content-Type", "application/json" } }, body.dump()));
        const auto answer = connection->read(sentAt + 1);
        if (answer && answer->status() == 200)
            apply(json::parse(answer->body), sentAt, released.size());
    }

    void apply(const json& answer, double sentAt, size_t reported)
    {
        std::lock_guard lock(mutex_);
        ++answers_;
        released_.erase(released_.begin(), released_.begin() + static_cast<std::ptrdiff_t>(reported));
        if (!answer.contains("holds"))
            return;
        std::vector<Row> rows;
        for (const json& row : answer.at("holds"))
            rows.push_back({ row.at(0), row.at(1), row.at(2) });
        const bool hasExpired = now() >= until_;
        ended_.push_back({ since_, std::min(until_, now()), rows_ });
        for (const Row& row : rows_) {
            if (!hasExpired && !contains(rows, row))
                released_.push_back(row);
        }
        rows_ = std::move(rows);
        since_ = now();
        until_ = sentAt + std::atof(answer.at("hold_time").get<std::string>().c_str()) / 1'000;
    }

    std::string id_;
    std::string zone_;
    int port_;
    int reportPort_;
    int64_t born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
                        .count();
    int64_t sequence_ = 0;
    std::mutex mutex_;
    int64_t answers_ = 0;
    std::vector<Row> rows_;
    std::vector<Row> released_;
    double since_ = 0;
    double until_ = 0;
    std::vector<Hold> ended_;
    std::unique_ptr<Listener> listener_;
};

// The longest time in which two upstreams held the same keys.
double longestOverlap(std::vector<std::unique_ptr<KeyedUpstream>>& upstreams)
{
    // Spans of one upstream that follow on one another count as one, key by key of the rows' bounds.
    struct Span {
        std::string id;
        Row row;
        double begin = 0;
        double end = 0;
    };
    std::vector<Span> spans;
    for (const auto& upstream : upstreams) {
        std::vector<Span> own;
        for (const Hold& hold : upstream->holds()) {
            for (const Row& row : hold.end > hold.begin ? hold.rows : std::vector<Row>()) {
                const auto before = std::find_if(own.begin(), own.end(), [&](const Span& span) {
                    return span.row.first == row.first && span.row.last == row.last
                        && span.row.fence == row.fence && span.end >= hold.begin - 0.001;
                });
                if (before != own.end())
                    before->end = std::max(before->end, hold.end);
                else
                    own.push_back({ upstream->id(), row, hold.begin, hold.end });
            }
        }
        spans.insert(spans.end(), own.begin(), own.end());
    }
    double longest = 0;
    for (const Span& left : spans) {
        for (const Span& right : spans) {
            const bool isPair
                = left.id < right.id && left.row.first <= right.row.last && right.row.first <= left.row.last;
            const double both = std::min(left.end, right.end) - std::max(left.begin, right.begin);
            if (!isPair || both <= 0)
                continue;
            record("keys " + std::to_string(std::max(left.row.first, right.row.first)) + " to "
                + std::to_string(std::min(left.row.last, right.row.last)) + " are held by " + left.id
                + " (epoch " + std::to_string(left.row.fence) + ") and " + right.id + " (epoch "
                + std::to_string(right.row.fence) + ") from "
                + std::to_string(std::max(left.begin, right.begin)) + " for " + std::to_string(both) + " s");
            longest = std::max(longest, both);
        }
    }
    return longest;
}

}

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    const int storePort = freePorts(1);
    Store store(storePort);
    json settings = configuration({ "gallery" }, 1'500);
    settings["clusters"][0]["sharded"] = true;
    settings["clusters"][0]["warm"] = "3s";
    settings["clusters"][0]["grants"] = "heartbeat";
    store.put("config", "main", settings);
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<KeyedUpstream>> upstreams;
    std::vector<Machine*> all;
    for (int i = 0; i < 3; ++i) {
        const std::string zone = std::string("zone-") + static_cast<char>('a' + i);
        machines.push_back(
            std::make_unique<Machine>("auxiliary-" + std::to_string(i + 1), zone, "gallery", storePort, 260));
        Machine& machine = *machines.back();
        machine.start();
        upstreams.push_back(std::make_unique<KeyedUpstream>(
            "i-" + std::to_string(i + 1), zone, machine.serverPort(), machine.reportPort()));
        all.push_back(&machine);
    }
    if (!waitUntilReady(all, 10)) {
        record("the machines are not ready");
        finish(2);
    }
    sleepFor(8);
    for (const auto& upstream : upstreams) {
        if (upstream->holds().back().rows.empty()) {
            record(upstream->id() + " holds no keys");
            finish(2);
        }
    }
    // Just after a report of i-1, so that the next one follows 0.87 s later.
    const int64_t seen = upstreams[0]->answers();
    while (upstreams[0]->answers() == seen)
        sleepFor(0.005);
    store.put("evacuations", "zone-a", json::object());
    record("zone-a is to be emptied");
    sleepFor(0.4);
    if (hasTrouble()) {
        const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
                              .count();
        const json report { { "service", "gallery" },
            { "address", "127.0.0.1:" + std::to_string(machines[0]->serverPort()) }, { "slots", 8 },
            { "state", "ready" }, { "sequence", 1 }, { "born", born } };
        const auto connection = connectTo(machines[0]->reportPort());
        connection->send(requestText("PUT", "/instances/i-77aa01f3",
            { { "Host", "control" }, { "Content-Type", "application/json" } }, report.dump()));
        const auto answer = connection->read(now() + 1);
        record("auxiliary-1 answers " + std::to_string(answer ? answer->status() : 0)
            + " to a status report of another writer: " + report.dump());
    }
    sleepFor(8);
    for (const auto& upstream : upstreams) {
        std::string line = upstream->id() + " holds at the end:";
        const Hold hold = upstream->holds().back();
        for (const Row& row : hold.end >= now() - 0.1 ? hold.rows : std::vector<Row>())
            line += " " + std::to_string(row.first) + "-" + std::to_string(row.last) + " (epoch "
                + std::to_string(row.fence) + ")";
        record(line);
    }
    const double longest = longestOverlap(upstreams);
    record("longest time in which two upstreams held the same keys: " + std::to_string(longest) + " s");
    finish(longest > maxOverlap ? 1 : 0);
}
