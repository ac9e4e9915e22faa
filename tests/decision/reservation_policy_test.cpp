#include "decision/reservation_policy.h"

#include "support/suite.h"

namespace azurespindle::decision {

class ReservationPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReservationPolicyTest);
    CPPUNIT_TEST(memoryAndSlotsMakeAnEngineContended);
    CPPUNIT_TEST(sizesStayWithinTheEnginesBounds);
    CPPUNIT_TEST(aRefusalHoldsForAsMuchMemoryAndForAShortTime);
    CPPUNIT_TEST(theNumberOfRefusalsIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryAndSlotsMakeAnEngineContended()
    {
        UpstreamCandidate engine;
        engine.slots = 24;
        engine.memoryCapacity = 20'000;
        engine.claimed = {10, 11'000, 0};
        CPPUNIT_ASSERT(!ReservationPolicy::isContended(engine, 4'000));
        CPPUNIT_ASSERT(ReservationPolicy::isContended(engine, 4'001));
        engine.claimed = {18, 0, 0};
        CPPUNIT_ASSERT(ReservationPolicy::isContended(engine, 10));
    }

    void sizesStayWithinTheEnginesBounds()
    {
        const auto sizeOf = ReservationPolicy::sizeOf;
        const milliseconds most = ReservationPolicy::maxLifetime;
        CPPUNIT_ASSERT((ReservationSize {3'500, most})
                       == sizeOf(3'500.5, 20'000, seconds(9), most));
        CPPUNIT_ASSERT((ReservationSize {20'000, milliseconds(40)})
                       == sizeOf(1e300, 20'000, milliseconds(40), seconds(9)));
        CPPUNIT_ASSERT((ReservationSize {1, milliseconds(7)})
                       == sizeOf(0.0, 20'000, seconds(9), milliseconds(7)));
    }

    void aRefusalHoldsForAsMuchMemoryAndForAShortTime()
    {
        ReservationPolicy policy;
        const Instant now {seconds(100)};
        policy.recordRefusal("e1", 1, 3'000, now);
        CPPUNIT_ASSERT(!policy.accepts("e1", 1, 3'000, now));
        CPPUNIT_ASSERT(policy.accepts("e1", 1, 2'999, now));
        CPPUNIT_ASSERT(policy.accepts("e1", 2, 3'000, now));
        CPPUNIT_ASSERT(policy.accepts("e2", 1, 3'000, now));
        CPPUNIT_ASSERT(policy.accepts("e1", 1, 3'000, now + ReservationPolicy::refusalLifetime));
    }

    void theNumberOfRefusalsIsBounded()
    {
        ReservationPolicy policy;
        const Instant now {seconds(100)};
        for (std::size_t index = 0; index <= ReservationPolicy::maxEngines; ++index) {
            policy.recordRefusal("e" + std::to_string(index), 1, 1, now);
        }
        CPPUNIT_ASSERT(policy.accepts("e0", 1, 1, now));
        CPPUNIT_ASSERT(!policy.accepts("e1", 1, 1, now));
    }
};

REGISTER_SUITE(ReservationPolicyTest, "reservation_policy");

} // namespace azurespindle::decision
