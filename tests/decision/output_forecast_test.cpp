#include "decision/output_forecast.h"

#include "support/suite.h"

#include <cmath>
#include <functional>
#include <random>

namespace azurespindle::decision {
namespace {

constexpr Tokens maxTokens = 1'768;
constexpr Tokens step = 192; ///< Growth that is recorded at a time.

/// One output of a simulated load.
struct Output
{
    OutputRequest request;
    Tokens length = 0;
};

/// Draws outputs whose lengths spread log-normally around a median and are cut at the maximum.
class Load
{
public:
    /// \param spread standard deviation of ln(length / median).
    explicit Load(double spread) : spread(spread) { }

    /// Draws a factor around 1 whose logarithm has the standard deviation \a deviation.
    double factor(double deviation) { return std::exp(deviation * this->normal(this->random)); }
    double uniform() { return std::uniform_real_distribution<double>()(this->random); }
    Output draw(const std::string &workspace, double median)
    {
        const double length = std::round(median * this->factor(this->spread));
        return {{"long", workspace, maxTokens, std::nullopt},
                static_cast<Tokens>(std::clamp(length, 4.0, double {maxTokens}))};
    }
    /// Draws an output whose hint is right at the median.
    Output drawHinted(const std::string &workspace)
    {
        const double hint = std::clamp(400.0 * this->factor(1.0), 4.0, double {maxTokens});
        Output output = this->draw(workspace, hint);
        output.request.hint = static_cast<Tokens>(hint);
        return output;
    }

private:
    double spread;
    std::mt19937_64 random {7};
    std::normal_distribution<double> normal;
};

/// Lets an output grow to \a end tokens.
void grow(OutputForecaster &forecaster, const OutputRequest &request, Tokens end)
{
    for (Tokens from = 0; from < end; from += step) {
        forecaster.recordGrowth(request, from, std::min(from + step, end));
    }
}

void complete(OutputForecaster &forecaster, const Output &output)
{
    const InitialForecast initial = forecaster.initialForecast(output.request);
    grow(forecaster, output.request, output.length);
    forecaster.recordEnd(output.request, output.length, initial);
}

/// Returns the errors after \a count outputs of a load.
ForecastError errorAfter(int count, const std::function<Output()> &draw)
{
    OutputForecaster forecaster;
    for (int number = 0; number < count; ++number) {
        complete(forecaster, draw());
    }
    return forecaster.errors().at(0);
}

std::string text(const ForecastError &error)
{
    return "error " + std::to_string(error.error) + ", baseline "
        + std::to_string(error.baselineError);
}

} // namespace

class OutputForecastTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutputForecastTest);
    CPPUNIT_TEST(beforeThereIsEvidenceTheMaximumDecides);
    CPPUNIT_TEST(honestHintsLowerTheError);
    CPPUNIT_TEST(hintsThatAreOftenFarOffDoNotRaiseTheError);
    CPPUNIT_TEST(uselessHintsAreNotTrusted);
    CPPUNIT_TEST(withoutHintsTheErrorStaysAsItIs);
    CPPUNIT_TEST(aWildWorkspaceDoesNotSpoilTheOthers);
    CPPUNIT_TEST(outputsThatAreCutDoNotBiasTheForecast);
    CPPUNIT_TEST(shortOutputsThatCompleteFirstDoNotBiasTheForecast);
    CPPUNIT_TEST(outputsAtTheMaximumDoNotCountAsLengths);
    CPPUNIT_TEST(upperBoundHoldsWithItsConfidence);
    CPPUNIT_TEST(anOutputBeyondItsHintIsForecastFromTheLengths);
    CPPUNIT_TEST(hintsBeyondTheMaximumAreBounded);
    CPPUNIT_TEST(theNumbersOfRoutesAndClassesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void beforeThereIsEvidenceTheMaximumDecides()
    {
        const OutputForecaster forecaster;
        for (const Tokens produced : {0U, 400U, maxTokens}) {
            const OutputForecast forecast
                = forecaster.forecast({"long", "gates", maxTokens, 30}, produced);
            const double expected = 0.42 * (maxTokens - produced);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, forecast.expectedRemaining(), 1e-6);
            CPPUNIT_ASSERT_EQUAL(static_cast<Tokens>(expected) / 2, forecast.meanWhileRunning());
        }
        const OutputForecast unstated = forecaster.forecast({"long", "gates", 0, {}}, 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.42 * 512, unstated.expectedRemaining(), 1e-6);
    }

    void honestHintsLowerTheError()
    {
        Load load(0.3);
        const ForecastError error = errorAfter(600, [&] { return load.drawHinted("gates"); });
        CPPUNIT_ASSERT_MESSAGE(text(error), error.error < 0.55 * error.baselineError);
    }

    void hintsThatAreOftenFarOffDoNotRaiseTheError()
    {
        for (const double spread : {1.1, 1.95}) {
            Load load(spread);
            const ForecastError error = errorAfter(600, [&] { return load.drawHinted("gates"); });
            CPPUNIT_ASSERT_MESSAGE(text(error), error.error < error.baselineError);
        }
    }

    void uselessHintsAreNotTrusted()
    {
        Load load(1.1);
        const ForecastError error = errorAfter(600, [&] {
            Output output = load.draw("gates", 400.0);
            output.request.hint = static_cast<Tokens>(1.0 + 1'700.0 * load.uniform());
            return output;
        });
        CPPUNIT_ASSERT_MESSAGE(text(error), error.error < 1.03 * error.baselineError);
    }

    void withoutHintsTheErrorStaysAsItIs()
    {
        Load load(1.1);
        const ForecastError error = errorAfter(600, [&] { return load.draw("gates", 400.0); });
        CPPUNIT_ASSERT_MESSAGE(text(error), error.error < 1.03 * error.baselineError);
    }

    // Guards against one workspace's lengths and hints, which fit nobody else, in the forecasts of
    // the others: a third of the outputs are its own, near the maximum and with hints of one token.
    void aWildWorkspaceDoesNotSpoilTheOthers()
    {
        Load load(0.4);
        OutputForecaster forecaster;
        for (int number = 0; number < 400; ++number) {
            complete(forecaster, load.draw("gates", 120.0));
            complete(forecaster, load.draw("desks", 120.0));
            complete(forecaster, {{"long", "wild", maxTokens, 1}, maxTokens - 1});
        }
        const InitialForecast initial
            = forecaster.initialForecast({"long", "gates", maxTokens, {}});
        CPPUNIT_ASSERT_MESSAGE(std::to_string(initial.expected), initial.expected < 200.0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(initial.baseline), initial.baseline > 400.0);
    }

    // Guards against counting completed outputs only: half of the long ones are cut before they
    // complete.
    void outputsThatAreCutDoNotBiasTheForecast()
    {
        Load load(1.1);
        OutputForecaster forecaster;
        double sum = 0.0;
        constexpr int count = 1'500;
        for (int number = 0; number < count; ++number) {
            const Output output = load.draw("gates", 400.0);
            sum += output.length;
            const auto cutAt = static_cast<Tokens>(-500.0 * std::log(1.0 - load.uniform()));
            if (cutAt < output.length) {
                grow(forecaster, output.request, cutAt);
            } else {
                complete(forecaster, output);
            }
        }
        this->assertUnbiased(forecaster, sum / count);
    }

    // Guards against a forecast from the first outputs that complete after a start, while the
    // longer ones are still running.
    void shortOutputsThatCompleteFirstDoNotBiasTheForecast()
    {
        Load load(1.1);
        OutputForecaster forecaster;
        double sum = 0.0;
        constexpr int count = 600;
        for (int number = 0; number < count; ++number) {
            const Output output = load.draw("gates", 400.0);
            sum += output.length;
            if (output.length <= 2 * step) {
                complete(forecaster, output);
            } else {
                grow(forecaster, output.request, 2 * step);
            }
        }
        const InitialForecast initial
            = forecaster.initialForecast({"long", "gates", maxTokens, {}});
        CPPUNIT_ASSERT_MESSAGE(std::to_string(initial.baseline),
                               initial.baseline < 0.5 * sum / count);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(initial.expected),
                               initial.expected > 0.85 * sum / count);
    }

    void outputsAtTheMaximumDoNotCountAsLengths()
    {
        OutputForecaster forecaster;
        for (int number = 0; number < 200; ++number) {
            complete(forecaster, {{"long", "gates", 100, {}}, 100});
        }
        const double expected
            = forecaster.forecast({"long", "gates", maxTokens, {}}, 0).expectedRemaining();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(expected), expected > 300.0);
    }

    void upperBoundHoldsWithItsConfidence()
    {
        Load load(0.5);
        OutputForecaster forecaster;
        int within = 0;
        constexpr int count = 1'000;
        for (int number = 0; number < 2 * count; ++number) {
            const Output output = load.drawHinted("gates");
            const OutputForecast forecast = forecaster.forecast(output.request, 0);
            const Tokens bound = forecast.upperBound(0.9);
            CPPUNIT_ASSERT(forecast.endsWithin(bound) >= 0.9 - 1e-6);
            within += number >= count && output.length <= bound ? 1 : 0;
            complete(forecaster, output);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(within), within > 0.86 * count);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(within), within < 0.97 * count);
    }

    void anOutputBeyondItsHintIsForecastFromTheLengths()
    {
        Load load(0.3);
        OutputForecaster forecaster;
        for (int number = 0; number < 400; ++number) {
            complete(forecaster, load.drawHinted("gates"));
        }
        const double hinted
            = forecaster.forecast({"long", "gates", maxTokens, 40}, 600).expectedRemaining();
        const double unhinted
            = forecaster.forecast({"long", "gates", maxTokens, {}}, 600).expectedRemaining();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(hinted), hinted > 0.5 * unhinted);
    }

    void hintsBeyondTheMaximumAreBounded()
    {
        OutputForecaster forecaster;
        for (int number = 0; number < 100; ++number) {
            complete(forecaster, {{"long", "gates", maxTokens, 4'000'000'000U}, 10});
        }
        const OutputForecast forecast
            = forecaster.forecast({"long", "gates", maxTokens, 4'000'000'000U}, 0);
        CPPUNIT_ASSERT(forecast.expectedRemaining() <= maxTokens);
        CPPUNIT_ASSERT(forecast.upperBound(1.0) <= maxTokens);
        CPPUNIT_ASSERT_EQUAL(1.0, forecast.endsWithin(maxTokens));
    }

    void theNumbersOfRoutesAndClassesAreBounded()
    {
        OutputForecaster forecaster;
        for (std::size_t index = 0; index < 3 * OutputForecaster::maxClasses; ++index) {
            const std::string name = std::to_string(index);
            complete(forecaster, {{"r" + name, "w" + name, maxTokens, {}}, 10});
        }
        CPPUNIT_ASSERT_EQUAL(OutputForecaster::maxRoutes, forecaster.routeCount());
        CPPUNIT_ASSERT_EQUAL(OutputForecaster::maxClasses, forecaster.classCount());
        CPPUNIT_ASSERT_EQUAL(OutputForecaster::maxRoutes, forecaster.errors().size());
    }

private:
    /// Checks that a forecast, unlike the baseline, meets the mean length.
    void assertUnbiased(const OutputForecaster &forecaster, double mean) const
    {
        const InitialForecast initial
            = forecaster.initialForecast({"long", "gates", maxTokens, {}});
        const std::string message = std::to_string(mean) + ": " + std::to_string(initial.expected)
            + ", baseline " + std::to_string(initial.baseline);
        CPPUNIT_ASSERT_MESSAGE(message, std::abs(initial.expected / mean - 1.0) < 0.15);
        CPPUNIT_ASSERT_MESSAGE(message, initial.baseline < 0.7 * mean);
    }
};

REGISTER_SUITE(OutputForecastTest, "output_forecast");

} // namespace azurespindle::decision
