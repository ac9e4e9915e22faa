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
    UpstreamObservations observations;
    observations.gapsInTime = 100;
    return observations;
}

Instant at(int ms)
{
    return Instant(milliseconds(ms));
}

/// Returns the limit after \a windows observation windows with the limit in full use and all tokens
/// on time.
std::uint32_t growFor(ConcurrencyLimit &limit, int windows, int fromMs)
{
    for (int window = 1; window <= windows; ++window) {
        limit.addObservations(inTime(), limit.limit(), at(fromMs + window * 500));
    }
    return limit.limit();
}

} // namespace

class ConcurrencyLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConcurrencyLimitTest);
    CPPUNIT_TEST(startsAtTheColdLimit);
    CPPUNIT_TEST(reachesTheMaximumInSecondsWhenTokensAreOnTime);
    CPPUNIT_TEST(doesNotGrowWhileTheLimitIsUnused);
    CPPUNIT_TEST(aBurstOfObservationsRaisesTheLimitOnce);
    CPPUNIT_TEST(lateTokensLowerTheLimit);
    CPPUNIT_TEST(aFailureResetsToTheColdLimit);
    CPPUNIT_TEST(aNewBootNumberResetsToTheColdLimit);
    CPPUNIT_TEST(anIdleUpstreamsLimitIsHalved);
    CPPUNIT_TEST(aChangedPolicyClampsTheLimitAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void startsAtTheColdLimit() { CPPUNIT_ASSERT_EQUAL(2U, ConcurrencyLimit(policy()).limit()); }

    void reachesTheMaximumInSecondsWhenTokensAreOnTime()
    {
        ConcurrencyLimit limit(policy());
        CPPUNIT_ASSERT_EQUAL(64U, growFor(limit, 10, 0));
        CPPUNIT_ASSERT(limit.isWarm());
    }

    void doesNotGrowWhileTheLimitIsUnused()
    {
        ConcurrencyLimit limit(policy());
        for (int window = 1; window < 10; ++window) {
            limit.addObservations(inTime(), 1, at(window * 500));
        }
        CPPUNIT_ASSERT_EQUAL(2U, limit.limit());
    }

    void aBurstOfObservationsRaisesTheLimitOnce()
    {
        ConcurrencyLimit limit(policy());
        growFor(limit, 1, 0);
        const std::uint32_t once = limit.limit();
        for (int repeat = 0; repeat < 50; ++repeat) {
            limit.addObservations(inTime(), 64, at(510));
        }
        CPPUNIT_ASSERT_EQUAL(once, limit.limit());
    }

    void lateTokensLowerTheLimit()
    {
        ConcurrencyLimit limit(policy());
        growFor(limit, 10, 0);
        UpstreamObservations late = inTime();
        late.gapsLate = 30;
        CPPUNIT_ASSERT(limit.addObservations(late, 64, at(6'000)) == LimitChangeReason::Late);
        CPPUNIT_ASSERT(limit.limit() < 64U);
        CPPUNIT_ASSERT(limit.limit() > 32U);
    }

    void aFailureResetsToTheColdLimit()
    {
        ConcurrencyLimit limit(policy());
        growFor(limit, 10, 0);
        UpstreamObservations failure;
        failure.failures = 1;
        CPPUNIT_ASSERT(limit.addObservations(failure, 64, at(5'001)) == LimitChangeReason::Failure);
        CPPUNIT_ASSERT_EQUAL(2U, limit.limit());
    }

    void aNewBootNumberResetsToTheColdLimit()
    {
        ConcurrencyLimit limit(policy());
        limit.recordBoot(7, at(0));
        growFor(limit, 10, 0);
        CPPUNIT_ASSERT(limit.recordBoot(7, at(6'000)) == LimitChangeReason::None);
        CPPUNIT_ASSERT(limit.recordBoot(8, at(6'001)) == LimitChangeReason::Restarted);
        CPPUNIT_ASSERT_EQUAL(2U, limit.limit());
    }

    void anIdleUpstreamsLimitIsHalved()
    {
        ConcurrencyLimit limit(policy());
        growFor(limit, 10, 0);
        CPPUNIT_ASSERT(limit.decayIfIdle(at(5'000) + ConcurrencyLimit::idleHalvingInterval)
                       == LimitChangeReason::Idle);
        CPPUNIT_ASSERT_EQUAL(32U, limit.limit());
        CPPUNIT_ASSERT(limit.decayIfIdle(at(5'001) + ConcurrencyLimit::idleHalvingInterval)
                       == LimitChangeReason::None);
    }

    void aChangedPolicyClampsTheLimitAtOnce()
    {
        ConcurrencyLimit limit(policy());
        growFor(limit, 10, 0);
        configuration::UpstreamPolicy narrow = policy();
        narrow.maxConcurrency = 8;
        limit.setPolicy(narrow);
        CPPUNIT_ASSERT_EQUAL(8U, limit.limit());
    }
};

REGISTER_SUITE(ConcurrencyLimitTest, "concurrency_limit");

} // namespace azurespindle::decision
