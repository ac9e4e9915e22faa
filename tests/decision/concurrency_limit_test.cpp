#include "decision/concurrency_limit.h"

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
std::uint32_t climb(ConcurrencyLimit &ramp, int windows, int fromMs)
{
    for (int window = 1; window <= windows; ++window) {
        ramp.addEvidence(inTime(), ramp.limit(), at(fromMs + window * 500));
    }
    return ramp.limit();
}

} // namespace

class ConcurrencyLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConcurrencyLimitTest);
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
    void startsAtWhatAColdUpstreamBears()
    {
        CPPUNIT_ASSERT_EQUAL(2U, ConcurrencyLimit(policy()).limit());
    }

    void reachesFullUseInSecondsUnderGoodEvidence()
    {
        ConcurrencyLimit ramp(policy());
        CPPUNIT_ASSERT_EQUAL(64U, climb(ramp, 10, 0));
        CPPUNIT_ASSERT(ramp.warm());
    }

    void doesNotRiseWhileItsLimitIsUnused()
    {
        ConcurrencyLimit ramp(policy());
        for (int window = 1; window < 10; ++window) {
            ramp.addEvidence(inTime(), 1, at(window * 500));
        }
        CPPUNIT_ASSERT_EQUAL(2U, ramp.limit());
    }

    void oneBurstOfEvidenceCountsOnce()
    {
        ConcurrencyLimit ramp(policy());
        climb(ramp, 1, 0);
        const std::uint32_t once = ramp.limit();
        for (int repeat = 0; repeat < 50; ++repeat) {
            ramp.addEvidence(inTime(), 64, at(510));
        }
        CPPUNIT_ASSERT_EQUAL(once, ramp.limit());
    }

    void lateTokensLowerIt()
    {
        ConcurrencyLimit ramp(policy());
        climb(ramp, 10, 0);
        UpstreamObservations late = inTime();
        late.gapsLate = 30;
        CPPUNIT_ASSERT(ramp.addEvidence(late, 64, at(6'000)) == LimitChangeReason::Late);
        CPPUNIT_ASSERT(ramp.limit() < 64U);
        CPPUNIT_ASSERT(ramp.limit() > 32U);
    }

    void aFailureTakesItBackToCold()
    {
        ConcurrencyLimit ramp(policy());
        climb(ramp, 10, 0);
        UpstreamObservations failure;
        failure.failures = 1;
        CPPUNIT_ASSERT(ramp.addEvidence(failure, 64, at(5'001)) == LimitChangeReason::Failure);
        CPPUNIT_ASSERT_EQUAL(2U, ramp.limit());
    }

    void aNewBootNumberTakesItBackToCold()
    {
        ConcurrencyLimit ramp(policy());
        ramp.recordBoot(7, at(0));
        climb(ramp, 10, 0);
        CPPUNIT_ASSERT(ramp.recordBoot(7, at(6'000)) == LimitChangeReason::None);
        CPPUNIT_ASSERT(ramp.recordBoot(8, at(6'001)) == LimitChangeReason::Restarted);
        CPPUNIT_ASSERT_EQUAL(2U, ramp.limit());
    }

    void anIdleUpstreamIsTrustedLessAndLess()
    {
        ConcurrencyLimit ramp(policy());
        climb(ramp, 10, 0);
        CPPUNIT_ASSERT(ramp.decayIfIdle(at(5'000) + ConcurrencyLimit::idleHalving)
                       == LimitChangeReason::Idle);
        CPPUNIT_ASSERT_EQUAL(32U, ramp.limit());
        CPPUNIT_ASSERT(ramp.decayIfIdle(at(5'001) + ConcurrencyLimit::idleHalving)
                       == LimitChangeReason::None);
    }

    void aChangedPolicyBoundsItAtOnce()
    {
        ConcurrencyLimit ramp(policy());
        climb(ramp, 10, 0);
        configuration::UpstreamPolicy narrow = policy();
        narrow.maxConcurrency = 8;
        ramp.setPolicy(narrow);
        CPPUNIT_ASSERT_EQUAL(8U, ramp.limit());
    }
};

REGISTER_SUITE(ConcurrencyLimitTest, "concurrency_limit");

} // namespace azurespindle::decision
