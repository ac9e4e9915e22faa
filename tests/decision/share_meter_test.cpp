#include "decision/share_meter.h"

#include "support/suite.h"

#include <string>

namespace azurespindle::decision {

class ShareMeterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShareMeterTest);
    CPPUNIT_TEST(whoGetsMoreThanItsWeightIsAboveItsShare);
    CPPUNIT_TEST(whoIsAloneIsNeverAboveItsShare);
    CPPUNIT_TEST(serviceIsForgotten);
    CPPUNIT_TEST(workspacesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void whoGetsMoreThanItsWeightIsAboveItsShare()
    {
        ShareMeter meter;
        meter.note("greedy", 2'000.0, 1.0, Instant(seconds(1)));
        meter.note("small", 1'000.0, 1.0, Instant(seconds(1)));
        meter.note("heavy", 3'000.0, 3.0, Instant(seconds(1)));
        meter.passTime(Instant(seconds(1)));
        CPPUNIT_ASSERT(meter.aboveShare("greedy"));
        CPPUNIT_ASSERT(!meter.aboveShare("small"));
        CPPUNIT_ASSERT(!meter.aboveShare("heavy"));
        CPPUNIT_ASSERT(!meter.aboveShare("unknown"));
    }

    void whoIsAloneIsNeverAboveItsShare()
    {
        ShareMeter meter;
        meter.note("only", 50'000.0, 1.0, Instant(seconds(1)));
        meter.passTime(Instant(seconds(1)));
        CPPUNIT_ASSERT(!meter.aboveShare("only"));
    }

    void serviceIsForgotten()
    {
        ShareMeter meter;
        meter.note("greedy", 2'000.0, 1.0, Instant(seconds(1)));
        meter.note("small", 100.0, 1.0, Instant(seconds(1)));
        meter.passTime(Instant(seconds(1)));
        CPPUNIT_ASSERT(meter.aboveShare("greedy"));
        meter.note("small", 2'000.0, 1.0, Instant(seconds(60)));
        meter.passTime(Instant(seconds(60)));
        CPPUNIT_ASSERT(!meter.aboveShare("greedy"));
        meter.passTime(Instant(seconds(600)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), meter.size());
    }

    void workspacesAreBounded()
    {
        ShareMeter meter;
        for (std::size_t index = 0; index < ShareMeter::maxWorkspaces + 100; ++index) {
            meter.note("w" + std::to_string(index), 10.0, 1.0, Instant(seconds(1)));
        }
        CPPUNIT_ASSERT_EQUAL(ShareMeter::maxWorkspaces, meter.size());
    }
};

REGISTER_SUITE(ShareMeterTest, "share_meter");

} // namespace azurespindle::decision
