#include "decision/stream_pace.h"

#include "support/suite.h"

namespace azurespindle::decision {
namespace {

const Instant start(seconds(100));

} // namespace

class StreamPaceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamPaceTest);
    CPPUNIT_TEST(theIntervalIsTheMeanOverAStretch);
    CPPUNIT_TEST(aBurstOfBatchedEventsIsNoStretch);
    CPPUNIT_TEST(anInterruptionIsPartOfNoStretch);
    CPPUNIT_TEST_SUITE_END();

public:
    void theIntervalIsTheMeanOverAStretch()
    {
        StreamPace pace;
        CPPUNIT_ASSERT(pace.countEvents(3, start));
        CPPUNIT_ASSERT(!pace.endStretch({4, 0, 0}, start));
        for (int event = 1; event < 12; ++event) {
            CPPUNIT_ASSERT(!pace.countEvents(1, start + milliseconds(40 * event)));
        }
        const Instant end = start + milliseconds(480);
        CPPUNIT_ASSERT(pace.countEvents(1, end));
        const auto stretch = pace.endStretch({8, 0, 3'000}, end);
        CPPUNIT_ASSERT(stretch);
        CPPUNIT_ASSERT((PaceStretch {milliseconds(40), {6.0, 0.5}}) == *stretch);
        CPPUNIT_ASSERT_MESSAGE("the next stretch has begun", !pace.countEvents(1, end));
    }

    /// Events that waited in a buffer arrive at once and say nothing of the engine's pace.
    void aBurstOfBatchedEventsIsNoStretch()
    {
        StreamPace pace;
        pace.countEvents(1, start);
        pace.endStretch({}, start);
        CPPUNIT_ASSERT(!pace.countEvents(40, start + milliseconds(5)));
        CPPUNIT_ASSERT(pace.countEvents(1, start + milliseconds(410)));
        CPPUNIT_ASSERT(milliseconds(10)
                       == pace.endStretch({}, start + milliseconds(410))->eventInterval);
    }

    void anInterruptionIsPartOfNoStretch()
    {
        StreamPace pace;
        pace.countEvents(1, start);
        pace.endStretch({}, start);
        pace.countEvents(11, start + milliseconds(400));
        pace.restart();
        CPPUNIT_ASSERT(pace.countEvents(1, start + seconds(3)));
        CPPUNIT_ASSERT(!pace.endStretch({}, start + seconds(3)));
    }
};

REGISTER_SUITE(StreamPaceTest, "stream_pace");

} // namespace azurespindle::decision
