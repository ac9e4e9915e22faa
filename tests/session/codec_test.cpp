#include "session/codec.h"

#include "support/golden.h"
#include "support/line_difference.h"
#include "support/suite.h"

namespace azurespindle::session {

class CodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(everyGoldenSessionReplaysByteForByte);
    CPPUNIT_TEST(aDifferenceIsReportedWithItsLines);
    CPPUNIT_TEST(aMalformedEventIsReportedWithItsLineAndField);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyGoldenSessionReplaysByteForByte()
    {
        CPPUNIT_ASSERT(tests::checkGoldenSessions(".", replay) > 10);
    }

    void aDifferenceIsReportedWithItsLines()
    {
        const std::string difference = tests::lineDifference("a\nb\nc\n", "a\nx\nc\n");
        CPPUNIT_ASSERT(difference.find("line 2") != std::string::npos);
        CPPUNIT_ASSERT(difference.find("expected 2: b") != std::string::npos);
        CPPUNIT_ASSERT(difference.find("actual   2: x") != std::string::npos);
    }

    void aMalformedEventIsReportedWithItsLineAndField()
    {
        json::Faults faults;
        replay("# comment\n{\"at\":1,\"event\":{\"type\":\"Tock\"}}\n", faults);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), faults.size());
        CPPUNIT_ASSERT_EQUAL(std::string("line 2 $.event.type"), faults.front().path);
    }
};

REGISTER_SUITE(CodecTest, "codec");

} // namespace azurespindle::session
