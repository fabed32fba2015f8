// Broken answers of the store: a read of one fails, and a write is of unknown outcome.

#include "standins/answerheads.h"
#include "standins/scriptedserver.h"
#include "store/objectclient.h"

#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const Address address { "127.0.0.1", 18'766 };
constexpr Milliseconds callTimeout { 5'000 };
// More than the buffers of both sockets take.
constexpr size_t longValueBytes = 16UL * 1'024 * 1'024;

const std::string statusOk = "HTTP/1.1 200 OK\r\n";
const std::string storedObject = R"({"name":"n","value":"v","version":7,"deleted":false})";
const std::string listing = R"({"revision":7,"objects":[]})";

std::string lengthOf(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

// The store, on its own thread because ObjectClient blocks.
struct ScriptedStore {
    ScriptedStore(std::string bytes, bool readsBodies, bool endsInOrder)
        : answer(std::move(bytes))
        , server(loop, address, [this, endsInOrder](ScriptedConnection& connection, const std::string&) {
            connection.send(answer);
            if (endsInOrder)
                connection.shutdownSend();
            else
                connection.resetOnceAcknowledged();
        })
    {
        if (!readsBodies)
            server.leaveBodiesUnread();
        thread = std::thread([this] { loop.run(); });
    }

    ~ScriptedStore() { stop(); }

    void stop()
    {
        loop.stop();
        if (thread.joinable())
            thread.join();
    }

    // The first line of the first request.
    std::string requestLine()
    {
        stop();
        const std::string request = server.connections().at(0)->requests().at(0);
        return request.substr(0, request.find("\r\n"));
    }

    asio::io_context loop { 1 };
    std::string answer;
    ScriptedServer server;
    std::thread thread;
};

}

TEST_GROUP(ObjectAnswers)
{
    const ObjectClient client { "http://" + address.text(), callTimeout };

    // What the calls took from answers with this head, a line each.
    std::string believed(const std::string& name, const std::string& head)
    {
        return believedReads(name, head) + believedListings(name, head)
            + believedWrites(name, head, storedObject);
    }

    std::string believedReads(const std::string& name, const std::string& head)
    {
        const ScriptedStore store(head + lengthOf(storedObject) + "\r\n" + storedObject, true, true);
        return client.read("n").ok() ? "read: " + name + "\n" : "";
    }

    std::string believedListings(const std::string& name, const std::string& head)
    {
        std::string result;
        const ScriptedStore store(head + lengthOf(listing) + "\r\n" + listing, true, true);
        if (client.list("n").ok())
            result += "list: " + name + "\n";
        if (client.watch(0, callTimeout).ok())
            result += "watch: " + name + "\n";
        return result;
    }

    std::string believedWrites(const std::string& name, const std::string& head, const std::string& body)
    {
        std::string result;
        const ScriptedStore store(head + lengthOf(body) + "\r\n" + body, true, true);
        if (client.write("n", "v", 1).outcome != WriteOutcome::Unknown)
            result += "write: " + name + "\n";
        if (client.remove("n", 1).outcome != WriteOutcome::Unknown)
            result += "remove: " + name + "\n";
        return result;
    }
};

TEST(ObjectAnswers, StatusThatIsNoneIsNotBelieved)
{
    std::string wrong;
    for (const char* status : { "000", "001", "099", "101", "600", "999", "20", "2000", "+200", "abc", "" })
        wrong += believed(status, "HTTP/1.1 " + std::string(status) + " OK\r\n");
    STRCMP_EQUAL("", wrong.c_str());
}

TEST(ObjectAnswers, FieldNameThatIsNoneIsNotBelieved)
{
    std::string wrong;
    for (const std::string& name : invalidFieldNames())
        wrong += believed(printable(name), statusOk + "Id: 1\r\n" + name + ": 4\r\n");
    STRCMP_EQUAL("", wrong.c_str());
}

TEST(ObjectAnswers, RefusalAndConflictWithAFieldNameThatIsNoneAreNotBelieved)
{
    std::string wrong;
    for (const char* status : { "409 Conflict", "503 Unavailable" }) {
        const std::string line = "HTTP/1.1 " + std::string(status) + "\r\n";
        wrong += believedWrites(status, line + "X Note: 4\r\n", "");
    }
    STRCMP_EQUAL("", wrong.c_str());
}

// The handlers of the reset write and of the read come in either order, so it is tried many times.
TEST(ObjectAnswers, AnswerWithoutLengthIsNotBelievedIfItsConnectionIsResetDuringTheWrite)
{
    constexpr int tries = 50;
    for (int i = 0; i < tries; ++i) {
        const ScriptedStore store(statusOk + "\r\n" + storedObject, false, false);
        const WriteResult result = client.write("n", std::string(longValueBytes, 'x'), 1);
        CHECK(result.outcome == WriteOutcome::Unknown);
    }
}

TEST(ObjectAnswers, AnswerWithoutLengthIsNotBelievedIfItsConnectionIsReset)
{
    const ScriptedStore store(statusOk + "\r\n" + storedObject, true, false);
    CHECK(!client.read("n").ok());
    CHECK(client.write("n", "v", 1).outcome == WriteOutcome::Unknown);
}

TEST(ObjectAnswers, CompleteAnswersAreBelieved)
{
    for (const std::string& head : { statusOk + lengthOf(storedObject) + "\r\n", statusOk + "\r\n",
             statusOk + "Id: 1\r\nx_note.2: a b\r\n\r\n", std::string("HTTP/1.0 200 OK\r\n\r\n"),
             "HTTP/1.1 100 Continue\r\n\r\n" + statusOk + "\r\n" }) {
        const ScriptedStore store(head + storedObject, true, true);
        const auto object = client.read("n");
        CHECK_TEXT(object.ok(), head.c_str());
        LONGS_EQUAL(7, object->version);
        STRCMP_EQUAL("v", object->value.c_str());
        const WriteResult result = client.write("n", "v", 1);
        CHECK(result.outcome == WriteOutcome::Applied);
        LONGS_EQUAL(7, result.version);
    }
    const ScriptedStore store(statusOk + "\r\n" + listing, true, true);
    LONGS_EQUAL(7, client.list("n")->revision);
}

TEST(ObjectAnswers, NamesArePercentEncoded)
{
    const std::string name = "table/a service+one,two;\xc3\xa9";
    const std::string encoded = "table/a%20service%2Bone%2Ctwo%3B%C3%A9";
    ScriptedStore toRead(statusOk + "\r\n" + storedObject, true, true);
    CHECK(client.read(name).ok());
    STRCMP_EQUAL(("GET /objects/" + encoded + " HTTP/1.1").c_str(), toRead.requestLine().c_str());
}

TEST(ObjectAnswers, HostsMayBeNames)
{
    const ScriptedStore store(statusOk + "\r\n" + storedObject, true, true);
    const std::string port = std::to_string(address.port);
    for (const std::string& url : { "http://localhost:" + port, "localhost:" + port, address.text() }) {
        const auto object = ObjectClient(url, callTimeout).read("n");
        CHECK_TEXT(object.ok(), url.c_str());
    }
    CHECK(!ObjectClient("http://127.0.0.1:1", callTimeout).read("n").ok());
    CHECK(
        ObjectClient("http://127.0.0.1:1", callTimeout).write("n", "v", 1).outcome == WriteOutcome::Refused);
}
