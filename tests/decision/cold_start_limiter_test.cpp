#include "decision/cold_start_limiter.h"

#include "support/suite.h"

#include <deque>
#include <string>
#include <vector>

namespace azurespindle::decision {

namespace {

/// Returns the limiters of a fleet whose processes know each other.
std::vector<ColdStartLimiter> makeFleet(std::size_t processes)
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < processes; ++number) {
        names.push_back("entry-" + std::to_string(number));
    }
    const auto shared = std::make_shared<const std::vector<std::string>>(names);
    std::vector<ColdStartLimiter> fleet(processes);
    for (std::size_t number = 0; number < processes; ++number) {
        fleet[number].setProcessCount(processes);
        fleet[number].setProcesses(shared, names[number]);
    }
    return fleet;
}

} // namespace

class ColdStartLimiterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdStartLimiterTest);
    CPPUNIT_TEST(allProcessesTogetherStayWithinTheRate);
    CPPUNIT_TEST(theRateHoldsInALargeFleet);
    CPPUNIT_TEST(fewUpstreamsAreOpenToMostProcesses);
    CPPUNIT_TEST(upstreamsWithoutAStatedRateAreNotLimited);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A zone comes back, and nine processes that do not communicate find its upstreams empty and
    /// send as much as they may. In no second may an upstream get more requests than it sustains.
    void allProcessesTogetherStayWithinTheRate()
    {
        constexpr std::size_t processes = 9;
        constexpr double ratePerSecond = 27.0;
        std::vector<ColdStartLimiter> fleet(processes);
        for (ColdStartLimiter &each : fleet) {
            each.setProcessCount(processes);
        }
        std::deque<Instant> lastSecond;
        std::size_t most = 0;
        std::size_t all = 0;
        for (Instant now(seconds(10)); now < Instant(seconds(14)); now += milliseconds(5)) {
            for (ColdStartLimiter &each : fleet) {
                if (each.allows("e1", ratePerSecond, 1, now)) {
                    each.recordSend("e1", now);
                    lastSecond.push_back(now);
                    all += 1;
                }
            }
            while (now - lastSecond.front() >= seconds(1)) {
                lastSecond.pop_front();
            }
            most = std::max(most, lastSecond.size());
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), static_cast<double>(most) <= ratePerSecond);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(all),
                               static_cast<double>(all) >= 3.0 * ratePerSecond);
    }

    /// Each of many processes has a request for an upstream that just turned cold.
    void theRateHoldsInALargeFleet()
    {
        constexpr double ratePerSecond = 27.0;
        for (const std::size_t processes : {30U, 100U, 300U, 910U}) {
            std::vector<ColdStartLimiter> fleet = makeFleet(processes);
            std::deque<Instant> lastSecond;
            std::size_t most = 0;
            std::size_t all = 0;
            for (Instant now(seconds(10)); now < Instant(seconds(14)); now += milliseconds(20)) {
                for (ColdStartLimiter &each : fleet) {
                    if (each.allows("e1", ratePerSecond, 122, now)) {
                        each.recordSend("e1", now);
                        lastSecond.push_back(now);
                        all += 1;
                    }
                }
                while (!lastSecond.empty() && now - lastSecond.front() >= seconds(1)) {
                    lastSecond.pop_front();
                }
                most = std::max(most, lastSecond.size());
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(most),
                                   static_cast<double>(most) <= ratePerSecond);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(all),
                                   static_cast<double>(all) >= 2.0 * ratePerSecond);
        }
    }

    void fewUpstreamsAreOpenToMostProcesses()
    {
        constexpr std::size_t processes = 300;
        constexpr std::size_t upstreams = 6;
        std::vector<ColdStartLimiter> fleet = makeFleet(processes);
        std::size_t able = 0;
        for (ColdStartLimiter &each : fleet) {
            bool mayDo = false;
            for (std::size_t number = 0; number < upstreams; ++number) {
                mayDo = mayDo
                    || each.allows("d" + std::to_string(number), 27.0, upstreams,
                                   Instant(seconds(10)));
            }
            able += mayDo ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(able), able >= processes * 6 / 10);
    }

    void upstreamsWithoutAStatedRateAreNotLimited()
    {
        ColdStartLimiter limiter;
        limiter.setProcessCount(9);
        limiter.recordSend("e1", Instant(seconds(1)));
        CPPUNIT_ASSERT(limiter.allows("e1", 0.0, 1, Instant(seconds(1))));
    }
};

REGISTER_SUITE(ColdStartLimiterTest, "cold_start_limiter");

} // namespace azurespindle::decision
