#include "decision/ramp.h"

#include "support/suite.h"

namespace azurespindle::decision {
namespace {

configuration::UpstreamPolicy policy()
{
    configuration::UpstreamPolicy policy;
    policy.coldConcurrency = 2;
    policy.maxConcurrency = 64;
    return policy;
}

UpstreamObservations inTime()
{
    UpstreamObservations evidence;
    evidence.gapsInTime = 100;
    return evidence;
}

Instant at(int ms)
{
    return Instant(milliseconds(ms));
}

/// Returns the limit after \a windows of good evidence under full use.
std::uint32_t climb(Ramp &ramp, int windows, int fromMs)
{
    for (int window = 1; window <= windows; ++window) {
        ramp.weigh(inTime(), ramp.limit(), at(fromMs + window * 500));
    }
    return ramp.limit();
}

} // namespace

class RampTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RampTest);
    CPPUNIT_TEST(startsAtWhatAColdUpstreamBears);
    CPPUNIT_TEST(reachesFullUseInSecondsUnderGoodEvidence);
    CPPUNIT_TEST(doesNotRiseWhileItsLimitIsUnused);
    CPPUNIT_TEST(oneBurstOfEvidenceCountsOnce);
    CPPUNIT_TEST(lateTokensLowerIt);
    CPPUNIT_TEST(aFailureTakesItBackToCold);
    CPPUNIT_TEST(aNewBootNumberTakesItBackToCold);
    CPPUNIT_TEST(anIdleUpstreamIsTrustedLessAndLess);
    CPPUNIT_TEST(aChangedPolicyBoundsItAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void startsAtWhatAColdUpstreamBears() { CPPUNIT_ASSERT_EQUAL(2U, Ramp(policy()).limit()); }

    void reachesFullUseInSecondsUnderGoodEvidence()
    {
        Ramp ramp(policy());
        CPPUNIT_ASSERT_EQUAL(64U, climb(ramp, 10, 0));
        CPPUNIT_ASSERT(ramp.warm());
    }

    void doesNotRiseWhileItsLimitIsUnused()
    {
        Ramp ramp(policy());
        for (int window = 1; window < 10; ++window) {
            ramp.weigh(inTime(), 1, at(window * 500));
        }
        CPPUNIT_ASSERT_EQUAL(2U, ramp.limit());
    }

    void oneBurstOfEvidenceCountsOnce()
    {
        Ramp ramp(policy());
        climb(ramp, 1, 0);
        const std::uint32_t once = ramp.limit();
        for (int repeat = 0; repeat < 50; ++repeat) {
            ramp.weigh(inTime(), 64, at(510));
        }
        CPPUNIT_ASSERT_EQUAL(once, ramp.limit());
    }

    void lateTokensLowerIt()
    {
        Ramp ramp(policy());
        climb(ramp, 10, 0);
        UpstreamObservations late = inTime();
        late.gapsLate = 30;
        CPPUNIT_ASSERT(ramp.weigh(late, 64, at(6'000)) == RampReason::Late);
        CPPUNIT_ASSERT(ramp.limit() < 64U);
        CPPUNIT_ASSERT(ramp.limit() > 32U);
    }

    void aFailureTakesItBackToCold()
    {
        Ramp ramp(policy());
        climb(ramp, 10, 0);
        UpstreamObservations failure;
        failure.failures = 1;
        CPPUNIT_ASSERT(ramp.weigh(failure, 64, at(5'001)) == RampReason::Failure);
        CPPUNIT_ASSERT_EQUAL(2U, ramp.limit());
    }

    void aNewBootNumberTakesItBackToCold()
    {
        Ramp ramp(policy());
        ramp.noteBoot(7, at(0));
        climb(ramp, 10, 0);
        CPPUNIT_ASSERT(ramp.noteBoot(7, at(6'000)) == RampReason::None);
        CPPUNIT_ASSERT(ramp.noteBoot(8, at(6'001)) == RampReason::Restarted);
        CPPUNIT_ASSERT_EQUAL(2U, ramp.limit());
    }

    void anIdleUpstreamIsTrustedLessAndLess()
    {
        Ramp ramp(policy());
        climb(ramp, 10, 0);
        CPPUNIT_ASSERT(ramp.passTime(at(5'000) + Ramp::idleHalving) == RampReason::Idle);
        CPPUNIT_ASSERT_EQUAL(32U, ramp.limit());
        CPPUNIT_ASSERT(ramp.passTime(at(5'001) + Ramp::idleHalving) == RampReason::None);
    }

    void aChangedPolicyBoundsItAtOnce()
    {
        Ramp ramp(policy());
        climb(ramp, 10, 0);
        configuration::UpstreamPolicy narrow = policy();
        narrow.maxConcurrency = 8;
        ramp.setPolicy(narrow);
        CPPUNIT_ASSERT_EQUAL(8U, ramp.limit());
    }
};

REGISTER_SUITE(RampTest, "ramp");

} // namespace azurespindle::decision
