#include "session/order_rollout.h"

#include "support/golden.h"
#include "support/suite.h"

namespace azurespindle::tests {

class OrderRolloutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderRolloutTest);
    CPPUNIT_TEST(everyRecordedRolloutReplaysByteForByte);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyRecordedRolloutReplaysByteForByte()
    {
        CPPUNIT_ASSERT(checkGoldenSessions("orders", replayRollout) >= 2);
    }
};

REGISTER_SUITE(OrderRolloutTest, "order_rollout");

} // namespace azurespindle::tests
