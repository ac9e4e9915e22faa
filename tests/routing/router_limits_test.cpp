#include "routing/router.h"

#include "routing/router_harness.h"
#include "support/suite.h"

namespace azurespindle::routing {

using tests::RouterHarness;

namespace {

decision::ProcessNames names(const std::vector<std::string> &list)
{
    return std::make_shared<const std::vector<std::string>>(list);
}

/// Prepares a fleet of one process with plain upstreams, the first of which has named a limit.
void prepare(RouterHarness &harness, double limit, const std::vector<std::string> &upstreams)
{
    harness.configure();
    harness.handle(ProcessesChanged {1, {}, names({"entry-0"})});
    for (const std::string &upstream : upstreams) {
        harness.addPlainUpstream(upstream);
    }
    PeerReportArrived report;
    report.peer = "peer";
    report.limits = {{upstreams.front(), 1, limit, milliseconds(0)}};
    harness.handle(report);
    harness.clearEffects();
}

/// Answers the last attempt, with a limit if one is given.
void answer(RouterHarness &harness, std::optional<double> limit, int status = 200)
{
    const AttemptId attempt = harness.lastEffect<StartAttempt>()->attempt;
    ResponseHead head;
    head.status = status;
    head.authentic = true;
    head.requestsPerSecond = limit;
    harness.handle(HeadArrived {attempt, head});
    harness.handle(AttemptEnded {attempt, AttemptEnd::Complete, ""});
}

/// Answers the last attempt with 503 because the upstream wants nothing for a while.
void turnAway(RouterHarness &harness, std::optional<milliseconds> retryAfter)
{
    const AttemptId attempt = harness.lastEffect<StartAttempt>()->attempt;
    ResponseHead head;
    head.status = 503;
    head.notRun = true;
    head.retryAfter = retryAfter;
    harness.handle(HeadArrived {attempt, head});
    harness.handle(AttemptEnded {attempt, AttemptEnd::Complete, ""});
}

/// Answers the last attempt with a complete response that states that the upstream leaves.
void answerLeaving(RouterHarness &harness)
{
    const AttemptId attempt = harness.lastEffect<StartAttempt>()->attempt;
    ResponseHead head;
    head.status = 200;
    head.authentic = true;
    head.leaving = true;
    harness.handle(HeadArrived {attempt, head});
    harness.handle(AttemptEnded {attempt, AttemptEnd::Complete, ""});
}

std::size_t startsAt(const RouterHarness &harness, const std::string &upstream)
{
    std::size_t count = 0;
    for (const StartAttempt &start : harness.allEffects<StartAttempt>()) {
        count += start.plan.upstream.id == upstream ? 1 : 0;
    }
    return count;
}

} // namespace

class RouterLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterLimitsTest);
    CPPUNIT_TEST(whatIsOverALimitGoesToOtherUpstreams);
    CPPUNIT_TEST(whatIsOverAllLimitsIsRejectedAtOnceWithATrueRetryAfter);
    CPPUNIT_TEST(aRequestWaitsForALimitThatLeavesRoomInTime);
    CPPUNIT_TEST(aProcessThatIsNoSenderRejectsAtOnce);
    CPPUNIT_TEST(aLimitIsTakenFromAResponseAndToldToPeers);
    CPPUNIT_TEST(aLimitEndsWithALaterResponseThatNamesNone);
    CPPUNIT_TEST(aLimitOfAnEarlierIncarnationIsIgnored);
    CPPUNIT_TEST(generationsAreNotMovedToAnEngineBeyondItsLimit);
    CPPUNIT_TEST(anUpstreamThatStatesThatItLeavesGetsNothingMore);
    CPPUNIT_TEST(whatStatedThatItLeavesIsBoundToItsLifetime);
    CPPUNIT_TEST(aStatementHoldsWhateverTheStoreSaysBeforeOrAfter);
    CPPUNIT_TEST(statementsOfOthersAreNotTaken);
    CPPUNIT_TEST(leavingIsToldToPeersAndRelayed);
    CPPUNIT_TEST(aGenerationLeavesAnEngineThatStatesThatItLeaves);
    CPPUNIT_TEST(aLeavingEngineTakesNoTakeoverForLong);
    CPPUNIT_TEST(nothingIsSentToAPausedUpstream);
    CPPUNIT_TEST(ifAllUpstreamsPauseTheCallerHearsAtOnceHowLong);
    CPPUNIT_TEST(whatWaitsForTheEndOfAPauseIsSpread);
    CPPUNIT_TEST(aRetryAvoidsPausedUpstreams);
    CPPUNIT_TEST(unreadablePausesAreCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    void whatIsOverALimitGoesToOtherUpstreams()
    {
        RouterHarness harness;
        prepare(harness, 1.0, {"p1", "p2"});
        for (int call = 0; call < 40; ++call) {
            harness.sendRequest("/look/1");
            harness.advanceTime(milliseconds(100));
            answer(harness, harness.lastUpstream() == "p1" ? std::optional(1.0) : std::nullopt);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), harness.countEffects<StartAttempt>());
        const std::size_t limited = startsAt(harness, "p1");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(limited), limited >= 1 && limited <= 5);
    }

    void whatIsOverAllLimitsIsRejectedAtOnceWithATrueRetryAfter()
    {
        RouterHarness harness;
        prepare(harness, 1.0, {"p1"});
        harness.advanceTime(milliseconds(1'500));
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(503, harness.lastReplyStatus());
        const milliseconds retryAfter = harness.lastEffect<SendLocalReply>()->reply.retryAfter;
        CPPUNIT_ASSERT(retryAfter > milliseconds(900) && retryAfter <= milliseconds(1'000));
        harness.advanceTime(retryAfter + Router::tickInterval);
        harness.clearEffects();
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
    }

    void aRequestWaitsForALimitThatLeavesRoomInTime()
    {
        RouterHarness harness;
        prepare(harness, 30.0, {"p1"});
        harness.advanceTime(milliseconds(500));
        harness.sendRequest("/look/1");
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
        harness.advanceTime(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(0, harness.lastReplyStatus());
    }

    void aProcessThatIsNoSenderRejectsAtOnce()
    {
        RouterHarness harness;
        prepare(harness, 4.0, {"p1"});
        harness.handle(ProcessesChanged {8, {}, names({"a", "b", "c"})});
        harness.advanceTime(milliseconds(5'000));
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(503, harness.lastReplyStatus());
        CPPUNIT_ASSERT_MESSAGE("the time in which 8 processes get one request each",
                               harness.lastEffect<SendLocalReply>()->reply.retryAfter
                                   == milliseconds(2'000));
    }

    void aLimitIsTakenFromAResponseAndToldToPeers()
    {
        RouterHarness harness;
        harness.configure();
        harness.handle(ProcessesChanged {1, {}, names({"entry-0"})});
        harness.addPlainUpstream("p1");
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT(harness.router.takeOwnLimits(false, harness.now()).empty());
        answer(harness, 2.5, 503);
        const auto limits = harness.router.takeOwnLimits(false, harness.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), limits.size());
        CPPUNIT_ASSERT((decision::NamedLimit {"p1", 1, 2.5, milliseconds(0)}) == limits[0]);
        CPPUNIT_ASSERT(harness.router.takeOwnLimits(false, harness.now()).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             harness.router.takeZoneLimits(true, harness.now()).size());
    }

    void aLimitEndsWithALaterResponseThatNamesNone()
    {
        RouterHarness harness;
        prepare(harness, 1.0, {"p1"});
        harness.advanceTime(milliseconds(1'500));
        harness.sendRequest("/look/1");
        answer(harness, 1.0);
        harness.advanceTime(milliseconds(1'500));
        harness.sendRequest("/look/1");
        harness.advanceTime(milliseconds(20));
        PeerReportArrived report;
        report.limits = {{"p1", 1, 2.0, milliseconds(0)}};
        harness.handle(report);
        answer(harness, std::nullopt);
        harness.clearEffects();
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_MESSAGE("the response was made before the limit was named again",
                               harness.countEffects<StartAttempt>() == 0);
        harness.advanceTime(milliseconds(1'500));
        harness.sendRequest("/look/1");
        answer(harness, std::nullopt);
        harness.clearEffects();
        for (int call = 0; call < 5; ++call) {
            harness.sendRequest("/look/1");
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), harness.countEffects<StartAttempt>());
    }

    void aLimitOfAnEarlierIncarnationIsIgnored()
    {
        RouterHarness harness;
        prepare(harness, 0.0, {"p1"});
        harness.restart("p1");
        harness.sendRequest("/look/1");
        PeerReportArrived report;
        report.limits = {{"p1", 1, 0.0, milliseconds(0)}};
        harness.handle(report);
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
    }

    void generationsAreNotMovedToAnEngineBeyondItsLimit()
    {
        RouterHarness harness;
        harness.configure();
        harness.handle(ProcessesChanged {1, {}, names({"entry-0"})});
        harness.addEngine("e1");
        const RequestId request = harness.sendRequest("/long/1");
        harness.receiveStreamHead(request);
        harness.receiveEvents(request, 4);
        harness.addEngine("e2");
        harness.addEngine("e3");
        PeerReportArrived report;
        report.limits = {{"e2", 1, 0.0, milliseconds(0)}};
        harness.handle(report);
        harness.setDraining("e1");
        harness.advanceTime(milliseconds(40));
        const auto migration = harness.lastEffect<RequestMigration>();
        CPPUNIT_ASSERT(migration);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:3"), migration->to);
    }

    void anUpstreamThatStatesThatItLeavesGetsNothingMore()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.sendRequest("/look/1");
        answerLeaving(harness);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<ForwardResponse>());
        harness.addPlainUpstream("p2");
        harness.clearEffects();
        for (int call = 0; call < 20; ++call) {
            harness.sendRequest("/look/1");
            answer(harness, std::nullopt);
            harness.advanceTime(seconds(5)); // Also after the notice of a report would be dropped.
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsAt(harness, "p1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), startsAt(harness, "p2"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), harness.router.status().upstreamsLeaving);
    }

    void whatStatedThatItLeavesIsBoundToItsLifetime()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.sendRequest("/look/1");
        const AttemptId late = harness.lastEffect<StartAttempt>()->attempt;
        harness.sendRequest("/look/1");
        answerLeaving(harness);
        harness.restart("p1");
        harness.clearEffects();
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsAt(harness, "p1"));
        ResponseHead head;
        head.status = 200;
        head.authentic = true;
        head.leaving = true;
        harness.handle(HeadArrived {late, head});
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a late word of the lifetime before", std::size_t(2),
                                     startsAt(harness, "p1"));
    }

    void aStatementHoldsWhateverTheStoreSaysBeforeOrAfter()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addPlainUpstream("p2");
        harness.sendRequest("/look/1");
        const std::string leaving = harness.lastUpstream();
        answerLeaving(harness);
        harness.addPlainUpstream(leaving); // A record that was written before.
        harness.clearEffects();
        for (int call = 0; call < 10; ++call) {
            harness.sendRequest("/look/1");
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsAt(harness, leaving));
        harness.setDraining(leaving);
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsAt(harness, leaving));
        harness.remove(leaving);
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsAt(harness, leaving));
    }

    void statementsOfOthersAreNotTaken()
    {
        for (const bool otherRequest : {false, true}) {
            RouterHarness harness;
            harness.configure();
            harness.addPlainUpstream("p1");
            harness.sendRequest("/look/1");
            const AttemptId attempt = harness.lastEffect<StartAttempt>()->attempt;
            ResponseHead head;
            head.status = otherRequest ? 503 : 421;
            head.wrongInstance = !otherRequest;
            head.requestIdMismatch = otherRequest;
            head.leaving = true;
            head.retryAfter = milliseconds(9'000);
            harness.handle(HeadArrived {attempt, head});
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), harness.router.status().upstreamsLeaving);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), harness.router.status().pausesNoted);
        }
    }

    void leavingIsToldToPeersAndRelayed()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.sendRequest("/look/1");
        answerLeaving(harness);
        const auto told = harness.router.takeObservations(harness.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), told.size());
        CPPUNIT_ASSERT(told[0].kind == UpstreamObservation::Kind::Leaving);

        RouterHarness relay("north", "entry-1");
        RouterHarness remote("south", "entry-2");
        for (RouterHarness *each : {&relay, &remote}) {
            each->configure();
            each->addPlainUpstream("p1");
            each->addPlainUpstream("p2");
        }
        PeerReportArrived report;
        report.peer = "entry-0";
        report.observations = told;
        relay.handle(report);
        ZoneReportArrived zone;
        zone.zone = "north";
        zone.observations
            = relay.router.observationsToRelay(ObservationSource::Member, relay.now());
        remote.handle(zone);
        CPPUNIT_ASSERT_MESSAGE(
            "it is not sent back to other zones",
            remote.router.observationsToRelay(ObservationSource::Member, remote.now()).empty());
        for (RouterHarness *each : {&relay, &remote}) {
            for (int call = 0; call < 10; ++call) {
                each->sendRequest("/look/1");
                each->advanceTime(seconds(10));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsAt(*each, "p1"));
        }
        CPPUNIT_ASSERT(
            relay.router.observationsToRelay(ObservationSource::Relay, relay.now()).empty());
    }

    void aGenerationLeavesAnEngineThatStatesThatItLeaves()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.addEngine("e2");
        const RequestId running = harness.sendRequest("/long/1");
        const std::string source = harness.lastUpstream();
        harness.receiveStreamHead(running);
        harness.receiveEvents(running, 3);
        FleetReportArrived report;
        report.observations = {{source, 1, UpstreamObservation::Kind::Leaving, milliseconds(0)}};
        harness.handle(report);
        harness.advanceTime(seconds(2));
        CPPUNIT_ASSERT(harness.countEffects<RequestMigration>() > 0
                       || harness.countEffects<StartAttempt>() > 1);
        CPPUNIT_ASSERT_EQUAL(0, harness.lastReplyStatus());
    }

    void aLeavingEngineTakesNoTakeoverForLong()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.addEngine("e2");
        const RequestId running = harness.sendRequest("/long/1");
        const std::string source = harness.lastUpstream();
        harness.receiveStreamHead(running);
        harness.receiveEvents(running, 3);
        FleetReportArrived report;
        for (const std::string each : {"e1", "e2"}) {
            report.observations.push_back(
                {each, 1, UpstreamObservation::Kind::Leaving, milliseconds(0)});
        }
        harness.handle(report);
        harness.advanceTime(seconds(3));
        harness.clearEffects();
        harness.endAttempt(running, AttemptEnd::Lost);
        harness.advanceTime(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<StartAttempt>());
    }

    void nothingIsSentToAPausedUpstream()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.sendRequest("/look/1");
        turnAway(harness, milliseconds(3'000));
        harness.addPlainUpstream("p2");
        harness.clearEffects();
        for (int call = 0; call < 25; ++call) {
            harness.sendRequest("/look/1");
            answer(harness, std::nullopt);
            harness.advanceTime(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsAt(harness, "p1"));
        harness.advanceTime(milliseconds(600));
        for (int call = 0; call < 25; ++call) {
            harness.sendRequest("/look/1");
            harness.advanceTime(milliseconds(100));
        }
        CPPUNIT_ASSERT_MESSAGE("the pause is over", startsAt(harness, "p1") > 5);
        harness.sendRequest("/look/1");
        turnAway(harness, milliseconds(60'000));
        const std::string paused = harness.lastUpstream();
        harness.restart(paused);
        harness.clearEffects();
        for (int call = 0; call < 10; ++call) {
            harness.sendRequest("/look/1");
            harness.advanceTime(milliseconds(100));
        }
        CPPUNIT_ASSERT_MESSAGE("a pause ends with the lifetime", startsAt(harness, paused) > 0);
    }

    void ifAllUpstreamsPauseTheCallerHearsAtOnceHowLong()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.sendRequest("/look/1");
        turnAway(harness, milliseconds(8'000));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the request that was turned away", 503,
                                     harness.lastReplyStatus());
        harness.clearEffects();
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(503, harness.lastReplyStatus());
        const milliseconds told = harness.lastEffect<SendLocalReply>()->reply.retryAfter;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(told.count()),
                               told >= milliseconds(8'000) && told <= milliseconds(8'400));
        harness.advanceTime(told);
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("what was told is true", std::size_t(1),
                                     harness.countEffects<StartAttempt>());
    }

    void whatWaitsForTheEndOfAPauseIsSpread()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.sendRequest("/look/1");
        turnAway(harness, milliseconds(60));
        harness.clearEffects();
        for (int call = 0; call < 5; ++call) {
            harness.sendRequest("/look/1");
        }
        std::size_t most = 0;
        for (int step = 0; step < 30; ++step) {
            const std::size_t before = harness.countEffects<StartAttempt>();
            harness.advanceTime(Router::tickInterval);
            most = std::max(most, harness.countEffects<StartAttempt>() - before);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), most);
    }

    void aRetryAvoidsPausedUpstreams()
    {
        RouterHarness harness;
        harness.configure();
        for (const std::string id : {"p1", "p2", "p3"}) {
            harness.addPlainUpstream(id);
        }
        harness.sendRequest("/look/1");
        const std::string paused = harness.lastUpstream();
        turnAway(harness, milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
        harness.clearEffects();
        for (int call = 0; call < 10; ++call) {
            const RequestId id = harness.sendRequest("/look/1");
            harness.endAttempt(id, AttemptEnd::Lost);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsAt(harness, paused));
    }

    void unreadablePausesAreCounted()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.sendRequest("/look/1");
        const AttemptId attempt = harness.lastEffect<StartAttempt>()->attempt;
        ResponseHead head;
        head.status = 503;
        head.notRun = true;
        head.invalidRetryAfters = 2;
        harness.handle(HeadArrived {attempt, head});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), harness.router.status().pausesUnreadable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), harness.router.status().pausesNoted);
    }
};

REGISTER_SUITE(RouterLimitsTest, "router_limits");

} // namespace azurespindle::routing
