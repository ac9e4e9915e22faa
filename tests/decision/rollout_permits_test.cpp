#include "decision/rollout_permits.h"

#include "support/suite.h"

#include <string>

namespace azurespindle::decision {

class RolloutPermitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutPermitsTest);
    CPPUNIT_TEST(nothingIsPermittedUntilAPredecessorsPermitsExpire);
    CPPUNIT_TEST(theLastServingReplicaGetsNoPermit);
    CPPUNIT_TEST(theLastWarmReplicaGetsNoPermit);
    CPPUNIT_TEST(anEngineThatDoesNotServeNeedsNoOtherReplica);
    CPPUNIT_TEST(aSmallPoolLoadsOneEngineAtATime);
    CPPUNIT_TEST(aLargePoolLoadsItsShareInParallel);
    CPPUNIT_TEST(twoMembersInAPartitionShareTheLoadRate);
    CPPUNIT_TEST(thePermitOfASilentRequesterExpires);
    CPPUNIT_TEST(anOldRevisionGetsNoPermit);
    CPPUNIT_TEST(aRestartedRequesterDoesNotInheritItsPermit);
    CPPUNIT_TEST(reportedEnginesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingIsPermittedUntilAPredecessorsPermitsExpire()
    {
        RolloutPermits permits {Instant()};
        report(permits, "e1", OrderPhase::Settled, seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("permits of a predecessor may still hold"),
                             report(permits, "e2", OrderPhase::Waiting, seconds(15)).reason);
        CPPUNIT_ASSERT(reportAllAndRequest(permits, 2, seconds(17)).granted);
    }

    void theLastServingReplicaGetsNoPermit()
    {
        RolloutPermits permits {Instant()};
        CPPUNIT_ASSERT_EQUAL(std::string("it is the last copy that serves"),
                             reportAllAndRequest(permits, 1, seconds(60)).reason);
        // A replica without a recent status does not count.
        report(permits, "e9", OrderPhase::Settled, seconds(61));
        CPPUNIT_ASSERT_EQUAL(std::string("it is the last copy that serves"),
                             report(permits, "e0", OrderPhase::Waiting, seconds(80)).reason);
    }

    void theLastWarmReplicaGetsNoPermit()
    {
        RolloutPermits permits {Instant()};
        PermitRequest cold = request("e1", OrderPhase::Settled);
        cold.warm = false;
        permits.handle(cold, limits(), Instant(seconds(60)));
        CPPUNIT_ASSERT_EQUAL(std::string("it is the last warm copy"),
                             report(permits, "e2", OrderPhase::Waiting, seconds(60)).reason);
        cold.phase = OrderPhase::Waiting;
        CPPUNIT_ASSERT(permits.handle(cold, limits(), Instant(seconds(61))).granted);
    }

    void anEngineThatDoesNotServeNeedsNoOtherReplica()
    {
        RolloutPermits permits {Instant()};
        PermitRequest idle = request("e1", OrderPhase::Waiting);
        idle.ready = false;
        idle.warm = false;
        permits.handle(idle, limits(), Instant(seconds(16)));
        CPPUNIT_ASSERT(permits.handle(idle, limits(), Instant(seconds(20))).granted);
    }

    void aSmallPoolLoadsOneEngineAtATime()
    {
        RolloutPermits permits {Instant()};
        CPPUNIT_ASSERT(reportAllAndRequest(permits, 6, seconds(60)).granted);
        const std::string unavailable = "other engines of the pool are away or not warm again";
        CPPUNIT_ASSERT_EQUAL(unavailable,
                             report(permits, "e1", OrderPhase::Waiting, seconds(65)).reason);
        // The engine has loaded but is cold: the pool has not regained its capacity yet.
        report(permits, "e0", OrderPhase::Loading, seconds(66));
        PermitRequest loaded = request("e0", OrderPhase::Settled);
        loaded.warm = false;
        permits.handle(loaded, limits(), Instant(seconds(68)));
        CPPUNIT_ASSERT_EQUAL(unavailable,
                             report(permits, "e1", OrderPhase::Waiting, seconds(69)).reason);
        loaded.warm = true;
        permits.handle(loaded, limits(), Instant(seconds(70)));
        CPPUNIT_ASSERT(report(permits, "e1", OrderPhase::Waiting, seconds(70)).granted);
    }

    void aLargePoolLoadsItsShareInParallel()
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

    /// Each member receives the status of half of the engines and may permit only half of the
    /// loads.
    void twoMembersInAPartitionShareTheLoadRate()
    {
        RolloutPermits members[] = {RolloutPermits {Instant()}, RolloutPermits {Instant()}};
        RolloutLimits shared {6.0, 1.0, 10};
        int granted = 0;
        for (int second = 0; second < 600; ++second) {
            for (int engine = 0; engine < 10; ++engine) {
                PermitRequest asked = request("e" + std::to_string(engine), OrderPhase::Waiting);
                const Instant now {seconds(second)};
                granted += members[engine % 2].handle(asked, shared, now).granted ? 1 : 0;
            }
        }
        // 60 loads fit into ten minutes at six a minute. Renewals of a valid permit count as well.
        const std::string context = "granted " + std::to_string(granted);
        CPPUNIT_ASSERT_MESSAGE(context, granted > 20 && granted <= 60);
    }

    void thePermitOfASilentRequesterExpires()
    {
        RolloutPermits permits {Instant()};
        CPPUNIT_ASSERT(reportAllAndRequest(permits, 6, seconds(60)).granted);
        report(permits, "e2", OrderPhase::Settled, seconds(70));
        CPPUNIT_ASSERT(!report(permits, "e1", OrderPhase::Waiting, seconds(75)).granted);
        report(permits, "e2", OrderPhase::Settled, seconds(76));
        CPPUNIT_ASSERT(report(permits, "e1", OrderPhase::Waiting, seconds(77)).granted);
    }

    void anOldRevisionGetsNoPermit()
    {
        RolloutPermits permits {Instant()};
        PermitRequest newerRevision = request("e1", OrderPhase::Settled);
        newerRevision.revision = 8;
        permits.handle(newerRevision, limits(), Instant(seconds(60)));
        CPPUNIT_ASSERT_EQUAL(std::string("the configuration of its steward is old"),
                             report(permits, "e2", OrderPhase::Waiting, seconds(60)).reason);
    }

    void aRestartedRequesterDoesNotInheritItsPermit()
    {
        RolloutPermits permits {Instant()};
        CPPUNIT_ASSERT(reportAllAndRequest(permits, 6, seconds(60)).granted);
        PermitRequest other = request("e0", OrderPhase::Waiting);
        other.requester = "another#2";
        CPPUNIT_ASSERT_EQUAL(std::string("another steward has the permit"),
                             permits.handle(other, limits(), Instant(seconds(61))).reason);
    }

    void reportedEnginesAreBounded()
    {
        RolloutPermits permits {Instant()};
        for (std::size_t index = 0; index < RolloutPermits::maxEngines + 10; ++index) {
            report(permits, "e" + std::to_string(index), OrderPhase::Settled, seconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(RolloutPermits::maxEngines,
                             permits.reportingCount(Instant(seconds(1))));
        CPPUNIT_ASSERT_EQUAL(std::string("too many engines"),
                             report(permits, "one more", OrderPhase::Waiting, seconds(60)).reason);
    }

private:
    static RolloutLimits limits() { return {60.0, 0.1, 1}; }

    static PermitRequest request(const std::string &upstream, OrderPhase phase)
    {
        return {"s#1", "m", upstream, 7, phase, true, true};
    }

    static PermitAnswer report(RolloutPermits &permits, const std::string &upstream,
                               OrderPhase phase, seconds at)
    {
        return permits.handle(request(upstream, phase), limits(), Instant(at));
    }

    /// Reports the status of \a engines engines and then requests a permit for e0.
    static PermitAnswer reportAllAndRequest(RolloutPermits &permits, int engines, seconds at)
    {
        for (const seconds now : {at - seconds(2), at}) {
            for (int index = 0; index < engines; ++index) {
                report(permits, "e" + std::to_string(index), OrderPhase::Settled, now);
            }
        }
        return report(permits, "e0", OrderPhase::Waiting, at);
    }
};

REGISTER_SUITE(RolloutPermitsTest, "rollout_permits");

} // namespace azurespindle::decision
