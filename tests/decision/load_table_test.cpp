#include "decision/load_table.h"

#include "support/suite.h"

namespace azurespindle::decision {

class LoadTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadTableTest);
    CPPUNIT_TEST(claimsOfAllProcessesAddUp);
    CPPUNIT_TEST(onlyWhatChangedIsTold);
    CPPUNIT_TEST(aSilentPeerCountsNoMore);
    CPPUNIT_TEST(aWholeReportReplacesTheOneBefore);
    CPPUNIT_TEST(anotherZonesSumCountsAndIsNotPassedOnAsTheOwn);
    CPPUNIT_TEST(nothingFallsBelowZero);
    CPPUNIT_TEST_SUITE_END();

public:
    void claimsOfAllProcessesAddUp()
    {
        LoadTable table;
        table.add("e1", {1, 3'000, 500});
        table.tell("peer", {{"e1", {2, 7'000, 0}}}, false, Instant(seconds(1)));
        CPPUNIT_ASSERT((Claim {3, 10'000, 500}) == table.total("e1"));
        CPPUNIT_ASSERT((Claim {1, 3'000, 500}) == table.own("e1"));
    }

    void onlyWhatChangedIsTold()
    {
        LoadTable table;
        table.add("e1", {1, 100, 0});
        table.add("e2", {1, 200, 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.takeChanged().size());
        table.subtract("e2", {1, 200, 0});
        const auto told = table.takeChanged();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), told.size());
        CPPUNIT_ASSERT(told[0] == (UpstreamClaim {"e2", {}}));
        CPPUNIT_ASSERT(table.takeChanged().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.allOwn().size());
    }

    void aSilentPeerCountsNoMore()
    {
        LoadTable table;
        table.tell("peer", {{"e1", {2, 7'000, 0}}}, false, Instant(seconds(1)));
        table.forgetSilent(Instant(seconds(1)) + LoadTable::peerMemory);
        CPPUNIT_ASSERT_EQUAL(2U, table.total("e1").attempts);
        table.forgetSilent(Instant(seconds(2)) + LoadTable::peerMemory);
        CPPUNIT_ASSERT_EQUAL(0U, table.total("e1").attempts);
    }

    void aWholeReportReplacesTheOneBefore()
    {
        LoadTable table;
        table.tell("peer", {{"e1", {2, 7'000, 0}}}, false, Instant(seconds(1)));
        table.tell("peer", {{"e2", {1, 10, 0}}}, true, Instant(seconds(1)));
        CPPUNIT_ASSERT_EQUAL(0U, table.total("e1").attempts);
        CPPUNIT_ASSERT_EQUAL(1U, table.total("e2").attempts);
    }

    void anotherZonesSumCountsAndIsNotPassedOnAsTheOwn()
    {
        LoadTable table;
        table.add("e1", {1, 100, 0});
        table.tell("peer", {{"e1", {1, 200, 0}}}, true, Instant(seconds(1)));
        table.tellZone("south", {{"e1", {5, 4'000, 0}}, {"e2", {1, 10, 0}}}, Instant(seconds(1)));
        CPPUNIT_ASSERT((Claim {7, 4'300, 0}) == table.total("e1"));
        const std::vector<UpstreamClaim> near = table.ownAndPeers();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), near.size());
        CPPUNIT_ASSERT((Claim {2, 300, 0}) == near[0].claim);
        table.tellZone("south", {}, Instant(seconds(1)));
        CPPUNIT_ASSERT((Claim {2, 300, 0}) == table.total("e1"));
    }

    void nothingFallsBelowZero()
    {
        LoadTable table;
        table.add("e1", {1, 100, 0});
        table.subtract("e1", {2, 300, 5});
        CPPUNIT_ASSERT((Claim {}) == table.total("e1"));
        table.subtract("unknown", {1, 1, 1});
        CPPUNIT_ASSERT((Claim {}) == table.total("unknown"));
    }
};

REGISTER_SUITE(LoadTableTest, "load_table");

} // namespace azurespindle::decision
