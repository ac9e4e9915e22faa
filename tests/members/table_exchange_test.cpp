#include "members/table_exchange.h"

#include "support/suite.h"

namespace azurespindle::members {

class TableExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TableExchangeTest);
    CPPUNIT_TEST(aPassingDifferenceCostsNoTable);
    CPPUNIT_TEST(aLastingDifferenceIsAnsweredOnceInSeveralHeartbeats);
    CPPUNIT_TEST(membersAreCountedSeparately);
    CPPUNIT_TEST_SUITE_END();

public:
    void aPassingDifferenceCostsNoTable()
    {
        TableExchange tables;
        for (int round = 0; round < 10; ++round) {
            CPPUNIT_ASSERT(!tables.isDue("a", true));
            CPPUNIT_ASSERT(!tables.isDue("a", false));
        }
    }

    void aLastingDifferenceIsAnsweredOnceInSeveralHeartbeats()
    {
        TableExchange tables;
        std::string due;
        for (int heartbeat = 0; heartbeat < 8; ++heartbeat) {
            due += tables.isDue("a", true) ? '1' : '0';
        }
        CPPUNIT_ASSERT_EQUAL(std::string("01001001"), due);
    }

    void membersAreCountedSeparately()
    {
        TableExchange tables;
        CPPUNIT_ASSERT(!tables.isDue("a", true));
        CPPUNIT_ASSERT(!tables.isDue("b", true));
        CPPUNIT_ASSERT(tables.isDue("a", true));
        CPPUNIT_ASSERT(tables.isDue("b", true));
    }
};

REGISTER_SUITE(TableExchangeTest, "table_exchange");

} // namespace azurespindle::members
