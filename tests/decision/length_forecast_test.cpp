#include "decision/length_forecast.h"

#include "decision/memory_profile.h"
#include "support/suite.h"

namespace azurespindle::decision {
namespace {

constexpr Tokens limit = 65'536;

LengthForecast learned(const std::string &trafficClass, Tokens length, int times)
{
    LengthForecast forecast;
    for (int time = 0; time < times; ++time) {
        forecast.observe("w", trafficClass, length);
    }
    return forecast;
}

} // namespace

class LengthForecastTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LengthForecastTest);
    CPPUNIT_TEST(learnsAClassAndSaysWhatRemains);
    CPPUNIT_TEST(whatHasBeenProducedChangesWhatIsExpected);
    CPPUNIT_TEST(beyondAllThatWasSeenItExpectsMore);
    CPPUNIT_TEST(aNewClassLeansOnTheModel);
    CPPUNIT_TEST(aSuddenChangeOfLengthsIsLearned);
    CPPUNIT_TEST(nothingIsExpectedPastTheLimitOfTheRequest);
    CPPUNIT_TEST(memoryPeaksWhenGenerationsHaveGrown);
    CPPUNIT_TEST(classesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void learnsAClassAndSaysWhatRemains()
    {
        const LengthForecast forecast = learned("spec", 1'000, 200);
        const double expected = forecast.estimate("w", "spec").expectedRemaining(0, limit);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(expected), expected > 600 && expected < 1'500);
    }

    void whatHasBeenProducedChangesWhatIsExpected()
    {
        LengthForecast forecast;
        for (int time = 0; time < 100; ++time) {
            forecast.observe("w", "mixed", time % 10 == 0 ? 8'000 : 20);
        }
        const LengthEstimate estimate = forecast.estimate("w", "mixed");
        CPPUNIT_ASSERT(estimate.continues(0, 100, limit) < 0.2);
        CPPUNIT_ASSERT(estimate.continues(200, 1'000, limit) > 0.8);
    }

    void beyondAllThatWasSeenItExpectsMore()
    {
        const LengthForecast forecast = learned("spec", 100, 200);
        const double more = forecast.estimate("w", "spec").expectedRemaining(10'000, limit);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(more), more > 1'000);
    }

    void aNewClassLeansOnTheModel()
    {
        const LengthForecast forecast = learned("spec", 1'000, 200);
        const double known = forecast.estimate("w", "spec").expectedRemaining(0, limit);
        const double fresh = forecast.estimate("other", "new").expectedRemaining(0, limit);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(known, fresh, known * 0.1);
    }

    void aSuddenChangeOfLengthsIsLearned()
    {
        LengthForecast forecast = learned("spec", 100, 400);
        for (int time = 0; time < 200; ++time) {
            forecast.observe("w", "spec", 2'000);
        }
        const double expected = forecast.estimate("w", "spec").expectedRemaining(0, limit);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(expected), expected > 700);
    }

    void nothingIsExpectedPastTheLimitOfTheRequest()
    {
        const LengthForecast forecast = learned("spec", 1'000, 50);
        CPPUNIT_ASSERT_EQUAL(0.0, forecast.estimate("w", "spec").continues(90, 10, 100));
        CPPUNIT_ASSERT_EQUAL(0.0, forecast.estimate("w", "spec").expectedRemaining(100, 100));
    }

    void memoryPeaksWhenGenerationsHaveGrown()
    {
        const LengthForecast forecast = learned("spec", 2'000, 200);
        const MemoryProfile one
            = MemoryProfile::ofGeneration(forecast.estimate("w", "spec"), 100, 0, limit);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, one.current(), 0.1);
        CPPUNIT_ASSERT(one.peakWith(MemoryProfile(), 0.0) > 500.0);
        MemoryProfile sum;
        sum.add(one);
        sum.subtract(one);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, sum.peakWith(MemoryProfile(), 1.0), 1e-6);
    }

    void classesAreBounded()
    {
        LengthForecast forecast;
        for (std::size_t index = 0; index < 3 * LengthForecast::maxClasses; ++index) {
            forecast.observe("w" + std::to_string(index), "c", 10);
        }
        CPPUNIT_ASSERT_EQUAL(LengthForecast::maxClasses, forecast.classCount());
    }
};

REGISTER_SUITE(LengthForecastTest, "length_forecast");

} // namespace azurespindle::decision
