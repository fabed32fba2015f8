// Tests that writeResolved() reports the true outcome when responses are lost. The fake store records each
// applied write.

#include "store/resolvedwrite.h"

#include <random>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

// A store with one object that loses responses, has outages and applies writes of other clients in between.
struct FakeStore {
    explicit FakeStore(uint64_t seed)
        : random(seed)
    {
    }

    std::string valueOf(const std::string& operation) const
    {
        return R"({"operationId":")" + operation + "\"}";
    }

    bool isUnavailable() { return random() % 4 == 0; }

    WriteResult write(const std::string& newValue, int64_t expected)
    {
        if (isUnavailable())
            return { WriteOutcome::Refused, 0, "out" };
        if (expected != version)
            return { WriteOutcome::Conflict, 0, {} };
        value = newValue;
        ++version;
        history.push_back(newValue);
        if (random() % 3 == 0)
            writeByOther();
        if (random() % 2 == 0)
            return { WriteOutcome::Unknown, 0, "lost" };
        return { WriteOutcome::Applied, expected + 1, {} };
    }

    void writeByOther()
    {
        value = valueOf("other");
        ++version;
        history.push_back(value);
    }

    absl::StatusOr<peer::StoredObject> read()
    {
        if (isUnavailable())
            return absl::UnavailableError("out");
        peer::StoredObject object {};
        object.value = value;
        object.version = version;
        return object;
    }

    int timesWritten(const std::string& written) const
    {
        return static_cast<int>(std::count(history.begin(), history.end(), written));
    }

    std::mt19937_64 random;
    std::string value = R"({"operationId":"first"})";
    int64_t version = 1;
    std::vector<std::string> history;
};

}

TEST_GROUP(ResolvedWrite) {};

TEST(ResolvedWrite, ReportsAppliedOrNotAppliedOnlyWhenTrue)
{
    int applied = 0;
    int unknown = 0;
    const bool isTrue = rc::check("the outcome is true", [&](uint64_t seed) {
        FakeStore store(seed);
        if (store.random() % 4 == 0)
            store.writeByOther();
        int attempts = 6;
        StoreCalls calls;
        calls.write = [&](const std::string&, const std::string& value, int64_t expected) {
            return store.write(value, expected);
        };
        calls.read = [&](const std::string&) { return store.read(); };
        calls.waitBeforeRetry = [&] { return --attempts > 0; };
        const std::string value = store.valueOf("mine");
        const WriteResult result = writeResolved(calls, { "object", value, 1, "mine" });
        const int written = store.timesWritten(value);
        RC_ASSERT(written <= 1);
        if (result.outcome == WriteOutcome::Applied)
            RC_ASSERT(written == 1);
        if (result.outcome == WriteOutcome::Conflict || result.outcome == WriteOutcome::Refused)
            RC_ASSERT(written == 0);
        applied += result.outcome == WriteOutcome::Applied ? 1 : 0;
        unknown += result.outcome == WriteOutcome::Unknown ? 1 : 0;
    });
    CHECK(isTrue);
    CHECK(applied > 20);
    CHECK(unknown > 0);
}
