// Clients send an order whose body is the text of another order. The head states a transfer coding that the
// receiver does not know, so that the end of the body cannot be found.
#include "harness.h"

using namespace review;

namespace {

// Sends the bytes and returns the statuses of the answers.
std::string exchange(int port, const std::string& bytes)
{
    const auto connection = connectTo(port);
    if (!connection || !connection->send(bytes))
        return "no connection";
    std::string statuses;
    while (const auto answer = connection->read(now() + 1.5))
        statuses += std::to_string(answer->status()) + " ";
    return statuses + (connection->hasEnded() ? "closed" : "open");
}

std::string head(const std::string& id, const std::string& target, const std::string& field)
{
    return "POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\nPersimmonfield-Request-Id: " + id
        + "\r\nPersimmonfield-Deadline-Ms: 1500\r\nAuthorization: Token " + callerKey + "\r\n" + field
        + "\r\n\r\n";
}

}

int main(int, char** arguments)
{
    openRecord(arguments[1]);
    const int storePort = freePorts(1);
    Store store(storePort);
    store.put("config", "main", configuration({ "gallery", "fulfilment" }, 1'500));
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<Machine*> all;
    for (int i = 0; i < 3; ++i) {
        const std::string zone = std::string("zone-") + static_cast<char>('a' + i % 3);
        machines.push_back(std::make_unique<Machine>(
            "auxiliary-" + std::to_string(i + 1), zone, i < 1 ? "gallery" : "fulfilment", storePort, 260));
        Machine& machine = *machines.back();
        machine.start();
        upstreams.push_back(std::make_unique<Upstream>("i-" + std::to_string(i + 1), machine.service(), zone,
            machine.serverPort(), machine.reportPort(), 0.02, 12));
        all.push_back(&machine);
    }
    if (!waitUntilReady(all, 10)) {
        record("the machines are not ready");
        finish(2);
    }
    sleepFor(3);
    int smuggled = 0;
    int ran = 0;
    for (const char* coding : { "identity", "gzip", "" }) {
        const std::string outer = newRequestId();
        const std::string inner = newRequestId();
        const std::string body = head(inner, "/fulfilment/write/smuggled", "Content-Length: 0");
        const std::string field = hasTrouble() ? std::string("Transfer-Encoding: ") + coding
                                               : "Content-Length: " + std::to_string(body.size());
        const std::string statuses
            = exchange(machines[0]->outboundPort(), head(outer, "/fulfilment/write/order", field) + body);
        record("sent " + outer + " with '" + field + "' and a body of " + std::to_string(body.size())
            + " bytes that names " + inner + "; answers: " + statuses);
        for (const auto& upstream : upstreams) {
            for (const Run& run : upstream->runs()) {
                if (run.requestId != outer && run.requestId != inner)
                    continue;
                record("  run " + run.requestId + " " + run.method + " " + run.target + ", body of "
                    + std::to_string(run.bodySize) + " bytes");
                smuggled += run.requestId == inner ? 1 : 0;
                ran += run.requestId == outer ? 1 : 0;
            }
        }
    }
    record("orders that ran: " + std::to_string(ran)
        + "; orders that nobody sent and that ran: " + std::to_string(smuggled));
    if (!hasTrouble() && ran != 3)
        finish(2);
    finish(smuggled > 0 ? 1 : 0);
}
