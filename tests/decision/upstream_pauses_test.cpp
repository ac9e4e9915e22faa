#include "decision/upstream_pauses.h"

#include "support/suite.h"

namespace azurespindle::decision {
namespace {

const Instant start(seconds(100));

} // namespace

class UpstreamPausesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamPausesTest);
    CPPUNIT_TEST(nothingIsSentDuringAPause);
    CPPUNIT_TEST(ofSeveralPausesTheLastEndCounts);
    CPPUNIT_TEST(aPauseOfNothingHasNoEffect);
    CPPUNIT_TEST(anAbsurdPauseIsShortened);
    CPPUNIT_TEST(aPauseHoldsForOneLifetime);
    CPPUNIT_TEST(requestsAreSpacedAfterAPause);
    CPPUNIT_TEST(pausesAreForgotten);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingIsSentDuringAPause()
    {
        UpstreamPauses pauses;
        CPPUNIT_ASSERT(pauses.allows("e1", 1, start));
        CPPUNIT_ASSERT(pauses.note("e1", 1, milliseconds(1'500), start));
        CPPUNIT_ASSERT(!pauses.allows("e1", 1, start));
        CPPUNIT_ASSERT(pauses.allows("e2", 1, start));
        CPPUNIT_ASSERT(!pauses.allows("e1", 1, start + milliseconds(1'499)));
        CPPUNIT_ASSERT(microseconds(500'000)
                       == pauses.timeUntilAllowed("e1", 1, start + milliseconds(1'000)));
        CPPUNIT_ASSERT(pauses.allows("e1", 1, start + milliseconds(1'500)));
    }

    void ofSeveralPausesTheLastEndCounts()
    {
        UpstreamPauses pauses;
        pauses.note("e1", 1, seconds(5), start);
        CPPUNIT_ASSERT_MESSAGE("a shorter one after a longer one",
                               !pauses.note("e1", 1, seconds(1), start + seconds(2)));
        CPPUNIT_ASSERT(!pauses.allows("e1", 1, start + seconds(4)));
        CPPUNIT_ASSERT(pauses.note("e1", 1, seconds(5), start + seconds(2)));
        CPPUNIT_ASSERT(!pauses.allows("e1", 1, start + seconds(6)));
        CPPUNIT_ASSERT(pauses.allows("e1", 1, start + seconds(7)));
    }

    void aPauseOfNothingHasNoEffect()
    {
        UpstreamPauses pauses;
        CPPUNIT_ASSERT(!pauses.note("e1", 1, milliseconds(0), start));
        CPPUNIT_ASSERT(!pauses.note("e1", 1, milliseconds(-5), start));
        CPPUNIT_ASSERT(pauses.empty());
        pauses.note("e1", 1, seconds(5), start);
        pauses.note("e1", 1, milliseconds(0), start);
        CPPUNIT_ASSERT(!pauses.allows("e1", 1, start + seconds(4)));
    }

    void anAbsurdPauseIsShortened()
    {
        UpstreamPauses pauses;
        pauses.note("e1", 1, milliseconds::max(), start);
        CPPUNIT_ASSERT(!pauses.allows("e1", 1, start + UpstreamPauses::maxPause - seconds(1)));
        CPPUNIT_ASSERT(pauses.allows("e1", 1, start + UpstreamPauses::maxPause));
    }

    void aPauseHoldsForOneLifetime()
    {
        UpstreamPauses pauses;
        pauses.note("e1", 2, seconds(5), start);
        CPPUNIT_ASSERT_MESSAGE("begun anew", pauses.allows("e1", 3, start));
        CPPUNIT_ASSERT_MESSAGE("late words of the lifetime before",
                               !pauses.note("e1", 1, seconds(50), start));
        CPPUNIT_ASSERT(!pauses.allows("e1", 2, start));
        pauses.note("e1", 3, seconds(1), start);
        CPPUNIT_ASSERT(!pauses.allows("e1", 3, start));
        CPPUNIT_ASSERT(pauses.allows("e1", 3, start + seconds(1)));
    }

    void requestsAreSpacedAfterAPause()
    {
        UpstreamPauses pauses;
        pauses.note("e1", 1, seconds(1), start);
        int sent = 0;
        const Instant end = start + seconds(1);
        for (Instant now = start; now < end + milliseconds(500); now += milliseconds(1)) {
            if (pauses.allows("e1", 1, now)) {
                pauses.recordSend("e1", now);
                sent += 1;
            }
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(milliseconds(500) / UpstreamPauses::recoverySpacing),
                             sent);
        const Instant recovered = end + UpstreamPauses::recoveryPeriod;
        pauses.recordSend("e1", recovered);
        CPPUNIT_ASSERT(pauses.allows("e1", 1, recovered));
    }

    void pausesAreForgotten()
    {
        UpstreamPauses pauses;
        const auto any = [](const std::string &, std::uint64_t) { return true; };
        const auto none = [](const std::string &, std::uint64_t) { return false; };
        pauses.note("e1", 1, seconds(1), start);
        pauses.forgetUnless(any, start + seconds(1));
        CPPUNIT_ASSERT(!pauses.empty());
        pauses.forgetUnless(any, start + seconds(1) + UpstreamPauses::recoveryPeriod);
        CPPUNIT_ASSERT(pauses.empty());
        pauses.note("e1", 1, seconds(10), start);
        pauses.forgetUnless(none, start);
        CPPUNIT_ASSERT(pauses.empty());
        CPPUNIT_ASSERT(pauses.allows("e1", 1, start));
    }

    void memoryIsBounded()
    {
        UpstreamPauses pauses;
        for (std::size_t number = 0; number <= UpstreamPauses::maxUpstreams; ++number) {
            pauses.note("e" + std::to_string(number), 1, seconds(5), start);
        }
        CPPUNIT_ASSERT_MESSAGE("the oldest is forgotten", pauses.allows("e0", 1, start));
        CPPUNIT_ASSERT(!pauses.allows("e1", 1, start));
    }
};

REGISTER_SUITE(UpstreamPausesTest, "upstream_pauses");

} // namespace azurespindle::decision
