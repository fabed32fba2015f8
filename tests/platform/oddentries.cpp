// Entries and reports from other writers that cannot be read.

#include "reportwire.h"
#include "storewire.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

constexpr size_t deep = 100'000;

std::string nested(size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string item(const std::string& name, const std::string& spec)
{
    return R"({"metadata":{"name":)" + name + R"(,"revision":3},"spec":)" + spec + "}";
}

// Specs that cannot be parsed.
const std::vector<std::string> oddSpecs { nested(deep), R"({"a":)" + nested(deep) + "}", "1e999",
    R"({"slots":1e999})", "\"\xff\"" };

// Items of which not even the name and the revision can be read.
const std::vector<std::string> oddItems { "17", "null", nested(deep), item("17", "{}"),
    R"({"metadata":{"name":"odd","revision":"3"}})", R"({"metadata":{"name":"odd","revision":1e300}})" };

}

TEST_GROUP(OddEntries)
{
    const StoreDialect dialect = platform::storeDialect();
    const std::string sound = item("\"sound\"", R"({"a":[1,{"b":"]}"}]})");

    static void checkSound(const StoreObject& object)
    {
        STRCMP_EQUAL("sound", object.name.c_str());
        STRCMP_EQUAL(R"({"a":[1,{"b":"]}"}]})", object.value.dump().c_str());
    }

    static bool isAccepted(const std::string& report)
    {
        ProtocolAdapter protocol;
        platform::setReportFunctions(protocol);
        return protocol.readReport({ "PUT", "/instances/i-1", {}, report }).ok();
    }
};

TEST(OddEntries, AnUnreadableValueIsNullAndTheOtherObjectsHold)
{
    for (const std::string& spec : oddSpecs) {
        const std::string odd = item("\"odd\"", spec);
        const auto page = dialect.readPage("kind", R"({"items":[)" + odd + "," + sound + R"(],"atRev":9})");
        CHECK(page.ok());
        LONGS_EQUAL(2, page->objects.size());
        CHECK(page->objects.front().value.is_null());
        checkSound(page->objects.back());
        const auto events = dialect.readEvents("kind",
            R"({"events":[{"object":)" + sound + R"(},{"object":)" + odd + R"(,"deleted":true}],"atRev":9})");
        CHECK(events.ok());
        checkSound(events->objects.front());
        CHECK(events->objects.back().isDeleted);
    }
}

TEST(OddEntries, AnObjectWithoutANameOrRevisionIsLeftOut)
{
    for (const std::string& odd : oddItems) {
        const auto page = dialect.readPage("kind", R"({"items":[)" + odd + "," + sound + R"(],"atRev":9})");
        CHECK(page.ok());
        LONGS_EQUAL(1, page->unreadable);
        LONGS_EQUAL(1, page->objects.size());
        checkSound(page->objects.front());
        const auto events = dialect.readEvents(
            "kind", R"({"events":[{"object":)" + odd + R"(},{"object":)" + sound + R"(}],"atRev":9})");
        CHECK(events.ok());
        LONGS_EQUAL(1, events->unreadable);
        checkSound(events->objects.front());
    }
}

TEST(OddEntries, ReportsThatCannotBeReadAreRefused)
{
    const auto report = [](const std::string& holds) {
        return R"({"service":"s","address":"1.2.3.4:5","zone":"a","version":"v1","slots":1,"state":"ready",)"
               R"("warmupLeft":"0ms","sequence":1,"born":17,"released":[],"holds":)"
            + holds + "}";
    };
    CHECK(isAccepted(report("[[0,1,2]]")));
    for (const char* holds : { "[[0,1,1e300]]", "[[0,1,99999999999999999999]]", "[[0,1,1e999]]", "17" })
        CHECK_FALSE(isAccepted(report(holds)));
    CHECK_FALSE(isAccepted(report(nested(deep))));
}
