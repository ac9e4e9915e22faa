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
    CPPUNIT_TEST(theFleetsTotalIsCountedWithoutWhatThisProcessReported);
    CPPUNIT_TEST(newOwnClaimsCountBesideATotalThatDoesNotIncludeThem);
    CPPUNIT_TEST(changedTotalsAreAddedToThoseKnown);
    CPPUNIT_TEST(announcedClaimsCountUntilTheTotalsIncludeThem);
    CPPUNIT_TEST(oldTotalsGiveWayToPeers);
    CPPUNIT_TEST(reportsAreForgottenInTime);
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
        table.updateZone("south", {{"e1", {5, 4'000, 0}}, {"e2", {1, 10, 0}}}, true,
                         Instant(seconds(1)));
        CPPUNIT_ASSERT((ResourceClaim {7, 4'300, 0}) == table.totalClaim("e1"));
        const std::vector<UpstreamClaim> claims = table.ownAndPeerClaims();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), claims.size());
        CPPUNIT_ASSERT((ResourceClaim {2, 300, 0}) == claims[0].claim);
        table.updateZone("south", {}, true, Instant(seconds(1)));
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

    void theFleetsTotalIsCountedWithoutWhatThisProcessReported()
    {
        const Instant now(seconds(1));
        LoadTable table;
        table.add("e1", {2, 2'000, 100});
        table.recordReport(1, table.takeChanged(), false, now);
        table.updateFleet({{"e1", {7, 9'000, 100}}, {"e2", {1, 10, 0}}}, true, 1, now);
        CPPUNIT_ASSERT((ResourceClaim {7, 9'000, 100}) == table.totalClaim("e1"));
        CPPUNIT_ASSERT((ResourceClaim {1, 10, 0}) == table.totalClaim("e2"));
        CPPUNIT_ASSERT(table.usesFleetTotals());
    }

    void newOwnClaimsCountBesideATotalThatDoesNotIncludeThem()
    {
        const Instant now(seconds(1));
        LoadTable table;
        table.add("e1", {1, 1'000, 0});
        table.recordReport(1, table.takeChanged(), false, now);
        table.add("e1", {1, 1'000, 0});
        table.recordReport(2, table.takeChanged(), false, now);
        table.add("e1", {1, 1'000, 0}); // Not reported yet.
        table.updateFleet({{"e1", {1, 1'000, 0}}}, false, 1, now);
        CPPUNIT_ASSERT((ResourceClaim {3, 3'000, 0}) == table.totalClaim("e1"));
        table.updateFleet({{"e1", {2, 2'000, 0}}}, false, 2, now);
        CPPUNIT_ASSERT((ResourceClaim {3, 3'000, 0}) == table.totalClaim("e1"));
        table.subtract("e1", {3, 3'000, 0});
        CPPUNIT_ASSERT_MESSAGE("none of it is anybody else's",
                               ResourceClaim {} == table.totalClaim("e1"));
        table.updateFleet({{"e1", {5, 5'000, 0}}}, false, 0, now);
        CPPUNIT_ASSERT_MESSAGE("a relay that does not know this process yet",
                               (ResourceClaim {5, 5'000, 0}) == table.totalClaim("e1"));
    }

    void changedTotalsAreAddedToThoseKnown()
    {
        const Instant now(seconds(1));
        LoadTable table;
        table.updateFleet({{"e1", {1, 10, 0}}, {"e2", {2, 20, 0}}}, true, 0, now);
        table.updateFleet({{"e2", {}}, {"e3", {3, 30, 0}}}, false, 0, now);
        CPPUNIT_ASSERT_EQUAL(1U, table.totalClaim("e1").attempts);
        CPPUNIT_ASSERT_EQUAL(0U, table.totalClaim("e2").attempts);
        CPPUNIT_ASSERT_EQUAL(3U, table.totalClaim("e3").attempts);
    }

    void announcedClaimsCountUntilTheTotalsIncludeThem()
    {
        const Instant now(seconds(1));
        LoadTable table;
        table.announce({{"e1", {1, 100, 50}}}, now);
        CPPUNIT_ASSERT_MESSAGE("a member of a small fleet hears the reports themselves",
                               ResourceClaim {} == table.totalClaim("e1"));
        table.updateFleet({{"e1", {2, 200, 0}}}, true, 0, now);
        CPPUNIT_ASSERT((ResourceClaim {3, 300, 50}) == table.totalClaim("e1"));
        CPPUNIT_ASSERT(ResourceClaim {} == table.totalClaim("e2"));
        table.removeSilent(now + LoadTable::announcementLifetime);
        CPPUNIT_ASSERT((ResourceClaim {2, 200, 0}) == table.totalClaim("e1"));
    }

    void oldTotalsGiveWayToPeers()
    {
        const Instant now(seconds(1));
        LoadTable table;
        table.updateFleet({{"e1", {4, 40, 0}}}, true, 0, now);
        table.removeSilent(now + LoadTable::reportTimeout);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("nothing better is known", 4U,
                                     table.totalClaim("e1").attempts);
        table.updatePeer("peer", {{"e1", {1, 10, 0}}}, true, now + LoadTable::reportTimeout);
        table.removeSilent(now + LoadTable::reportTimeout);
        CPPUNIT_ASSERT_EQUAL(1U, table.totalClaim("e1").attempts);
        table.updateFleet({}, false, 0, now + LoadTable::reportTimeout);
        CPPUNIT_ASSERT(table.usesFleetTotals());
        table.removeSilent(now + 3 * LoadTable::reportTimeout);
        CPPUNIT_ASSERT(!table.usesFleetTotals());
    }

    void reportsAreForgottenInTime()
    {
        Instant now(seconds(1));
        LoadTable table;
        std::uint64_t report = 0;
        for (int round = 0; round < 100; ++round) {
            const std::string upstream = "e" + std::to_string(round);
            table.add(upstream, {1, 10, 0});
            table.recordReport(++report, table.takeChanged(), false, now);
            table.subtract(upstream, {1, 10, 0});
            table.recordReport(++report, table.takeChanged(), round % 5 == 0, now);
            now += milliseconds(200);
        }
        const auto shortest
            = static_cast<std::size_t>(LoadTable::reportTimeout / milliseconds(200));
        CPPUNIT_ASSERT(table.rememberedReports() <= shortest + 2);
    }
};

REGISTER_SUITE(LoadTableTest, "load_table");

} // namespace azurespindle::decision
