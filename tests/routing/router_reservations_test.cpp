#include "routing/router.h"
#include "routing/router_harness.h"
#include "support/suite.h"

namespace azurespindle::routing {
namespace {

using tests::RouterHarness;

constexpr milliseconds holdTime {2'000};

/// Answers the last requested reservation.
void answer(RouterHarness &harness, ReservationStatus status, const std::string &handle = "")
{
    const auto requested = harness.lastEffect<RequestReservation>();
    CPPUNIT_ASSERT(requested.has_value());
    harness.handle(ReservationAnswered {requested->id, {status, handle}});
}

std::string lastAsked(const RouterHarness &harness)
{
    const auto requested = harness.lastEffect<RequestReservation>();
    return requested ? requested->id.upstream : "none";
}

} // namespace

class RouterReservationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterReservationsTest);
    CPPUNIT_TEST(freeEnginesAreNotAsked);
    CPPUNIT_TEST(aServiceWithoutReservationsIsNotAsked);
    CPPUNIT_TEST(coldAndLimitedEnginesAreNotAsked);
    CPPUNIT_TEST(aRequestIsSentWithItsReservation);
    CPPUNIT_TEST(aRefusalLeadsToAnotherEngine);
    CPPUNIT_TEST(aRequestThatAllEnginesRefuseWaitsInTheQueue);
    CPPUNIT_TEST(aLostAnswerDoesNotLeadToTwoRuns);
    CPPUNIT_TEST(anAnswerAfterTheCallerLeftIsReleased);
    CPPUNIT_TEST(aReservationAtAReplacedEngineIsNotUsed);
    CPPUNIT_TEST(aStopEndsAPendingReservation);
    CPPUNIT_TEST(aDeadlineEndsAPendingReservation);
    CPPUNIT_TEST(anExpiredReservationIsNotUsed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->harness.configure(holdTime);
        this->addContendedEngine("e1");
    }

