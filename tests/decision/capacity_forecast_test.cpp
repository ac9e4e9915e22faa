#include "decision/capacity_forecast.h"

#include "support/suite.h"

namespace azurespindle::decision {

class CapacityForecastTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CapacityForecastTest);
    CPPUNIT_TEST(thereIsNoForecastBeforeEnoughEnds);
    CPPUNIT_TEST(theWaitFollowsFromWhatEndsAndWhatIsAhead);
    CPPUNIT_TEST(shortStaysOfSmallRequestsDoNotHideLongOnes);
    CPPUNIT_TEST(urgentArrivalsLengthenTheWaitWithinBounds);
    CPPUNIT_TEST(theErrorOfWaitsIsAveraged);
    CPPUNIT_TEST_SUITE_END();

public:
    void thereIsNoForecastBeforeEnoughEnds()
    {
        CapacityForecast forecast;
        const ServiceLoad load {100'000.0, 0.0, 3'000.0, 0.0};
        for (int end = 0; end < 20; ++end) {
            CPPUNIT_ASSERT(!forecast.expectedWait("models", load));
            forecast.recordEnd("models", 3'000.0, seconds(7));
        }
        for (int end = 0; end < 20; ++end) {
            forecast.recordEnd("models", 3'000.0, seconds(7));
        }
        CPPUNIT_ASSERT(forecast.expectedWait("models", load));
        CPPUNIT_ASSERT(!forecast.expectedWait("others", load));
        CPPUNIT_ASSERT_MESSAGE("nothing runs",
                               !forecast.expectedWait("models", {0.0, 0.0, 3'000.0, 0.0}));
    }

    void theWaitFollowsFromWhatEndsAndWhatIsAhead()
    {
        CapacityForecast forecast;
        for (int end = 0; end < 100; ++end) {
            forecast.recordEnd("models", 3'000.0, seconds(7));
        }
        // 70,000 tokens that stay for 7 s free 10,000 tokens a second.
        const auto first = forecast.expectedWait("models", {70'000.0, 0.0, 3'000.0, 0.0});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, inSeconds(first->expected), 0.001);
        CPPUNIT_ASSERT(first->atLeast < first->expected);
        const auto later = forecast.expectedWait("models", {70'000.0, 27'000.0, 3'000.0, 0.0});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, inSeconds(later->expected), 0.001);
    }

    /// Most ends are those of short requests, which free little of the memory in use.
    void shortStaysOfSmallRequestsDoNotHideLongOnes()
    {
        CapacityForecast forecast;
        for (int end = 0; end < 300; ++end) {
            forecast.recordEnd("models", 2'000.0, milliseconds(500));
            forecast.recordEnd("models", 4'000.0, seconds(8));
        }
        // Of each (2,000 x 0.5 + 4,000 x 8) token-seconds, 6,000 tokens become free.
        const auto wait = forecast.expectedWait("models", {33'000.0, 0.0, 6'000.0, 0.0});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, inSeconds(wait->expected), 0.02);
    }

    void urgentArrivalsLengthenTheWaitWithinBounds()
    {
        CapacityForecast forecast;
        for (int end = 0; end < 100; ++end) {
            forecast.recordEnd("models", 3'000.0, seconds(7));
        }
        const auto half = forecast.expectedWait("models", {70'000.0, 0.0, 3'000.0, 5'000.0});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, inSeconds(half->expected), 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE("they may stop", 0.105, inSeconds(half->atLeast),
                                             0.001);
        const auto all = forecast.expectedWait("models", {70'000.0, 0.0, 3'000.0, 1e9});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, inSeconds(all->expected), 0.001);
        const auto absurd = forecast.expectedWait("models", {1.0, 1e12, 3'000.0, 0.0});
        CPPUNIT_ASSERT(seconds(600) == absurd->expected);
    }

    void theErrorOfWaitsIsAveraged()
    {
        CapacityForecast forecast;
        CPPUNIT_ASSERT(microseconds(0) == forecast.meanError());
        forecast.recordWait(milliseconds(300), milliseconds(500));
        CPPUNIT_ASSERT(milliseconds(200) == forecast.meanError());
        for (int wait = 0; wait < 200; ++wait) {
            forecast.recordWait(milliseconds(300), milliseconds(250));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05, inSeconds(forecast.meanError()), 0.001);
    }
};

REGISTER_SUITE(CapacityForecastTest, "capacity_forecast");

} // namespace azurespindle::decision
