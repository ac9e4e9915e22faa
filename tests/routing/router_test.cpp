#include "routing/router.h"

#include "routing/router_harness.h"
#include "support/suite.h"

#include <random>
#include <set>

namespace azurespindle::routing {

using tests::RouterHarness;

class RouterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(requestsWithoutAConfigurationAreRejectedAsRetryable);
    CPPUNIT_TEST(requestsWithoutARouteOrAKnownKeyAreRejected);
    CPPUNIT_TEST(requestsGoToPermittedRegionsOnly);
    CPPUNIT_TEST(aFailedIdempotentRequestIsRetriedOnAnotherUpstream);
    CPPUNIT_TEST(aNonIdempotentRequestThatMayHaveRunIsNotRetried);
    CPPUNIT_TEST(aRequestThatDidNotRunIsSentToAnotherUpstream);
    CPPUNIT_TEST(aRequestThatMayHaveRunIsNeverAnsweredWith503);
    CPPUNIT_TEST(theRemainingTimeIsForwarded);
    CPPUNIT_TEST(aRequestIsCancelledAtItsDeadline);
    CPPUNIT_TEST(aDisconnectedCallerReleasesTheUpstream);
    CPPUNIT_TEST(anIdempotentRequestWithoutResponseIsRetried);
    CPPUNIT_TEST(drainingAndEvacuatedUpstreamsReceiveNoRequests);
    CPPUNIT_TEST(anUpstreamThatRefusesConnectionsIsAvoidedTemporarily);
    CPPUNIT_TEST(requestsToAColdUpstreamAreRateLimited);
    CPPUNIT_TEST(silentZonesDoNotAttractAllRequests);
    CPPUNIT_TEST(loadReportedByAnotherZoneIsTakenIntoAccount);
    CPPUNIT_TEST(aZoneWithTwoUnreachableUpstreamsIsAvoided);
    CPPUNIT_TEST(aRequestIsQueuedForCapacityAndRejectedBeforeItsDeadline);
    CPPUNIT_TEST(requestsForAServiceWithoutUpstreamsAreRejectedAtOnce);
    CPPUNIT_TEST(requestsOfHigherPriorityArePlacedFirst);
    CPPUNIT_TEST(aRequestThatFitsOvertakesOneThatDoesNot);
    CPPUNIT_TEST(aStoppingProcessTakesNothingThatItCannotFinish);
    CPPUNIT_TEST(aStoppingProcessRejectsQueuedRequestsThatItCannotFinish);
    CPPUNIT_TEST(aRetryDuringAStopEndsBeforeTheProcess);
    CPPUNIT_TEST(aStopDoesNotGiveUpRequestsThatItTookBefore);
    CPPUNIT_TEST(aStopDoesNotCutAStreamThatIsRetried);
    CPPUNIT_TEST(aStopTellsUpstreamsNoMoreTimeThanItHas);
    CPPUNIT_TEST(aStopDoesNotSay503ToARequestThatMayHaveRun);
    CPPUNIT_TEST(silenceOfTheOnlyUpstreamEndsNoRequest);
    CPPUNIT_TEST(silenceBesideAFullUpstreamEndsNoRequest);
    CPPUNIT_TEST(aRequestWithoutDataAtTheEndOfAStopIsAnswered);
    CPPUNIT_TEST(aStreamThatFailsBeforeItsFirstEventIsAnswered);
    CPPUNIT_TEST(aRequestThatCrashesUpstreamsIsRejected);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(aResponseToAnotherRequestIsNotForwarded);
    CPPUNIT_TEST(aRefusalOfAnotherRequestPromisesNothing);
    CPPUNIT_TEST(aResumedStreamIsNotCompletedByAnotherAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsWithoutAConfigurationAreRejectedAsRetryable()
    {
        RouterHarness harness;
        harness.sendRequest("/nowhere/");
        CPPUNIT_ASSERT_EQUAL(503, harness.lastReplyStatus());
        CPPUNIT_ASSERT(harness.lastEffect<SendLocalReply>()->reply.retryAfter.count() > 0);
    }

    void requestsWithoutARouteOrAKnownKeyAreRejected()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.sendRequest("/nowhere/");
        CPPUNIT_ASSERT_EQUAL(404, harness.lastReplyStatus());
        harness.sendRequest("/order/1", "unknown");
        CPPUNIT_ASSERT_EQUAL(401, harness.lastReplyStatus());
        harness.sendRequest("/open/1", "unknown");
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), harness.lastUpstream());
        CPPUNIT_ASSERT_EQUAL(std::string(), harness.lastEffect<StartAttempt>()->plan.workspace);
        harness.sendRequest("/order/1");
        CPPUNIT_ASSERT_EQUAL(std::string("gates"),
                             harness.lastEffect<StartAttempt>()->plan.workspace);
    }

    void requestsGoToPermittedRegionsOnly()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1", "north");
        harness.addPlainUpstream("p2", "far");
        for (int call = 0; call < 6; ++call) {
            harness.sendRequest("/home/1");
            CPPUNIT_ASSERT_EQUAL(std::string("p1"), harness.lastUpstream());
            harness.sendRequest("/order/1", "k3");
            CPPUNIT_ASSERT_EQUAL(std::string("p2"), harness.lastUpstream());
        }
        const std::size_t started = harness.countEffects<StartAttempt>();
        harness.sendRequest("/home/1", "k3");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no region is permitted by both the route and the workspace",
                                     started, harness.countEffects<StartAttempt>());
    }

    void aFailedIdempotentRequestIsRetriedOnAnotherUpstream()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addPlainUpstream("p2");
        harness.addPlainUpstream("p3");
        const RequestId look = harness.sendRequest("/look/1");
        const std::string first = harness.lastUpstream();
        harness.endAttempt(look, AttemptEnd::Complete, 500);
        CPPUNIT_ASSERT(first != harness.lastUpstream());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<ForwardResponse>());
        harness.endAttempt(look, AttemptEnd::Complete, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the upstream's error response is forwarded", std::size_t(1),
                                     harness.countEffects<ForwardResponse>());
    }

    void aNonIdempotentRequestThatMayHaveRunIsNotRetried()
    {
        for (const AttemptEnd end : {AttemptEnd::Lost, AttemptEnd::TimedOut}) {
            RouterHarness harness;
            harness.configure();
            harness.addPlainUpstream("p1");
            harness.addPlainUpstream("p2");
            harness.endAttempt(harness.sendRequest("/order/1"), end);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
            CPPUNIT_ASSERT_EQUAL(502, harness.lastReplyStatus());
        }
    }

    void aRequestThatDidNotRunIsSentToAnotherUpstream()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addPlainUpstream("p2");
        const RequestId order = harness.sendRequest("/order/1");
        const std::string first = harness.lastUpstream();
        harness.endAttempt(order, AttemptEnd::Complete, 503, true);
        const std::string second = harness.lastUpstream();
        CPPUNIT_ASSERT(first != second);
        harness.endAttempt(order, AttemptEnd::ConnectionRefused);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("both upstreams were tried", std::size_t(2),
                                     harness.countEffects<StartAttempt>());
        harness.advanceTime(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(503, harness.lastReplyStatus());
    }

    /// Guards against false 503 replies, which tell callers that the request did not run. Attempts
    /// end in random ways.
    void aRequestThatMayHaveRunIsNeverAnsweredWith503()
    {
        std::mt19937 random(11);
        for (int round = 0; round < 400; ++round) {
            RouterHarness harness;
            harness.configure();
            for (const char *id : {"p1", "p2", "p3"}) {
                harness.addPlainUpstream(id);
            }
            const char *path = round % 2 == 0 ? "/order/1" : "/look/1";
            const RequestId request = harness.sendRequest(path);
            bool mayHaveRun = false;
            std::size_t ends = 0;
            while (harness.countEffects<RequestClosed>() == 0 && ends < 20) {
                ends += 1;
                const bool running = harness.router.status().queuedRequests == 0;
                switch (running ? random() % 5 : 4) {
                case 0:
                    harness.endAttempt(request, AttemptEnd::NotSent);
                    break;
                case 1:
                    harness.endAttempt(request, AttemptEnd::Complete, 503, true);
                    break;
                case 2:
                    mayHaveRun = true;
                    harness.endAttempt(request, AttemptEnd::Lost);
                    break;
                case 3:
                    mayHaveRun = true;
                    harness.endAttempt(request, AttemptEnd::Complete, 500);
                    break;
                default:
                    harness.advanceTime(milliseconds(120));
                    mayHaveRun = mayHaveRun || harness.countEffects<CancelAttempt>() > 0;
                    break;
                }
            }
            const bool saysNotRun = harness.lastReplyStatus() == 503;
            CPPUNIT_ASSERT_MESSAGE("round " + std::to_string(round), !saysNotRun || !mayHaveRun);
        }
    }

    void theRemainingTimeIsForwarded()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addPlainUpstream("p2");
        const RequestId look = harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(1'000),
            std::int64_t(harness.lastEffect<StartAttempt>()->plan.timeLeft.count()));
        harness.advanceTime(milliseconds(300));
        harness.endAttempt(look, AttemptEnd::Complete, 500);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(700),
            std::int64_t(harness.lastEffect<StartAttempt>()->plan.timeLeft.count()));
    }

    void aRequestIsCancelledAtItsDeadline()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.sendRequest("/order/1");
        harness.advanceTime(milliseconds(990));
        CPPUNIT_ASSERT_EQUAL(0, harness.lastReplyStatus());
        harness.advanceTime(milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(504, harness.lastReplyStatus());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<CancelAttempt>());
    }

    void aDisconnectedCallerReleasesTheUpstream()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.handle(CallerLeft {harness.sendRequest("/order/1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<CancelAttempt>());
        CPPUNIT_ASSERT(harness.router.claims().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.router.status().openRequests);
    }

    void anIdempotentRequestWithoutResponseIsRetried()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addPlainUpstream("p2");
        harness.sendRequest("/look/1");
        const std::string first = harness.lastUpstream();
        harness.advanceTime(milliseconds(500));
        CPPUNIT_ASSERT(first != harness.lastUpstream());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<CancelAttempt>());
        harness.sendRequest("/order/1");
        const std::size_t starts = harness.countEffects<StartAttempt>();
        harness.advanceTime(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a request that is not idempotent is not retried", starts,
                                     harness.countEffects<StartAttempt>());
    }

    void drainingAndEvacuatedUpstreamsReceiveNoRequests()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addPlainUpstream("p2", "south");
        harness.setDraining("p1");
        for (int call = 0; call < 5; ++call) {
            harness.sendRequest("/order/1");
            CPPUNIT_ASSERT_EQUAL(std::string("p2"), harness.lastUpstream());
        }
        harness.addPlainUpstream("p3");
        harness.evacuateZone("south");
        for (int call = 0; call < 5; ++call) {
            harness.sendRequest("/order/1");
            CPPUNIT_ASSERT_EQUAL(std::string("p3"), harness.lastUpstream());
        }
    }

    void anUpstreamThatRefusesConnectionsIsAvoidedTemporarily()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addPlainUpstream("p2");
        const RequestId order = harness.sendRequest("/order/1");
        const std::string refusing = harness.lastUpstream();
        harness.endAttempt(order, AttemptEnd::ConnectionRefused);
        for (int call = 0; call < 10; ++call) {
            harness.sendRequest("/order/1");
            CPPUNIT_ASSERT(refusing != harness.lastUpstream());
        }
        const auto observations = harness.router.takeObservations(harness.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), observations.size());
        CPPUNIT_ASSERT_EQUAL(refusing, observations[0].upstream);
        RouterHarness peer;
        peer.configure();
        peer.addPlainUpstream("p1");
        peer.addPlainUpstream("p2");
        peer.handle(PeerReportArrived {"peer", false, {}, {}, observations});
        for (int call = 0; call < 10; ++call) {
            peer.sendRequest("/order/1");
            CPPUNIT_ASSERT(refusing != peer.lastUpstream());
        }
    }

    void requestsToAColdUpstreamAreRateLimited()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.setCold("e1", milliseconds(3'000));
        harness.handle(ProcessesChanged {9});
        std::size_t sent = 0;
        for (int call = 0; call < 40; ++call) {
            harness.clearEffects();
            harness.sendRequest("/short/1");
            harness.advanceTime(milliseconds(50));
            sent += harness.countEffects<StartAttempt>();
        }
        // Each of 9 processes may send a ninth of 27 requests per second, for two seconds.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent <= 6);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent >= 4);
    }

    /// Guards against overload in a fleet so large that processes report their claims within their
    /// zone only: engines of other zones appear idle, and every process would send requests there.
    void silentZonesDoNotAttractAllRequests()
    {
        RouterHarness harness;
        harness.configure();
        harness.handle(ProcessesChanged {90, {"south"}});
        for (const char *id : {"e1", "e2", "e3"}) {
            harness.addEngine(id);
        }
        harness.addEngine("e4", "south");
        std::size_t south = 0;
        for (int call = 0; call < 15; ++call) {
            harness.sendRequest("/long/1");
            south += harness.lastUpstream() == "e4" ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(south), south <= 4);
    }

    /// Guards against requests to engines that processes of other zones already use: the engine in
    /// one other zone is busy, and the one in another is idle.
    void loadReportedByAnotherZoneIsTakenIntoAccount()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1", "east");
        harness.addEngine("e2", "south");
        harness.handle(ZoneReportArrived {"south", true, 20, {{"e1", {6, 20'000, 9'000}}}, {}});
        for (int call = 0; call < 3; ++call) {
            harness.sendRequest("/long/1");
            CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.lastUpstream());
        }
    }

    /// Guards against requests to a zone that was just partitioned off and has not been reported as
    /// silent yet.
    void aZoneWithTwoUnreachableUpstreamsIsAvoided()
    {
        RouterHarness harness;
        harness.configure();
        for (const char *id : {"e1", "e2", "e3", "e4"}) {
            harness.addEngine(id, "south");
        }
        harness.addEngine("e5", "east");
        harness.handle(ZoneReportArrived {"east", true, 20, {{"e5", {3, 8'000, 0}}}, {}});
        const RequestId request = harness.sendRequest("/long/1");
        CPPUNIT_ASSERT(harness.lastUpstream() != "e5");
        harness.endAttempt(request, AttemptEnd::NotSent);
        CPPUNIT_ASSERT(harness.lastUpstream() != "e5");
        harness.endAttempt(request, AttemptEnd::NotSent);
        CPPUNIT_ASSERT_EQUAL(std::string("e5"), harness.lastUpstream());
        harness.handle(CallerLeft {request});
        harness.clearEffects();
        harness.sendRequest("/long/1");
        CPPUNIT_ASSERT_EQUAL(std::string("e5"), harness.lastUpstream());
    }

    void aRequestIsQueuedForCapacityAndRejectedBeforeItsDeadline()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        RequestId first = 0;
        while (harness.router.status().queuedRequests == 0) {
            first = first == 0 ? harness.sendRequest("/long/1")
                               : (harness.sendRequest("/long/1"), first);
        }
        const std::size_t started = harness.countEffects<StartAttempt>();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(started), started >= 6 && started <= 10);
        harness.handle(CallerLeft {first});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.router.status().queuedRequests);
        CPPUNIT_ASSERT_EQUAL(started + 1, harness.countEffects<StartAttempt>());
        harness.sendRequest("/long/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.router.status().queuedRequests);
        harness.advanceTime(milliseconds(1'800));
        CPPUNIT_ASSERT_EQUAL(503, harness.lastReplyStatus());
        CPPUNIT_ASSERT(harness.lastEffect<SendLocalReply>()->reply.retryAfter.count() > 0);
    }

    void requestsForAServiceWithoutUpstreamsAreRejectedAtOnce()
    {
        RouterHarness harness;
        harness.configure();
        harness.sendRequest("/order/1");
        harness.advanceTime(Router::tickInterval);
        CPPUNIT_ASSERT_EQUAL(503, harness.lastReplyStatus());
    }

    void requestsOfHigherPriorityArePlacedFirst()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        RequestId first = 0;
        while (harness.router.status().queuedRequests == 0) {
            const RequestId id = harness.sendRequest("/long/1");
            first = first == 0 ? id : first;
        }
        const RequestId urgent = harness.sendRequest("/long/1", "k2");
        harness.handle(CallerLeft {first});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(urgent),
                             std::uint64_t(harness.lastEffect<StartAttempt>()->attempt.request));
    }

    /// The queue of a service stopped at its first request that did not fit, while its engine had
    /// room for the next one.
    void aRequestThatFitsOvertakesOneThatDoesNot()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        while (harness.router.status().queuedRequests == 0) {
            harness.sendRequest("/long/1");
        }
        const std::size_t started = harness.countEffects<StartAttempt>();
        harness.sendRequest("/long/1", "k1", 50);
        CPPUNIT_ASSERT_EQUAL(started + 1, harness.countEffects<StartAttempt>());
        harness.sendRequest("/long/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.router.status().queuedRequests);
    }

    void aStoppingProcessTakesNothingThatItCannotFinish()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addEngine("e1");
        harness.handle(StopRequested {harness.now() + milliseconds(7'500)});
        harness.sendRequest("/order/1");
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), harness.lastUpstream());
        harness.sendRequest("/long/1");
        CPPUNIT_ASSERT_EQUAL(503, harness.lastReplyStatus());
        harness.clearEffects();
        harness.sendRequest("/short/1");
        CPPUNIT_ASSERT_EQUAL(503, harness.lastReplyStatus());
        harness.advanceTime(milliseconds(6'500));
        harness.clearEffects();
        harness.sendRequest("/order/2");
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), harness.lastUpstream());
        harness.advanceTime(milliseconds(20));
        harness.clearEffects();
        harness.sendRequest("/order/3");
        CPPUNIT_ASSERT_EQUAL(503, harness.lastReplyStatus());
        CPPUNIT_ASSERT_EQUAL(std::string("none"), harness.lastUpstream());
    }

    void aStoppingProcessRejectsQueuedRequestsThatItCannotFinish()
    {
        RouterHarness harness;
        harness.configure();
        harness.sendRequest("/long/1");
        CPPUNIT_ASSERT_EQUAL(0, harness.lastReplyStatus());
        harness.handle(StopRequested {harness.now() + milliseconds(7'500)});
        CPPUNIT_ASSERT_EQUAL(503, harness.lastReplyStatus());
    }

    void aRetryDuringAStopEndsBeforeTheProcess()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addPlainUpstream("p2");
        const RequestId request = harness.sendRequest("/look/1");
        harness.handle(StopRequested {harness.now() + milliseconds(7'500)});
        harness.endAttempt(request, AttemptEnd::Complete, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
        harness.clearEffects();
        harness.advanceTime(milliseconds(500));
        const auto retried = harness.sendRequest("/look/2");
        harness.handle(StopRequested {harness.now() + milliseconds(30)});
        harness.endAttempt(retried, AttemptEnd::Complete, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<ForwardResponse>());
    }

    void aStopDoesNotGiveUpRequestsThatItTookBefore()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.addEngine("e2");
        harness.sendRequest("/short/1");
        harness.handle(StopRequested {harness.now() + milliseconds(7'500)});
        harness.advanceTime(milliseconds(2'500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<SendLocalReply>());
    }

    void aStopDoesNotCutAStreamThatIsRetried()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const RequestId request = harness.sendRequest("/short/1");
        harness.receiveStreamHead(request);
        harness.receiveEvents(request, 3);
        harness.handle(StopRequested {harness.now() + milliseconds(7'500)});
        harness.endAttempt(request, AttemptEnd::Lost);
        harness.advanceTime(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<AbortStream>());
        harness.addEngine("e2");
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.lastUpstream());
    }

    void aStopTellsUpstreamsNoMoreTimeThanItHas()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addPlainUpstream("p2");
        harness.addPlainUpstream("p3");
        const RequestId request = harness.sendRequest("/look/1");
        harness.handle(StopRequested {harness.now() + milliseconds(300)});
        harness.endAttempt(request, AttemptEnd::Lost);
        const auto retry = harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), std::uint32_t(retry->attempt.number));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(300), std::int64_t(retry->plan.timeLeft.count()));
        harness.advanceTime(milliseconds(280));
        harness.endAttempt(request, AttemptEnd::ConnectionRefused);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(502, harness.lastReplyStatus());
    }

    void aStopDoesNotSay503ToARequestThatMayHaveRun()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const RequestId request = harness.sendRequest("/short/1");
        harness.endAttempt(request, AttemptEnd::Lost);
        harness.handle(StopRequested {harness.now()});
        harness.handle(StopTimedOut {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<SendLocalReply>());
        CPPUNIT_ASSERT_EQUAL(504, harness.lastReplyStatus());
    }

    void silenceOfTheOnlyUpstreamEndsNoRequest()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const RequestId started = harness.sendRequest("/short/1");
        harness.sendRequest("/short/2");
        harness.receiveStreamHead(started);
        harness.receiveEvents(started, 3);
        harness.advanceTime(milliseconds(6'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<CancelAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<AbortStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<SendLocalReply>());
    }

    void silenceBesideAFullUpstreamEndsNoRequest()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const RequestId started = harness.sendRequest("/short/1");
        harness.receiveStreamHead(started);
        harness.receiveEvents(started, 3);
        harness.addEngine("e2");
        const decision::ResourceClaim all {24, 34'000, 0};
        harness.handle(PeerReportArrived {"peer", true, {{"e2", all}}, {}, {}});
        for (int second = 0; second < 6; ++second) {
            harness.advanceTime(milliseconds(1'000));
            harness.handle(PeerReportArrived {"peer", true, {{"e2", all}}, {}, {}});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<CancelAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<AbortStream>());
    }

    void aRequestWithoutDataAtTheEndOfAStopIsAnswered()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addEngine("e1");
        harness.sendRequest("/order/1");
        const RequestId silent = harness.sendRequest("/short/1");
        const RequestId streaming = harness.sendRequest("/long/1");
        harness.receiveStreamHead(silent);
        harness.receiveStreamHead(streaming);
        harness.receiveEvents(streaming, 2);
        harness.handle(StopRequested {harness.now()});
        harness.clearEffects();
        harness.handle(StopTimedOut {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<SendLocalReply>());
        CPPUNIT_ASSERT_EQUAL(504, harness.lastReplyStatus());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<AbortStream>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(streaming),
                             std::uint64_t(harness.lastEffect<AbortStream>()->request));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), harness.countEffects<CancelAttempt>());
    }

    void aStreamThatFailsBeforeItsFirstEventIsAnswered()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const RequestId request = harness.sendRequest("/long/1");
        harness.receiveStreamHead(request);
        harness.endAttempt(request, AttemptEnd::Lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<AbortStream>());
        CPPUNIT_ASSERT_EQUAL(502, harness.lastReplyStatus());
    }

    void aRequestThatCrashesUpstreamsIsRejected()
    {
        RouterHarness harness;
        harness.configure();
        for (const char *id : {"p1", "p2", "p3", "p4"}) {
            harness.addPlainUpstream(id);
        }
        for (std::size_t crash = 0; crash < decision::CrashTracker::crashesToBlock; ++crash) {
            harness.endAttempt(harness.sendRequest("/order/1", "k1", "poison"), AttemptEnd::Lost);
            harness.remove(harness.lastUpstream());
        }
        CPPUNIT_ASSERT_EQUAL(decision::CrashTracker::crashesToBlock,
                             harness.countEffects<BroadcastCrash>());
        const std::size_t started = harness.countEffects<StartAttempt>();
        harness.sendRequest("/order/1", "k1", "poison");
        CPPUNIT_ASSERT_EQUAL(started, harness.countEffects<StartAttempt>());
        harness.sendRequest("/order/1", "k1", "innocent");
        CPPUNIT_ASSERT_EQUAL(started + 1, harness.countEffects<StartAttempt>());
        // A lost connection to an upstream that survives is no crash.
        RouterHarness alive;
        alive.configure();
        alive.addPlainUpstream("p1");
        for (int loss = 0; loss < 5; ++loss) {
            alive.endAttempt(alive.sendRequest("/order/1", "k1", "fine"), AttemptEnd::Lost);
            alive.advanceTime(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), alive.countEffects<BroadcastCrash>());
    }

    /// Guards against retry storms: if every upstream fails every request, the retries must stay
    /// within this process's part of the fleet's budget.
    void retriesStayWithinTheBudget()
    {
        RouterHarness harness;
        harness.configure();
        harness.handle(ProcessesChanged {9});
        for (const char *id : {"p1", "p2", "p3", "p4"}) {
            harness.addPlainUpstream(id);
        }
        constexpr std::size_t calls = 100;
        for (std::size_t call = 0; call < calls; ++call) {
            const RequestId look = harness.sendRequest("/look/1");
            harness.endAttempt(look, AttemptEnd::Complete, 500);
            harness.endAttempt(look, AttemptEnd::Complete, 500);
            harness.advanceTime(milliseconds(20));
        }
        const std::size_t repeats = harness.countEffects<StartAttempt>() - calls;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(repeats),
                               static_cast<double>(repeats) <= 58.0 / 9 + 0.2 * calls);
        CPPUNIT_ASSERT(repeats > 5);
    }

    void aResponseToAnotherRequestIsNotForwarded()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        const RequestId order = harness.sendRequest("/order/1");
        ResponseHead head;
        head.status = 200;
        head.requestIdMismatch = true;
        harness.handle(HeadArrived {{order, 1}, head});
        harness.handle(AttemptEnded {{order, 1}, AttemptEnd::Complete, ""});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<ForwardResponse>());
        CPPUNIT_ASSERT_EQUAL(502, harness.lastReplyStatus());
    }

    void aRefusalOfAnotherRequestPromisesNothing()
    {
        for (const bool otherId : {false, true}) {
            for (const std::string path : {"/order/1", "/look/1"}) {
                RouterHarness harness;
                harness.configure();
                harness.addPlainUpstream("p1");
                harness.addPlainUpstream("p2");
                harness.sendRequest(path);
                const AttemptId attempt = harness.lastEffect<StartAttempt>()->attempt;
                ResponseHead head;
                head.status = 503;
                head.notRun = true;
                head.requestIdMismatch = otherId;
                head.requestIdMissing = !otherId;
                harness.handle(HeadArrived {attempt, head});
                harness.handle(AttemptEnded {attempt, AttemptEnd::Complete, ""});
                const bool repeatable = path == "/look/1";
                CPPUNIT_ASSERT_EQUAL(std::size_t(repeatable ? 2 : 1),
                                     harness.countEffects<StartAttempt>());
                CPPUNIT_ASSERT_EQUAL(repeatable ? 0 : 502, harness.lastReplyStatus());
            }
        }
    }

    void aResumedStreamIsNotCompletedByAnotherAnswer()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.addEngine("e2");
        const RequestId request = harness.sendRequest("/short/1");
        harness.receiveStreamHead(request);
        harness.receiveEvents(request, 2);
        harness.endAttempt(request, AttemptEnd::Lost);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.countEffects<StartAttempt>());
        const AttemptId second = harness.lastEffect<StartAttempt>()->attempt;
        ResponseHead head;
        head.status = 200;
        head.eventStream = true;
        head.requestIdMismatch = true;
        harness.handle(HeadArrived {second, head});
        harness.handle(AttemptEnded {second, AttemptEnd::Complete, ""});
        harness.advanceTime(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<EndStream>());
    }
};

REGISTER_SUITE(RouterTest, "router");

} // namespace azurespindle::routing
