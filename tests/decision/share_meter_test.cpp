#include "decision/share_meter.h"

#include "support/suite.h"

#include <string>

namespace azurespindle::decision {

class ShareMeterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShareMeterTest);
    CPPUNIT_TEST(aWorkspaceWithMoreThanItsWeightIsAboveItsShare);
    CPPUNIT_TEST(aSingleActiveWorkspaceIsNeverAboveItsShare);
    CPPUNIT_TEST(usageDecays);
    CPPUNIT_TEST(theNumberOfWorkspacesIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void aWorkspaceWithMoreThanItsWeightIsAboveItsShare()
    {
        ShareMeter meter;
        meter.recordUsage("greedy", 2'000.0, 1.0, Instant(seconds(1)));
        meter.recordUsage("small", 1'000.0, 1.0, Instant(seconds(1)));
        meter.recordUsage("heavy", 3'000.0, 3.0, Instant(seconds(1)));
        meter.decay(Instant(seconds(1)));
        CPPUNIT_ASSERT(meter.isAboveShare("greedy"));
        CPPUNIT_ASSERT(!meter.isAboveShare("small"));
        CPPUNIT_ASSERT(!meter.isAboveShare("heavy"));
        CPPUNIT_ASSERT(!meter.isAboveShare("unknown"));
    }

    void aSingleActiveWorkspaceIsNeverAboveItsShare()
    {
        ShareMeter meter;
        meter.recordUsage("only", 50'000.0, 1.0, Instant(seconds(1)));
        meter.decay(Instant(seconds(1)));
        CPPUNIT_ASSERT(!meter.isAboveShare("only"));
    }

    void usageDecays()
    {
        ShareMeter meter;
        meter.recordUsage("greedy", 2'000.0, 1.0, Instant(seconds(1)));
        meter.recordUsage("small", 100.0, 1.0, Instant(seconds(1)));
        meter.decay(Instant(seconds(1)));
        CPPUNIT_ASSERT(meter.isAboveShare("greedy"));
        meter.recordUsage("small", 2'000.0, 1.0, Instant(seconds(60)));
        meter.decay(Instant(seconds(60)));
        CPPUNIT_ASSERT(!meter.isAboveShare("greedy"));
        meter.decay(Instant(seconds(600)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), meter.size());
    }

    void theNumberOfWorkspacesIsBounded()
    {
        ShareMeter meter;
        for (std::size_t index = 0; index < ShareMeter::maxWorkspaces + 100; ++index) {
            meter.recordUsage("w" + std::to_string(index), 10.0, 1.0, Instant(seconds(1)));
        }
        CPPUNIT_ASSERT_EQUAL(ShareMeter::maxWorkspaces, meter.size());
    }
};

REGISTER_SUITE(ShareMeterTest, "share_meter");

} // namespace azurespindle::decision
