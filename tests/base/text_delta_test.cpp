#include "base/text_delta.h"

#include "support/suite.h"

#include <random>

namespace azurespindle {
namespace {

/// Returns a document of JSON objects with numbers from \a first on.
std::string document(int first, int count)
{
    std::string text = "[";
    for (int number = first; number < first + count; ++number) {
        text += R"({"name":"object-)" + std::to_string(number) + R"(","host":"shop.example"},)";
    }
    return text + "]";
}

std::string randomText(std::mt19937 &random)
{
    std::string text(random() % 3'000, ' ');
    for (char &character : text) {
        character = "ab}\n"[random() % 4];
    }
    return text;
}

} // namespace

class TextDeltaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TextDeltaTest);
    CPPUNIT_TEST(aSmallChangeOfALargeTextIsSmall);
    CPPUNIT_TEST(insertedRemovedAndMovedPartsAreCopied);
    CPPUNIT_TEST(anyTwoTextsRoundTrip);
    CPPUNIT_TEST(aDeltaOfAnotherBaseIsRefused);
    CPPUNIT_TEST(aMalformedDeltaIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void aSmallChangeOfALargeTextIsSmall()
    {
        const std::string base = document(0, 10'000);
        std::string result = base;
        result.replace(base.find("object-5000"), 11, "object-other");
        const TextDelta delta = makeDelta(base, result);
        CPPUNIT_ASSERT(delta.inserted.size() < 100);
        CPPUNIT_ASSERT(delta.steps.size() <= 3);
        CPPUNIT_ASSERT_EQUAL(result, applyDelta(base, delta).value());
    }

    void insertedRemovedAndMovedPartsAreCopied()
    {
        const std::string base = document(0, 2'000);
        const std::string result
            = document(1'500, 500) + document(100, 1'000) + document(9'000, 10);
        const TextDelta delta = makeDelta(base, result);
        CPPUNIT_ASSERT(delta.inserted.size() < 1'000);
        CPPUNIT_ASSERT_EQUAL(result, applyDelta(base, delta).value());
    }

    void anyTwoTextsRoundTrip()
    {
        std::mt19937 random(7); // NOLINT(cert-msc32-c,cert-msc51-cpp): repeatable.
        for (int round = 0; round < 500; ++round) {
            const std::string base = randomText(random);
            const std::string result = random() % 2 == 0
                ? randomText(random)
                : base.substr(random() % (base.size() + 1)) + randomText(random);
            CPPUNIT_ASSERT_EQUAL(result, applyDelta(base, makeDelta(base, result)).value());
        }
    }

    void aDeltaOfAnotherBaseIsRefused()
    {
        const TextDelta delta = makeDelta(document(0, 10), document(1, 10));
        CPPUNIT_ASSERT(!applyDelta(document(0, 11), delta).ok());
    }

    void aMalformedDeltaIsRefused()
    {
        const std::string base = document(0, 100);
        const TextDelta sound = makeDelta(base, document(50, 100));
        std::mt19937 random(7); // NOLINT(cert-msc32-c,cert-msc51-cpp): repeatable.
        for (int round = 0; round < 2'000; ++round) {
            TextDelta delta = sound;
            DeltaStep &step = delta.steps[random() % delta.steps.size()];
            std::uint32_t *const fields[]
                = {&step.copyFrom, &step.copyLength, &step.insertLength, &delta.resultBytes};
            *fields[random() % std::size(fields)] = static_cast<std::uint32_t>(random());
            CPPUNIT_ASSERT(delta == sound || !applyDelta(base, delta).ok());
        }
    }
};

REGISTER_SUITE(TextDeltaTest, "text_delta");

} // namespace azurespindle