    void freeEnginesAreNotAsked()
    {
        this->harness.addEngine("e2");
        this->harness.sendRequest("/long/a");
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), this->harness.lastUpstream());
        CPPUNIT_ASSERT_EQUAL(std::string("none"), lastAsked(this->harness));
    }

    void aServiceWithoutReservationsIsNotAsked()
    {
        this->harness.configure();
        this->harness.sendRequest("/long/a");
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), this->harness.lastUpstream());
        CPPUNIT_ASSERT_EQUAL(std::string("none"), lastAsked(this->harness));
    }

    void coldAndLimitedEnginesAreNotAsked()
    {
        this->harness.setCold("e1", seconds(10));
        this->harness.handle(ProcessesChanged {});
        this->harness.sendRequest("/long/a");
        CPPUNIT_ASSERT_EQUAL(std::string("none"), lastAsked(this->harness));
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), this->harness.lastUpstream());
        RouterHarness limited;
        limited.configure(holdTime);
        limited.addEngine("e1");
        limited.handle(ProcessesChanged {
            1, {}, std::make_shared<const std::vector<std::string>>(1, "entry-0")});
        const RequestId first = limited.sendRequest("/long/a");
        ResponseHead head;
        head.status = 200;
        head.authentic = true;
        head.eventStream = true;
        head.requestsPerSecond = 50.0;
        limited.handle(HeadArrived {{first, 1}, head});
        limited.handle(PeerReportArrived {"peer", true, {{"e1", contended}}, {}, {}});
        limited.advanceTime(milliseconds(200));
        limited.sendRequest("/long/b");
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, limited.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::string("none"), lastAsked(limited));
    }

    void aRequestIsSentWithItsReservation()
    {
        this->harness.sendRequest("/long/a");
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, this->harness.countEffects<StartAttempt>());
        const auto asked = *this->harness.lastEffect<RequestReservation>();
        CPPUNIT_ASSERT(asked.tokens > 3'000 && asked.tokens < 5'204);
        CPPUNIT_ASSERT(asked.lifetime > milliseconds(0) && asked.lifetime <= holdTime);
        const auto claims = this->harness.router.claims();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, claims.size());
        this->harness.advanceTime(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, this->harness.countEffects<RequestReservation>());
        answer(this->harness, ReservationStatus::Taken, "r7");
        const auto start = *this->harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT_EQUAL(std::string("r7"), start.plan.reservation);
        CPPUNIT_ASSERT(claims == this->harness.router.claims());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, this->harness.router.status().reservationsTaken);
        answer(this->harness, ReservationStatus::Taken, "r7");
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, this->harness.countEffects<StartAttempt>());
    }

    void aRefusalLeadsToAnotherEngine()
    {
        this->addContendedEngine("e2");
        this->harness.sendRequest("/long/a");
        const std::string first = lastAsked(this->harness);
        answer(this->harness, ReservationStatus::Refused);
        CPPUNIT_ASSERT(first != lastAsked(this->harness));
        answer(this->harness, ReservationStatus::Taken, "r8");
        CPPUNIT_ASSERT(first != this->harness.lastUpstream());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, this->harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, this->harness.router.status().reservationsRefused);
    }

    void aRequestThatAllEnginesRefuseWaitsInTheQueue()
    {
        const RequestId id = this->harness.sendRequest("/long/a");
        answer(this->harness, ReservationStatus::Refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, this->harness.router.status().queuedRequests);
        CPPUNIT_ASSERT(this->harness.router.claims().empty());
        this->harness.advanceTime(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, this->harness.countEffects<RequestReservation>());
        this->harness.advanceTime(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, this->harness.countEffects<RequestReservation>());
        answer(this->harness, ReservationStatus::Taken, "r9");
        CPPUNIT_ASSERT(this->harness.lastEffect<StartAttempt>()->attempt.request == id);
    }

    // Guards against a run at the engine whose answer was lost beside the one elsewhere.
    void aLostAnswerDoesNotLeadToTwoRuns()
    {
        this->addContendedEngine("e2");
        this->harness.sendRequest("/long/a");
        const auto lost = *this->harness.lastEffect<RequestReservation>();
        answer(this->harness, ReservationStatus::Failed);
        CPPUNIT_ASSERT(lost.id.upstream != lastAsked(this->harness));
        answer(this->harness, ReservationStatus::Taken, "r2");
        this->harness.handle(ReservationAnswered {lost.id, {ReservationStatus::Taken, "r1"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, this->harness.countEffects<StartAttempt>());
        this->assertReleased("r1");
    }

    void anAnswerAfterTheCallerLeftIsReleased()
    {
        this->harness.handle(CallerLeft {this->harness.sendRequest("/long/a")});
        this->assertLateAnswerIsReleased();
    }

    void aReservationAtAReplacedEngineIsNotUsed()
    {
        this->harness.sendRequest("/long/a");
        this->harness.restart("e1");
        answer(this->harness, ReservationStatus::Taken, "r1");
        this->assertReleased("r1");
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, this->harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, this->harness.countEffects<RequestReservation>());
    }

    void aStopEndsAPendingReservation()
    {
        this->harness.sendRequest("/long/a");
        this->harness.handle(StopRequested {this->harness.now() + milliseconds(500)});
        CPPUNIT_ASSERT_EQUAL(503, this->harness.lastReplyStatus());
        this->assertLateAnswerIsReleased();
    }

    void aDeadlineEndsAPendingReservation()
    {
        auto request = std::make_shared<RoutedRequest>();
        request->callerRequestId = "c9";
        request->host = "shop.example:80";
        request->path = "/long/a";
        request->key = "k1";
        request->promptTokens = 3'000;
        request->maxOutputTokens = 2'204;
        request->deadline = milliseconds(100);
        this->harness.handle(RequestArrived {9, request});
        CPPUNIT_ASSERT(this->harness.lastEffect<RequestReservation>()->lifetime
                       <= milliseconds(100));
        this->harness.advanceTime(milliseconds(120));
        CPPUNIT_ASSERT_EQUAL(503, this->harness.lastReplyStatus());
        this->assertLateAnswerIsReleased();
    }

    void anExpiredReservationIsNotUsed()
    {
        this->harness.sendRequest("/long/a");
        this->harness.advanceTime(milliseconds(600));
        answer(this->harness, ReservationStatus::Taken, "r1");
        this->assertReleased("r1");
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, this->harness.countEffects<StartAttempt>());
    }

private:
    /// Claims of others that leave room for one long request beyond the contended share.
    static constexpr decision::ResourceClaim contended {6, 24'000, 0};

    /// Adds an engine to those whose claims a peer reports as contended.
    void addContendedEngine(const std::string &id)
    {
        this->harness.addEngine(id);
        this->claims.push_back({id, contended});
        this->harness.handle(PeerReportArrived {"peer", true, this->claims, {}, {}});
    }

    void assertReleased(const std::string &handle) const
    {
        const auto release = this->harness.lastEffect<ReleaseReservation>();
        CPPUNIT_ASSERT(release.has_value());
        CPPUNIT_ASSERT_EQUAL(handle, release->handle);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, this->harness.router.status().reservationsUnused);
    }

    /// Answers a reservation whose request has ended.
    void assertLateAnswerIsReleased()
    {
        CPPUNIT_ASSERT(this->harness.router.claims().empty());
        answer(this->harness, ReservationStatus::Taken, "late");
        this->assertReleased("late");
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, this->harness.countEffects<StartAttempt>());
        CPPUNIT_ASSERT(this->harness.router.claims().empty());
    }

    std::vector<decision::UpstreamClaim> claims; ///< Claims that the peer reports.
    RouterHarness harness;
};

REGISTER_SUITE(RouterReservationsTest, "router_reservations");

} // namespace azurespindle::routing
