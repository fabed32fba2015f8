#include "base/boundedjson.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

TEST_GROUP(BoundedJson) { static std::string nested(int depth) { const auto size = static_cast<size_t>(depth);
return std::string(size, '[') + std::string(size, ']');
}
}
;

TEST(BoundedJson, RefusesWhatIsNestedTooDeeply)
{
    CHECK(parseJson(nested(maxJsonDepth)).ok());
    CHECK_FALSE(parseJson(nested(maxJsonDepth + 1)).ok());
    CHECK_FALSE(parseJson(nested(200'000)).ok());
    CHECK(parseJson("\"" + std::string(200'000, '[') + "\\\"[\"").ok());
}

TEST(BoundedJson, RefusesMalformedTextsAndNumbersThatAreTooLarge)
{
    for (const char* text : { "", "{", "1e999", "\"", "\"\\", "[1,]", "\"\xff\"" })
        CHECK_FALSE(parseJson(text).ok());
}

TEST(BoundedJson, SplitsWithoutParsing)
{
    const auto elements = splitJsonArray(R"( [ 1e999 , {"a":[1,2]},"]," ] )");
    CHECK(elements.ok());
    LONGS_EQUAL(3, elements->size());
    CHECK((*elements)[0] == "1e999");
    CHECK((*elements)[1] == R"({"a":[1,2]})");
    CHECK((*elements)[2] == R"("],")");
    const auto members = splitJsonObject(R"({"a" : [1,2] ,"b\u0063":{"d":"}"}})");
    CHECK(members.ok());
    CHECK(members->at("a") == "[1,2]");
    CHECK(members->at("bc") == R"({"d":"}"})");
    CHECK(splitJsonArray("[ ]")->empty());
    CHECK(splitJsonObject("{}")->empty());
}

TEST(BoundedJson, RefusesToSplitWhatIsNoArrayOrObject)
{
    for (const char* text : { "", "[", "{}", "1", "[1]]", "[1],[2]" })
        CHECK_FALSE(splitJsonArray(text).ok());
    for (const char* text : { "", "{", "[]", "{1:2}", R"({"a"})", R"({"a":1}})" })
        CHECK_FALSE(splitJsonObject(text).ok());
}
