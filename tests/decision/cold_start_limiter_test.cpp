#include "decision/cold_start_limiter.h"

#include "support/suite.h"

#include <deque>
#include <string>
#include <vector>

namespace azurespindle::decision {

class ColdStartLimiterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdStartLimiterTest);
    CPPUNIT_TEST(allProcessesTogetherStayWithinTheRate);
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
                if (each.allows("e1", ratePerSecond, now)) {
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

    void upstreamsWithoutAStatedRateAreNotLimited()
    {
        ColdStartLimiter limiter;
        limiter.setProcessCount(9);
        limiter.recordSend("e1", Instant(seconds(1)));
        CPPUNIT_ASSERT(limiter.allows("e1", 0.0, Instant(seconds(1))));
    }
};

REGISTER_SUITE(ColdStartLimiterTest, "cold_start_limiter");

} // namespace azurespindle::decision
