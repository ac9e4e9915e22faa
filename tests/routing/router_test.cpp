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
    CPPUNIT_TEST(withoutAConfigurationNothingIsRefusedForGood);
    CPPUNIT_TEST(pathsAndKeysDecideWhoIsServed);
    CPPUNIT_TEST(aRequestStaysInItsHomeRegions);
    CPPUNIT_TEST(anIdempotentCallIsTriedOnceMoreElsewhere);
    CPPUNIT_TEST(anUnrepeatableCallThatMayHaveRunIsNeverSentAgain);
    CPPUNIT_TEST(whatDidNotRunIsSentElsewhere);
    CPPUNIT_TEST(noRefusalSaysNotRunOfACallThatMayHaveRun);
    CPPUNIT_TEST(whatIsLeftOfTheTimeIsPassedOn);
    CPPUNIT_TEST(theTimeThatRanOutEndsACall);
    CPPUNIT_TEST(aCallerThatLeavesFreesTheUpstream);
    CPPUNIT_TEST(aSilentIdempotentCallIsTriedElsewhere);
    CPPUNIT_TEST(leavingAndEvacuatedUpstreamsGetNothing);
    CPPUNIT_TEST(anUpstreamThatRefusesConnectionsGetsNothingForAWhile);
    CPPUNIT_TEST(aColdUpstreamGetsNoMoreThanItsShare);
    CPPUNIT_TEST(whereOtherZonesAreNotHeardTheyAreNoSink);
    CPPUNIT_TEST(loadThatAnotherZoneTellsOfIsAvoided);
    CPPUNIT_TEST(aZoneOfWhichTwoUpstreamsAreUnreachableIsAvoided);
    CPPUNIT_TEST(aRequestWaitsForRoomAndIsRefusedEarly);
    CPPUNIT_TEST(withNoUpstreamInServiceARequestIsRefusedAtOnce);
    CPPUNIT_TEST(moreUrgentRequestsGoFirst);
    CPPUNIT_TEST(aStoppingProcessServesShortCallsAndRefusesLongOnes);
    CPPUNIT_TEST(aRequestThatKillsUpstreamsIsRefused);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(anAnswerThatIsNotTheUpstreamsIsNotPassedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    void withoutAConfigurationNothingIsRefusedForGood()
    {
        RouterHarness play;
        play.arrive("/nowhere/");
        CPPUNIT_ASSERT_EQUAL(503, play.answered());
        CPPUNIT_ASSERT(play.last<SendLocalReply>()->reply.retryAfter.count() > 0);
    }

    void pathsAndKeysDecideWhoIsServed()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1");
        play.arrive("/nowhere/");
        CPPUNIT_ASSERT_EQUAL(404, play.answered());
        play.arrive("/order/1", "unknown");
        CPPUNIT_ASSERT_EQUAL(401, play.answered());
        play.arrive("/open/1", "unknown");
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), play.startedOn());
        CPPUNIT_ASSERT_EQUAL(std::string(), play.last<StartAttempt>()->plan.workspace);
        play.arrive("/order/1");
        CPPUNIT_ASSERT_EQUAL(std::string("gates"), play.last<StartAttempt>()->plan.workspace);
    }

    void aRequestStaysInItsHomeRegions()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1", "north");
        play.addPlain("p2", "far");
        for (int call = 0; call < 6; ++call) {
            play.arrive("/home/1");
            CPPUNIT_ASSERT_EQUAL(std::string("p1"), play.startedOn());
            play.arrive("/order/1", "k3");
            CPPUNIT_ASSERT_EQUAL(std::string("p2"), play.startedOn());
        }
        const std::size_t started = play.count<StartAttempt>();
        play.arrive("/home/1", "k3");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("both bind, and leave nowhere", started,
                                     play.count<StartAttempt>());
    }

    void anIdempotentCallIsTriedOnceMoreElsewhere()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1");
        play.addPlain("p2");
        play.addPlain("p3");
        const RequestId look = play.arrive("/look/1");
        const std::string first = play.startedOn();
        play.end(look, AttemptEnd::Complete, 500);
        CPPUNIT_ASSERT(first != play.startedOn());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<ForwardResponse>());
        play.end(look, AttemptEnd::Complete, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), play.count<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the upstream's own failure is passed on", std::size_t(1),
                                     play.count<ForwardResponse>());
    }

    void anUnrepeatableCallThatMayHaveRunIsNeverSentAgain()
    {
        for (const AttemptEnd end : {AttemptEnd::Lost, AttemptEnd::TimedOut}) {
            RouterHarness play;
            play.configure();
            play.addPlain("p1");
            play.addPlain("p2");
            play.end(play.arrive("/order/1"), end);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<StartAttempt>());
            CPPUNIT_ASSERT_EQUAL(502, play.answered());
        }
    }

    void whatDidNotRunIsSentElsewhere()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1");
        play.addPlain("p2");
        const RequestId order = play.arrive("/order/1");
        const std::string first = play.startedOn();
        play.end(order, AttemptEnd::Complete, 503, true);
        const std::string second = play.startedOn();
        CPPUNIT_ASSERT(first != second);
        play.end(order, AttemptEnd::ConnectionRefused);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("none is left that was not tried", std::size_t(2),
                                     play.count<StartAttempt>());
        play.pass(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(503, play.answered());
    }

    /// Attempts end in every way, at random: 503 is a promise and has to be true.
    void noRefusalSaysNotRunOfACallThatMayHaveRun()
    {
        std::mt19937 random(11);
        for (int round = 0; round < 400; ++round) {
            RouterHarness play;
            play.configure();
            for (const char *id : {"p1", "p2", "p3"}) {
                play.addPlain(id);
            }
            const char *path = round % 2 == 0 ? "/order/1" : "/look/1";
            const RequestId request = play.arrive(path);
            bool mayHaveRun = false;
            std::size_t ends = 0;
            while (play.count<RequestClosed>() == 0 && ends < 20) {
                ends += 1;
                const bool running = play.router.status().queuedRequests == 0;
                switch (running ? random() % 5 : 4) {
                case 0:
                    play.end(request, AttemptEnd::NotSent);
                    break;
                case 1:
                    play.end(request, AttemptEnd::Complete, 503, true);
                    break;
                case 2:
                    mayHaveRun = true;
                    play.end(request, AttemptEnd::Lost);
                    break;
                case 3:
                    mayHaveRun = true;
                    play.end(request, AttemptEnd::Complete, 500);
                    break;
                default:
                    play.pass(milliseconds(120));
                    mayHaveRun = mayHaveRun || play.count<CancelAttempt>() > 0;
                    break;
                }
            }
            const bool promised = play.answered() == 503;
            CPPUNIT_ASSERT_MESSAGE("round " + std::to_string(round), !promised || !mayHaveRun);
        }
    }

    void whatIsLeftOfTheTimeIsPassedOn()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1");
        play.addPlain("p2");
        const RequestId look = play.arrive("/look/1");
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'000),
                             std::int64_t(play.last<StartAttempt>()->plan.timeLeft.count()));
        play.pass(milliseconds(300));
        play.end(look, AttemptEnd::Complete, 500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(700),
                             std::int64_t(play.last<StartAttempt>()->plan.timeLeft.count()));
    }

    void theTimeThatRanOutEndsACall()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1");
        play.arrive("/order/1");
        play.pass(milliseconds(990));
        CPPUNIT_ASSERT_EQUAL(0, play.answered());
        play.pass(milliseconds(40));
        CPPUNIT_ASSERT_EQUAL(504, play.answered());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<CancelAttempt>());
    }

    void aCallerThatLeavesFreesTheUpstream()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1");
        play.handle(CallerLeft {play.arrive("/order/1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<CancelAttempt>());
        CPPUNIT_ASSERT(play.router.claims().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.router.status().openRequests);
    }

    void aSilentIdempotentCallIsTriedElsewhere()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1");
        play.addPlain("p2");
        play.arrive("/look/1");
        const std::string first = play.startedOn();
        play.pass(milliseconds(500));
        CPPUNIT_ASSERT(first != play.startedOn());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.count<CancelAttempt>());
        play.arrive("/order/1");
        const std::size_t starts = play.count<StartAttempt>();
        play.pass(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("an unrepeatable one is waited for", starts,
                                     play.count<StartAttempt>());
    }

    void leavingAndEvacuatedUpstreamsGetNothing()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1");
        play.addPlain("p2", "south");
        play.setLeaving("p1");
        for (int call = 0; call < 5; ++call) {
            play.arrive("/order/1");
            CPPUNIT_ASSERT_EQUAL(std::string("p2"), play.startedOn());
        }
        play.addPlain("p3");
        play.evacuate("south");
        for (int call = 0; call < 5; ++call) {
            play.arrive("/order/1");
            CPPUNIT_ASSERT_EQUAL(std::string("p3"), play.startedOn());
        }
    }

    void anUpstreamThatRefusesConnectionsGetsNothingForAWhile()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1");
        play.addPlain("p2");
        const RequestId order = play.arrive("/order/1");
        const std::string dead = play.startedOn();
        play.end(order, AttemptEnd::ConnectionRefused);
        for (int call = 0; call < 10; ++call) {
            play.arrive("/order/1");
            CPPUNIT_ASSERT(dead != play.startedOn());
        }
        const auto notes = play.router.takeObservations(play.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notes.size());
        CPPUNIT_ASSERT_EQUAL(dead, notes[0].upstream);
        RouterHarness peer;
        peer.configure();
        peer.addPlain("p1");
        peer.addPlain("p2");
        peer.handle(PeerReportArrived {"peer", false, {}, {}, notes});
        for (int call = 0; call < 10; ++call) {
            peer.arrive("/order/1");
            CPPUNIT_ASSERT(dead != peer.startedOn());
        }
    }

    void aColdUpstreamGetsNoMoreThanItsShare()
    {
        RouterHarness play;
        play.configure();
        play.addEngine("e1");
        play.setCold("e1", milliseconds(3'000));
        play.handle(ProcessesChanged {9});
        std::size_t sent = 0;
        for (int call = 0; call < 40; ++call) {
            play.clear();
            play.arrive("/short/1");
            play.pass(milliseconds(50));
            sent += play.count<StartAttempt>();
        }
        // In two seconds, a ninth of 27 a second.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent <= 6);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent >= 4);
    }

    /// Load: a fleet so large that claims stay in their zone. Engines of other zones look empty to
    /// every process, and all would send there.
    void whereOtherZonesAreNotHeardTheyAreNoSink()
    {
        RouterHarness play;
        play.configure();
        play.handle(ProcessesChanged {90, {"south"}});
        for (const char *id : {"e1", "e2", "e3"}) {
            play.addEngine(id);
        }
        play.addEngine("e4", "south");
        std::size_t south = 0;
        for (int call = 0; call < 15; ++call) {
            play.arrive("/long/1");
            south += play.startedOn() == "e4" ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(south), south <= 4);
    }

    /// Load: the own zone's engines are full, those of one other zone busy, of another one free.
    void loadThatAnotherZoneTellsOfIsAvoided()
    {
        RouterHarness play;
        play.configure();
        play.addEngine("e1", "east");
        play.addEngine("e2", "south");
        play.handle(ZoneReportArrived {"south", 20, {{"e1", {6, 20'000, 9'000}}}, {}});
        for (int call = 0; call < 3; ++call) {
            play.arrive("/long/1");
            CPPUNIT_ASSERT_EQUAL(std::string("e2"), play.startedOn());
        }
    }

    /// Load: a zone is cut off, and nothing was heard of it yet.
    void aZoneOfWhichTwoUpstreamsAreUnreachableIsAvoided()
    {
        RouterHarness play;
        play.configure();
        for (const char *id : {"e1", "e2", "e3", "e4"}) {
            play.addEngine(id, "south");
        }
        play.addEngine("e5", "east");
        play.handle(ZoneReportArrived {"east", 20, {{"e5", {3, 8'000, 0}}}, {}});
        const RequestId request = play.arrive("/long/1");
        CPPUNIT_ASSERT(play.startedOn() != "e5");
        play.end(request, AttemptEnd::NotSent);
        CPPUNIT_ASSERT(play.startedOn() != "e5");
        play.end(request, AttemptEnd::NotSent);
        CPPUNIT_ASSERT_EQUAL(std::string("e5"), play.startedOn());
        play.handle(CallerLeft {request});
        play.clear();
        play.arrive("/long/1");
        CPPUNIT_ASSERT_EQUAL(std::string("e5"), play.startedOn());
    }

    void aRequestWaitsForRoomAndIsRefusedEarly()
    {
        RouterHarness play;
        play.configure();
        play.addEngine("e1");
        RequestId first = 0;
        while (play.router.status().queuedRequests == 0) {
            first = first == 0 ? play.arrive("/long/1") : (play.arrive("/long/1"), first);
        }
        const std::size_t started = play.count<StartAttempt>();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(started), started >= 6 && started <= 10);
        play.handle(CallerLeft {first});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.router.status().queuedRequests);
        CPPUNIT_ASSERT_EQUAL(started + 1, play.count<StartAttempt>());
        play.arrive("/long/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), play.router.status().queuedRequests);
        play.pass(milliseconds(1'800));
        CPPUNIT_ASSERT_EQUAL(503, play.answered());
        CPPUNIT_ASSERT(play.last<SendLocalReply>()->reply.retryAfter.count() > 0);
    }

    void withNoUpstreamInServiceARequestIsRefusedAtOnce()
    {
        RouterHarness play;
        play.configure();
        play.arrive("/order/1");
        play.pass(Router::tickInterval);
        CPPUNIT_ASSERT_EQUAL(503, play.answered());
    }

    void moreUrgentRequestsGoFirst()
    {
        RouterHarness play;
        play.configure();
        play.addEngine("e1");
        RequestId first = 0;
        while (play.router.status().queuedRequests == 0) {
            const RequestId id = play.arrive("/long/1");
            first = first == 0 ? id : first;
        }
        const RequestId urgent = play.arrive("/long/1", "k2");
        play.handle(CallerLeft {first});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(urgent),
                             std::uint64_t(play.last<StartAttempt>()->attempt.request));
    }

    void aStoppingProcessServesShortCallsAndRefusesLongOnes()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1");
        play.addEngine("e1");
        play.handle(StopRequested {});
        play.arrive("/order/1");
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), play.startedOn());
        play.arrive("/long/1");
        CPPUNIT_ASSERT_EQUAL(503, play.answered());
    }

    void aRequestThatKillsUpstreamsIsRefused()
    {
        RouterHarness play;
        play.configure();
        for (const char *id : {"p1", "p2", "p3", "p4"}) {
            play.addPlain(id);
        }
        for (std::size_t death = 0; death < decision::CrashTracker::crashesToBlock; ++death) {
            play.end(play.arrive("/order/1", "k1", "poison"), AttemptEnd::Lost);
            play.remove(play.startedOn());
        }
        CPPUNIT_ASSERT_EQUAL(decision::CrashTracker::crashesToBlock, play.count<BroadcastCrash>());
        const std::size_t started = play.count<StartAttempt>();
        play.arrive("/order/1", "k1", "poison");
        CPPUNIT_ASSERT_EQUAL(started, play.count<StartAttempt>());
        play.arrive("/order/1", "k1", "innocent");
        CPPUNIT_ASSERT_EQUAL(started + 1, play.count<StartAttempt>());
        // A loss after which the upstream lives on blames nobody.
        RouterHarness alive;
        alive.configure();
        alive.addPlain("p1");
        for (int loss = 0; loss < 5; ++loss) {
            alive.end(alive.arrive("/order/1", "k1", "fine"), AttemptEnd::Lost);
            alive.pass(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), alive.count<BroadcastCrash>());
    }

    /// Every upstream fails everything: what is sent beyond the first stays within this process's
    /// part.
    void retriesStayWithinTheBudget()
    {
        RouterHarness play;
        play.configure();
        play.handle(ProcessesChanged {9});
        for (const char *id : {"p1", "p2", "p3", "p4"}) {
            play.addPlain(id);
        }
        constexpr std::size_t calls = 100;
        for (std::size_t call = 0; call < calls; ++call) {
            const RequestId look = play.arrive("/look/1");
            play.end(look, AttemptEnd::Complete, 500);
            play.end(look, AttemptEnd::Complete, 500);
            play.pass(milliseconds(20));
        }
        const std::size_t repeats = play.count<StartAttempt>() - calls;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(repeats),
                               static_cast<double>(repeats) <= 58.0 / 9 + 0.2 * calls);
        CPPUNIT_ASSERT(repeats > 5);
    }

    void anAnswerThatIsNotTheUpstreamsIsNotPassedOn()
    {
        RouterHarness play;
        play.configure();
        play.addPlain("p1");
        const RequestId order = play.arrive("/order/1");
        ResponseHead crossed;
        crossed.status = 200;
        crossed.requestIdMismatch = true;
        play.handle(HeadArrived {{order, 1}, crossed});
        play.handle(AttemptEnded {{order, 1}, AttemptEnd::Complete, ""});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), play.count<ForwardResponse>());
        CPPUNIT_ASSERT_EQUAL(502, play.answered());
    }
};

REGISTER_SUITE(RouterTest, "router");

} // namespace azurespindle::routing
