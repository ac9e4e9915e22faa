#include "decision/load_table.h"

#include "support/suite.h"

namespace azurespindle::decision {

class LoadTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadTableTest);
    CPPUNIT_TEST(claimsOfAllProcessesAreAdded);
    CPPUNIT_TEST(onlyChangedClaimsAreTaken);
    CPPUNIT_TEST(claimsOfASilentPeerAreDropped);
    CPPUNIT_TEST(aCompleteReportReplacesEarlierOnes);
    CPPUNIT_TEST(anotherZonesTotalCountsButIsNotReportedAsOwn);
    CPPUNIT_TEST(claimsDoNotFallBelowZero);
    CPPUNIT_TEST_SUITE_END();

public:
    void claimsOfAllProcessesAreAdded()
    {
        LoadTable table;
        table.add("e1", {1, 3'000, 500});
        table.updatePeer("peer", {{"e1", {2, 7'000, 0}}}, false, Instant(seconds(1)));
        CPPUNIT_ASSERT((ResourceClaim {3, 10'000, 500}) == table.totalClaim("e1"));
        CPPUNIT_ASSERT((ResourceClaim {1, 3'000, 500}) == table.ownClaim("e1"));
    }

    void onlyChangedClaimsAreTaken()
    {
        LoadTable table;
        table.add("e1", {1, 100, 0});
        table.add("e2", {1, 200, 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.takeChanged().size());
        table.subtract("e2", {1, 200, 0});
        const auto changed = table.takeChanged();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changed.size());
        CPPUNIT_ASSERT(changed[0] == (UpstreamClaim {"e2", {}}));
        CPPUNIT_ASSERT(table.takeChanged().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.ownClaims().size());
    }

    void claimsOfASilentPeerAreDropped()
    {
        LoadTable table;
        table.updatePeer("peer", {{"e1", {2, 7'000, 0}}}, false, Instant(seconds(1)));
        table.removeSilent(Instant(seconds(1)) + LoadTable::reportTimeout);
        CPPUNIT_ASSERT_EQUAL(2U, table.totalClaim("e1").attempts);
        table.removeSilent(Instant(seconds(2)) + LoadTable::reportTimeout);
        CPPUNIT_ASSERT_EQUAL(0U, table.totalClaim("e1").attempts);
    }

    void aCompleteReportReplacesEarlierOnes()
    {
        LoadTable table;
        table.updatePeer("peer", {{"e1", {2, 7'000, 0}}}, false, Instant(seconds(1)));
        table.updatePeer("peer", {{"e2", {1, 10, 0}}}, true, Instant(seconds(1)));
        CPPUNIT_ASSERT_EQUAL(0U, table.totalClaim("e1").attempts);
        CPPUNIT_ASSERT_EQUAL(1U, table.totalClaim("e2").attempts);
    }

    void anotherZonesTotalCountsButIsNotReportedAsOwn()
    {
        LoadTable table;
        table.add("e1", {1, 100, 0});
        table.updatePeer("peer", {{"e1", {1, 200, 0}}}, true, Instant(seconds(1)));
        table.updateZone("south", {{"e1", {5, 4'000, 0}}, {"e2", {1, 10, 0}}}, Instant(seconds(1)));
        CPPUNIT_ASSERT((ResourceClaim {7, 4'300, 0}) == table.totalClaim("e1"));
        const std::vector<UpstreamClaim> claims = table.ownAndPeerClaims();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), claims.size());
        CPPUNIT_ASSERT((ResourceClaim {2, 300, 0}) == claims[0].claim);
        table.updateZone("south", {}, Instant(seconds(1)));
        CPPUNIT_ASSERT((ResourceClaim {2, 300, 0}) == table.totalClaim("e1"));
    }

    void claimsDoNotFallBelowZero()
    {
        LoadTable table;
        table.add("e1", {1, 100, 0});
        table.subtract("e1", {2, 300, 5});
        CPPUNIT_ASSERT((ResourceClaim {}) == table.totalClaim("e1"));
        table.subtract("unknown", {1, 1, 1});
        CPPUNIT_ASSERT((ResourceClaim {}) == table.totalClaim("unknown"));
    }
};

REGISTER_SUITE(LoadTableTest, "load_table");

} // namespace azurespindle::decision
