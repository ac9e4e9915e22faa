#include "routing/router.h"
#include "routing/router_harness.h"
#include "support/suite.h"

namespace azurespindle::routing {
namespace {

using tests::RouterHarness;

/// Returns the memory that is claimed at the only engine, in tokens.
Tokens claimedMemory(const RouterHarness &harness)
{
    Tokens memory = 0;
    for (const decision::UpstreamClaim &each : harness.router.claims()) {
        memory += each.claim.memory;
    }
    return memory;
}

/// Streams \a events events to a caller of the route `/long/`.
RequestId stream(RouterHarness &harness, std::uint32_t events)
{
    const RequestId id = harness.sendRequest("/long/a");
    harness.receiveStreamHead(id);
    harness.receiveEvents(id, events);
    return id;
}

/// Returns the memory that a new stream claims.
Tokens claimOfNewStream(RouterHarness &harness)
{
    const RequestId id = harness.sendRequest("/long/a");
    const Tokens memory = claimedMemory(harness);
    harness.handle(CallerLeft {id});
    return memory;
}

} // namespace

class RouterOutputsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterOutputsTest);
    CPPUNIT_TEST(claimsFollowTheLengthsOfCompletedOutputs);
    CPPUNIT_TEST(outputsOfCallersThatLeaveCountAsFarAsTheyGot);
    CPPUNIT_TEST(aLongOutputRaisesItsClaimWhileItRuns);
    CPPUNIT_TEST(errorsAreReportedByRoute);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->harness.configure();
        this->harness.addEngine("e1");
    }

    void claimsFollowTheLengthsOfCompletedOutputs()
    {
        const Tokens before = claimOfNewStream(this->harness);
        this->complete(40, 5);
        const Tokens after = claimOfNewStream(this->harness);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(after), after + 250 < before);
        CPPUNIT_ASSERT_EQUAL(Tokens {0}, claimedMemory(this->harness));
    }

    // Guards against learning from completed outputs only: the long ones, whose callers leave, have
    // to keep the claims up, also if they leave before the first revision of the claim.
    void outputsOfCallersThatLeaveCountAsFarAsTheyGot()
    {
        for (const std::uint32_t events : {40U, 300U}) {
            RouterHarness mixed;
            RouterHarness completedOnly;
            for (RouterHarness *each : {&mixed, &completedOnly}) {
                each->configure();
                each->addEngine("e1");
            }
            for (int round = 0; round < 40; ++round) {
                mixed.endAttempt(stream(mixed, 5), AttemptEnd::Complete);
                mixed.handle(CallerLeft {stream(mixed, events)});
                completedOnly.endAttempt(stream(completedOnly, 5), AttemptEnd::Complete);
            }
            const Tokens with = claimOfNewStream(mixed);
            const Tokens without = claimOfNewStream(completedOnly);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(with) + " and " + std::to_string(without),
                                   with > without + events / 2);
        }
    }

    void aLongOutputRaisesItsClaimWhileItRuns()
    {
        this->complete(40, 5);
        const RequestId id = this->harness.sendRequest("/long/a");
        const Tokens atStart = claimedMemory(this->harness);
        this->harness.receiveStreamHead(id);
        this->harness.receiveEvents(id, 200);
        CPPUNIT_ASSERT(claimedMemory(this->harness) > atStart + 700);
    }

    void errorsAreReportedByRoute()
    {
        CPPUNIT_ASSERT(this->harness.router.forecastErrors().empty());
        this->complete(30, 5);
        const auto errors = this->harness.router.forecastErrors();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, errors.size());
        CPPUNIT_ASSERT_EQUAL(std::string("long"), errors[0].route);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {30}, errors[0].outputs);
        CPPUNIT_ASSERT(errors[0].error > 0.0);
    }

private:
    /// Completes \a count streams of \a events events.
    void complete(int count, std::uint32_t events)
    {
        for (int number = 0; number < count; ++number) {
            this->harness.endAttempt(stream(this->harness, events), AttemptEnd::Complete);
        }
    }

    RouterHarness harness;
};

REGISTER_SUITE(RouterOutputsTest, "router_outputs");

} // namespace azurespindle::routing
