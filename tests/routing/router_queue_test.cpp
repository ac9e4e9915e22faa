#include "routing/router.h"

#include "routing/router_harness.h"
#include "support/suite.h"

namespace azurespindle::routing {

using tests::RouterHarness;

namespace {

/// Starts a stream at an engine and lets its first event arrive, so that its prompt is read.
void startStream(RouterHarness &harness, RequestId request)
{
    harness.receiveStreamHead(request);
    harness.receiveEvents(request, 1);
}

/// Sends long streams until one has to wait. \return the ids of those that started.
std::vector<RequestId> fillEngines(RouterHarness &harness)
{
    std::vector<RequestId> started;
    while (harness.router.status().queuedRequests == 0) {
        const RequestId id = harness.sendRequest("/long/1");
        if (harness.router.status().queuedRequests == 0) {
            startStream(harness, id);
            started.push_back(id);
        }
    }
    return started;
}

/// Sends small urgent streams, of which each ends before the next one.
void runUrgentStreams(RouterHarness &harness, int count)
{
    for (int number = 0; number < count; ++number) {
        const RequestId id = harness.sendRequest("/long/1", "k2", 500);
        startStream(harness, id);
        harness.advanceTime(milliseconds(100));
        harness.endAttempt(id, AttemptEnd::Complete);
    }
}

PeerReportArrived reportOf(const decision::DemandReport &demand)
{
    PeerReportArrived report {"peer", true, {}, {}, {}};
    report.demand = demand;
    return report;
}

} // namespace

class RouterQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterQueueTest);
    CPPUNIT_TEST(lessUrgentStreamsLeaveRoomForUrgentOnes);
    CPPUNIT_TEST(nothingIsKeptWhenNoUrgentStreamArrivedLately);
    CPPUNIT_TEST(urgentStreamsThatWaitElsewhereGoFirst);
    CPPUNIT_TEST(aWorkspaceFarOverItsShareWaitsBehindTheOthers);
    CPPUNIT_TEST(aFullPlainUpstreamIsNotSentMore);
    CPPUNIT_TEST(waitingCallsAreSentByRank);
    CPPUNIT_TEST(claimsOfOthersBoundThePlainUpstreamToo);
    CPPUNIT_TEST(aCallRefusedForLackOfASlotReturnsToTheUpstream);
    CPPUNIT_TEST(requestsThatCannotStartInTimeAreRejectedAtOnce);
    CPPUNIT_TEST(theDemandIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Long streams of a low priority filled the engines, so that urgent short ones found no room.
    void lessUrgentStreamsLeaveRoomForUrgentOnes()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        runUrgentStreams(harness, 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), fillEngines(harness).size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), harness.router.status().requestsHeldBack);
        const std::size_t started = harness.countEffects<StartAttempt>();
        for (int number = 0; number < 4; ++number) {
            harness.sendRequest("/long/1", "k2", 500);
        }
        CPPUNIT_ASSERT_EQUAL(started + 4, harness.countEffects<StartAttempt>());
    }

    void nothingIsKeptWhenNoUrgentStreamArrivedLately()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), fillEngines(harness).size());
        RouterHarness later;
        later.configure();
        later.addEngine("e1");
        runUrgentStreams(later, 5);
        later.advanceTime(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), fillEngines(later).size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), later.router.status().requestsHeldBack);
    }

    void urgentStreamsThatWaitElsewhereGoFirst()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.handle(ProcessesChanged {2});
        harness.handle(reportOf({{{"models", 0, 4, 3'000, milliseconds(100)}}, {}, {}}));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("there is room for both", std::size_t(6),
                                     fillEngines(harness).size());
        const std::size_t started = harness.countEffects<StartAttempt>();
        harness.advanceTime(milliseconds(980));
        CPPUNIT_ASSERT_EQUAL(started, harness.countEffects<StartAttempt>());
        harness.advanceTime(milliseconds(80));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the other process has been silent for a second", started + 1,
                                     harness.countEffects<StartAttempt>());
    }

    void aWorkspaceFarOverItsShareWaitsBehindTheOthers()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1", "far");
        const std::vector<RequestId> running = fillEngines(harness);
        const RequestId other = harness.sendRequest("/long/1", "k3");
        harness.handle(CallerLeft {running[0]});
        CPPUNIT_ASSERT_MESSAGE("without other workspaces in use the order is that of arrival",
                               harness.lastEffect<StartAttempt>()->attempt.request != other);
        const RequestId own = harness.sendRequest("/long/1");
        harness.sendRequest("/long/1", "k3");
        harness.handle(reportOf(
            {{}, {}, {{"gates", 90'000}, {"second", 4'000}, {"third", 4'000}, {"fourth", 4'000}}}));
        harness.advanceTime(milliseconds(60));
        harness.handle(CallerLeft {running[1]});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(other),
                             std::uint64_t(harness.lastEffect<StartAttempt>()->attempt.request));
        harness.handle(CallerLeft {running[2]});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "an earlier arrival waits behind", std::uint64_t(own + 1),
            std::uint64_t(harness.lastEffect<StartAttempt>()->attempt.request));
    }

    /// With one of three upstreams evacuated, 977 calls were sent to full upstreams, which refused
    /// them.
    void aFullPlainUpstreamIsNotSentMore()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        std::vector<RequestId> calls;
        for (int number = 0; number < 12; ++number) {
            calls.push_back(harness.sendRequest("/order/1"));
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("6 slots and 3 that queue there", std::size_t(9),
                                     harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), harness.router.status().queuedRequests);
        harness.endAttempt(calls[0], AttemptEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("sent as soon as a claim ends", std::size_t(10),
                                     harness.countEffects<StartAttempt>());
    }

    void waitingCallsAreSentByRank()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        std::vector<RequestId> calls;
        for (int number = 0; number < 11; ++number) {
            calls.push_back(harness.sendRequest("/order/1"));
        }
        const RequestId lookup = harness.sendRequest("/look/1");
        harness.endAttempt(calls[0], AttemptEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(calls[9]),
                             std::uint64_t(harness.lastEffect<StartAttempt>()->attempt.request));
        harness.endAttempt(calls[1], AttemptEnd::Complete, 200);
        harness.endAttempt(calls[2], AttemptEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(lookup),
                             std::uint64_t(harness.lastEffect<StartAttempt>()->attempt.request));
    }

    void claimsOfOthersBoundThePlainUpstreamToo()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.handle(PeerReportArrived {"peer", true, {{"p1", {12, 0, 0}}}, {}, {}});
        harness.sendRequest("/look/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.countEffects<StartAttempt>());
        harness.handle(PeerReportArrived {"peer", false, {{"p1", {11, 0, 0}}}, {}, {}});
        harness.advanceTime(Router::tickInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.countEffects<StartAttempt>());
    }

    /// A call that an upstream refused for lack of a slot was never sent there again, and rejected
    /// although a slot was free a few milliseconds later.
    void aCallRefusedForLackOfASlotReturnsToTheUpstream()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.handle(PeerReportArrived {"peer", true, {{"p1", {6, 0, 0}}}, {}, {}});
        for (int earlier = 0; earlier < 20; ++earlier) {
            harness.endAttempt(harness.sendRequest("/look/0"), AttemptEnd::Complete, 200);
        }
        const RequestId call = harness.sendRequest("/look/1");
        harness.endAttempt(call, AttemptEnd::Complete, 503, true);
        const std::size_t started = harness.countEffects<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), harness.router.status().refusedForSlots);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.router.status().queuedRequests);
        harness.advanceTime(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(started + 1, harness.countEffects<StartAttempt>());
        harness.endAttempt(call, AttemptEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t(21), harness.countEffects<ForwardResponse>());
    }

    /// Requests waited for 0.6 of their objective without a chance, and were told to come back at a
    /// time that had nothing to do with the load.
    void requestsThatCannotStartInTimeAreRejectedAtOnce()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        std::vector<RequestId> running;
        for (int round = 0; round < 5; ++round) {
            for (int number = 0; number < 9; ++number) {
                running.push_back(harness.sendRequest("/long/1"));
                startStream(harness, running.back());
            }
            for (int step = 0; step < 4; ++step) {
                harness.advanceTime(milliseconds(500));
                for (const RequestId id : running) {
                    harness.receiveEvents(id, 1);
                }
            }
            for (const RequestId id : running) {
                harness.endAttempt(id, AttemptEnd::Complete);
            }
            running.clear();
        }
        fillEngines(harness);
        harness.clearEffects();
        for (int number = 0; number < 40; ++number) {
            harness.sendRequest("/long/1");
        }
        harness.advanceTime(Router::tickInterval);
        const std::vector<SendLocalReply> replies = harness.allEffects<SendLocalReply>();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(replies.size()),
                               replies.size() >= 20 && replies.size() <= 32);
        for (const SendLocalReply &each : replies) {
            CPPUNIT_ASSERT_EQUAL(503, each.reply.status);
            CPPUNIT_ASSERT(each.reply.retryAfter >= milliseconds(1'000));
            CPPUNIT_ASSERT(each.reply.retryAfter <= milliseconds(13'000));
        }
        CPPUNIT_ASSERT_MESSAGE("the oldest may return first",
                               replies.front().reply.retryAfter < replies.back().reply.retryAfter);
        CPPUNIT_ASSERT_EQUAL(replies.size(), std::size_t(harness.router.status().requestsHopeless));
    }

    void theDemandIsReported()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const std::size_t running = fillEngines(harness).size();
        harness.advanceTime(milliseconds(100));
        const decision::DemandReport report = harness.router.ownDemand(true, harness.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.waiting.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), report.waiting[0].requests);
        CPPUNIT_ASSERT(milliseconds(100) == report.waiting[0].oldest);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.arrivals.size());
        CPPUNIT_ASSERT_EQUAL(std::string("gates"), report.workspaces.at(0).workspace);
        CPPUNIT_ASSERT(report.workspaces.at(0).tokens >= running * 3'000);
        CPPUNIT_ASSERT(harness.router.ownDemand(false, harness.now()).arrivals.empty());
    }
};

REGISTER_SUITE(RouterQueueTest, "router_queue");

} // namespace azurespindle::routing
