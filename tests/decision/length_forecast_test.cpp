#include "decision/length_forecast.h"

#include "decision/memory_profile.h"
#include "support/suite.h"

namespace azurespindle::decision {
namespace {

constexpr Tokens maxTokens = 65'536;

LengthForecast forecastOf(const std::string &trafficClass, Tokens length, int count)
{
    LengthForecast forecast;
    for (int round = 0; round < count; ++round) {
        forecast.observe("w", trafficClass, length);
    }
    return forecast;
}

} // namespace

class LengthForecastTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LengthForecastTest);
    CPPUNIT_TEST(remainingLengthIsLearnedPerClass);
    CPPUNIT_TEST(estimatesAreConditionalOnTheProducedTokens);
    CPPUNIT_TEST(outputsBeyondTheObservedLengthsAreExpectedToContinue);
    CPPUNIT_TEST(aNewClassUsesTheModelsHistogram);
    CPPUNIT_TEST(aSuddenChangeOfLengthsIsLearned);
    CPPUNIT_TEST(nothingIsExpectedBeyondMaxTokens);
    CPPUNIT_TEST(memoryProfileIncludesTheGrowthOfGenerations);
    CPPUNIT_TEST(theNumberOfClassesIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void remainingLengthIsLearnedPerClass()
    {
        const LengthForecast forecast = forecastOf("spec", 1'000, 200);
        const double expected = forecast.estimate("w", "spec").expectedRemaining(0, maxTokens);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(expected), expected > 600 && expected < 1'500);
    }

    void estimatesAreConditionalOnTheProducedTokens()
    {
        LengthForecast forecast;
        for (int round = 0; round < 100; ++round) {
            forecast.observe("w", "mixed", round % 10 == 0 ? 8'000 : 20);
        }
        const LengthEstimate estimate = forecast.estimate("w", "mixed");
        CPPUNIT_ASSERT(estimate.continuationProbability(0, 100, maxTokens) < 0.2);
        CPPUNIT_ASSERT(estimate.continuationProbability(200, 1'000, maxTokens) > 0.8);
    }

    void outputsBeyondTheObservedLengthsAreExpectedToContinue()
    {
        const LengthForecast forecast = forecastOf("spec", 100, 200);
        const double remaining
            = forecast.estimate("w", "spec").expectedRemaining(10'000, maxTokens);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(remaining), remaining > 1'000);
    }

    void aNewClassUsesTheModelsHistogram()
    {
        const LengthForecast forecast = forecastOf("spec", 1'000, 200);
        const double knownClass = forecast.estimate("w", "spec").expectedRemaining(0, maxTokens);
        const double newClass = forecast.estimate("other", "new").expectedRemaining(0, maxTokens);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(knownClass, newClass, knownClass * 0.1);
    }

    void aSuddenChangeOfLengthsIsLearned()
    {
        LengthForecast forecast = forecastOf("spec", 100, 400);
        for (int round = 0; round < 200; ++round) {
            forecast.observe("w", "spec", 2'000);
        }
        const double expected = forecast.estimate("w", "spec").expectedRemaining(0, maxTokens);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(expected), expected > 700);
    }

    void nothingIsExpectedBeyondMaxTokens()
    {
        const LengthForecast forecast = forecastOf("spec", 1'000, 50);
        CPPUNIT_ASSERT_EQUAL(0.0,
                             forecast.estimate("w", "spec").continuationProbability(90, 10, 100));
        CPPUNIT_ASSERT_EQUAL(0.0, forecast.estimate("w", "spec").expectedRemaining(100, 100));
    }

    void memoryProfileIncludesTheGrowthOfGenerations()
    {
        const LengthForecast forecast = forecastOf("spec", 2'000, 200);
        const MemoryProfile one
            = MemoryProfile::forGeneration(forecast.estimate("w", "spec"), 100, 0, maxTokens);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, one.current(), 0.1);
        CPPUNIT_ASSERT(one.peakWith(MemoryProfile(), 0.0) > 500.0);
        MemoryProfile sum;
        sum.add(one);
        sum.subtract(one);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, sum.peakWith(MemoryProfile(), 1.0), 1e-6);
    }

    void theNumberOfClassesIsBounded()
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
