#include "decision/rollout_permits.h"

#include "support/suite.h"

#include <string>

namespace azurespindle::decision {

class RolloutPermitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutPermitsTest);
    CPPUNIT_TEST(nothingIsPermittedWhileAPredecessorsPermitsMayHold);
    CPPUNIT_TEST(theLastCopyThatServesStays);
    CPPUNIT_TEST(theLastWarmCopyStays);
    CPPUNIT_TEST(anEngineThatDoesNotServeNeedsNoOtherCopy);
    CPPUNIT_TEST(oneEngineIsAwayAtATimeInASmallPool);
    CPPUNIT_TEST(aLargePoolLoadsItsShareAtOnce);
    CPPUNIT_TEST(twoMembersInAPartitionKeepTheRateTogether);
    CPPUNIT_TEST(aSilentStewardsPermitRunsOut);
    CPPUNIT_TEST(anOldRevisionGetsNoPermit);
    CPPUNIT_TEST(aRestartedStewardDoesNotHoldItsFormerPermit);
    CPPUNIT_TEST(enginesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingIsPermittedWhileAPredecessorsPermitsMayHold()
    {
        RolloutPermits permits {Instant()};
        tell(permits, "e1", OrderPhase::Settled, seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("permits of a predecessor may still hold"),
                             tell(permits, "e2", OrderPhase::Waiting, seconds(15)).reason);
        CPPUNIT_ASSERT(open(permits, 2, seconds(17)).granted);
    }

    void theLastCopyThatServesStays()
    {
        RolloutPermits permits {Instant()};
        CPPUNIT_ASSERT_EQUAL(std::string("it is the last copy that serves"),
                             open(permits, 1, seconds(60)).reason);
        // A copy that was not heard of lately does not count.
        tell(permits, "e9", OrderPhase::Settled, seconds(61));
        CPPUNIT_ASSERT_EQUAL(std::string("it is the last copy that serves"),
                             tell(permits, "e0", OrderPhase::Waiting, seconds(80)).reason);
    }

    void theLastWarmCopyStays()
    {
        RolloutPermits permits {Instant()};
        PermitRequest cold = request("e1", OrderPhase::Settled);
        cold.warm = false;
        permits.handle(cold, limits(), Instant(seconds(60)));
        CPPUNIT_ASSERT_EQUAL(std::string("it is the last warm copy"),
                             tell(permits, "e2", OrderPhase::Waiting, seconds(60)).reason);
        cold.phase = OrderPhase::Waiting;
        CPPUNIT_ASSERT(permits.handle(cold, limits(), Instant(seconds(61))).granted);
    }

    void anEngineThatDoesNotServeNeedsNoOtherCopy()
    {
        RolloutPermits permits {Instant()};
        PermitRequest idle = request("e1", OrderPhase::Waiting);
        idle.ready = false;
        idle.warm = false;
        permits.handle(idle, limits(), Instant(seconds(16)));
        CPPUNIT_ASSERT(permits.handle(idle, limits(), Instant(seconds(20))).granted);
    }

    void oneEngineIsAwayAtATimeInASmallPool()
    {
        RolloutPermits permits {Instant()};
        CPPUNIT_ASSERT(open(permits, 6, seconds(60)).granted);
        const std::string away = "other engines of the pool are away or not warm again";
        CPPUNIT_ASSERT_EQUAL(away, tell(permits, "e1", OrderPhase::Waiting, seconds(65)).reason);
        // Loaded, but cold: the pool has not its capacity back yet.
        tell(permits, "e0", OrderPhase::Loading, seconds(66));
        PermitRequest loaded = request("e0", OrderPhase::Settled);
        loaded.warm = false;
        permits.handle(loaded, limits(), Instant(seconds(68)));
        CPPUNIT_ASSERT_EQUAL(away, tell(permits, "e1", OrderPhase::Waiting, seconds(69)).reason);
        loaded.warm = true;
        permits.handle(loaded, limits(), Instant(seconds(70)));
        CPPUNIT_ASSERT(tell(permits, "e1", OrderPhase::Waiting, seconds(70)).granted);
    }

    void aLargePoolLoadsItsShareAtOnce()
    {
        RolloutPermits permits {Instant()};
        RolloutLimits wide = limits();
        wide.loadsPerMinute = 6'000.0;
        wide.fleetEngines = 30;
        for (int index = 0; index < 30; ++index) {
            permits.handle(request("e" + std::to_string(index), OrderPhase::Settled), wide,
                           Instant(seconds(60)));
        }
        int granted = 0;
        for (int index = 0; index < 30; ++index) {
            const Instant now(seconds(60) + milliseconds(20 * index));
            const auto asked = request("e" + std::to_string(index), OrderPhase::Waiting);
            granted += permits.handle(asked, wide, now).granted ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(3, granted);
    }

    /// Each hears half of the engines, and each may permit only half of the loads.
    void twoMembersInAPartitionKeepTheRateTogether()
    {
        RolloutPermits sides[] = {RolloutPermits {Instant()}, RolloutPermits {Instant()}};
        RolloutLimits shared {6.0, 1.0, 10};
        int granted = 0;
        for (int second = 0; second < 600; ++second) {
            for (int engine = 0; engine < 10; ++engine) {
                PermitRequest asked = request("e" + std::to_string(engine), OrderPhase::Waiting);
                const Instant now {seconds(second)};
                granted += sides[engine % 2].handle(asked, shared, now).granted ? 1 : 0;
            }
        }
        // Ten minutes at six a minute; each renewal of a permit that holds counts as granted too.
        const std::string context = "granted " + std::to_string(granted);
        CPPUNIT_ASSERT_MESSAGE(context, granted > 20 && granted <= 60);
    }

    void aSilentStewardsPermitRunsOut()
    {
        RolloutPermits permits {Instant()};
        CPPUNIT_ASSERT(open(permits, 6, seconds(60)).granted);
        tell(permits, "e2", OrderPhase::Settled, seconds(70));
        CPPUNIT_ASSERT(!tell(permits, "e1", OrderPhase::Waiting, seconds(75)).granted);
        tell(permits, "e2", OrderPhase::Settled, seconds(76));
        CPPUNIT_ASSERT(tell(permits, "e1", OrderPhase::Waiting, seconds(77)).granted);
    }

    void anOldRevisionGetsNoPermit()
    {
        RolloutPermits permits {Instant()};
        PermitRequest newer = request("e1", OrderPhase::Settled);
        newer.revision = 8;
        permits.handle(newer, limits(), Instant(seconds(60)));
        CPPUNIT_ASSERT_EQUAL(std::string("the configuration of its steward is old"),
                             tell(permits, "e2", OrderPhase::Waiting, seconds(60)).reason);
    }

    void aRestartedStewardDoesNotHoldItsFormerPermit()
    {
        RolloutPermits permits {Instant()};
        CPPUNIT_ASSERT(open(permits, 6, seconds(60)).granted);
        PermitRequest other = request("e0", OrderPhase::Waiting);
        other.requester = "another#2";
        CPPUNIT_ASSERT_EQUAL(std::string("another steward has the permit"),
                             permits.handle(other, limits(), Instant(seconds(61))).reason);
    }

    void enginesAreBounded()
    {
        RolloutPermits permits {Instant()};
        for (std::size_t index = 0; index < RolloutPermits::maxEngines + 10; ++index) {
            tell(permits, "e" + std::to_string(index), OrderPhase::Settled, seconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(RolloutPermits::maxEngines,
                             permits.reportingCount(Instant(seconds(1))));
        CPPUNIT_ASSERT_EQUAL(std::string("too many engines"),
                             tell(permits, "one more", OrderPhase::Waiting, seconds(60)).reason);
    }

private:
    static RolloutLimits limits() { return {60.0, 0.1, 1}; }

    static PermitRequest request(const std::string &upstream, OrderPhase phase)
    {
        return {"s#1", "m", upstream, 7, phase, true, true};
    }

    static PermitAnswer tell(RolloutPermits &permits, const std::string &upstream, OrderPhase phase,
                             seconds at)
    {
        return permits.handle(request(upstream, phase), limits(), Instant(at));
    }

    /// Tells of so many engines and asks for e0.
    static PermitAnswer open(RolloutPermits &permits, int engines, seconds at)
    {
        for (const seconds now : {at - seconds(2), at}) {
            for (int index = 0; index < engines; ++index) {
                tell(permits, "e" + std::to_string(index), OrderPhase::Settled, now);
            }
        }
        return tell(permits, "e0", OrderPhase::Waiting, at);
    }
};

REGISTER_SUITE(RolloutPermitsTest, "rollout_permits");

} // namespace azurespindle::decision
