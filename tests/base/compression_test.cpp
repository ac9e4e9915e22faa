#include "base/compression.h"

#include "support/suite.h"

namespace azurespindle {

class CompressionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CompressionTest);
    CPPUNIT_TEST(aTextRoundTrips);
    CPPUNIT_TEST(aTextAboveTheLimitIsRefused);
    CPPUNIT_TEST(malformedAndTruncatedBytesAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void aTextRoundTrips()
    {
        std::string text;
        for (int number = 0; number < 20'000; ++number) {
            text += "line " + std::to_string(number) + "\n";
        }
        for (const std::string &each : {std::string(), std::string("x"), text}) {
            CPPUNIT_ASSERT(uncompressed(compressed(each), each.size()).value() == each);
        }
        CPPUNIT_ASSERT(compressed(text).size() < text.size() / 2);
    }

    void aTextAboveTheLimitIsRefused()
    {
        const std::string bytes = compressed(std::string(8'000'000, 'a'));
        CPPUNIT_ASSERT(!uncompressed(bytes, 7'999'999).ok());
        CPPUNIT_ASSERT(uncompressed(bytes, 8'000'000).ok());
    }

    void malformedAndTruncatedBytesAreRefused()
    {
        const std::string bytes = compressed(std::string(1'000, 'a'));
        CPPUNIT_ASSERT(!uncompressed("not compressed", 1'000).ok());
        CPPUNIT_ASSERT(!uncompressed(bytes.substr(0, bytes.size() - 1), 1'000).ok());
        CPPUNIT_ASSERT(!uncompressed("", 1'000).ok());
    }
};

REGISTER_SUITE(CompressionTest, "compression");

} // namespace azurespindle
