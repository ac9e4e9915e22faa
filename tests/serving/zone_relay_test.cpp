#include "serving/zone_relay.h"

#include "support/suite.h"

namespace azurespindle::serving {
namespace {

const Instant startTime(seconds(100));

/// Returns \a membersPerZone members in each of the zones a, b and c, named a-0, a-1, ...
std::vector<members::MemberRecord> makeFleet(std::size_t membersPerZone)
{
    std::vector<members::MemberRecord> records;
    for (const std::string zone : {"a", "b", "c"}) {
        for (std::size_t number = 0; number < membersPerZone; ++number) {
            members::MemberRecord record;
            record.name = zone + "-" + std::to_string(number);
            record.zone = zone;
            records.push_back(record);
        }
    }
    return records;
}

/// The relay of member \a self in a fleet of \a membersPerZone members in each zone.
class FleetRelay : public ZoneRelay
{
public:
    FleetRelay(const std::string &self, std::size_t membersPerZone)
        : ZoneRelay(self, self.substr(0, 1))
    {
        this->setMembers(makeFleet(membersPerZone), startTime);
    }
};

} // namespace

class ZoneRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ZoneRelayTest);
    CPPUNIT_TEST(inASmallFleetEachMemberReportsToAll);
    CPPUNIT_TEST(inALargeFleetTwoRelaysPerZoneReportToOtherZones);
    CPPUNIT_TEST(theRolesGoToMembersThatCanBearThem);
    CPPUNIT_TEST(oneRelayIsActiveAtATime);
    CPPUNIT_TEST(totalsOfTheHighestRelayThatIsHeardAreUsed);
    CPPUNIT_TEST(aMemberTakesTheSilentZonesFromItsRelay);
    CPPUNIT_TEST(aZoneWithoutReportsBecomesSilent);
    CPPUNIT_TEST(theNextMemberReplacesALostRelay);
    CPPUNIT_TEST_SUITE_END();

public:
    void inASmallFleetEachMemberReportsToAll()
    {
        const FleetRelay relay("a-0", 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), relay.reportRecipients().size());
        CPPUNIT_ASSERT(relay.remoteRelays().empty());
    }

    void inALargeFleetTwoRelaysPerZoneReportToOtherZones()
    {
        const std::vector<std::string> relays {"a-0", "a-1"};
        CPPUNIT_ASSERT_MESSAGE("however large the zone",
                               relays == FleetRelay("a-5", 10).reportRecipients());
        CPPUNIT_ASSERT(relays == FleetRelay("a-5", 300).reportRecipients());
        CPPUNIT_ASSERT(std::vector<std::string> {"a-1"}
                       == FleetRelay("a-0", 10).reportRecipients());
        CPPUNIT_ASSERT(FleetRelay("a-5", 10).remoteRelays().empty());
        const std::vector<std::string> expected {"b-0", "b-1", "c-0", "c-1"};
        CPPUNIT_ASSERT(expected == FleetRelay("a-0", 10).remoteRelays());
        CPPUNIT_ASSERT(expected == FleetRelay("a-1", 10).remoteRelays());
    }

    void theRolesGoToMembersThatCanBearThem()
    {
        std::vector<members::MemberRecord> records = makeFleet(10);
        records[4].capacity = 5;
        records[7].capacity = 2;
        ZoneRelay relay("a-0", "a");
        relay.setMembers(records, startTime);
        const std::vector<std::string> relays {"a-4", "a-7"};
        CPPUNIT_ASSERT(relays == relay.reportRecipients());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("readers are chosen in the same order", std::string("a-4"),
                                     relay.ownZoneMembers().front());
        CPPUNIT_ASSERT(!relay.isRelay());
    }

    void oneRelayIsActiveAtATime()
    {
        const FleetRelay first("a-0", 10);
        FleetRelay second("a-1", 10);
        CPPUNIT_ASSERT(first.isActiveRelay(startTime));
        CPPUNIT_ASSERT(!FleetRelay("a-5", 10).isActiveRelay(startTime));
        CPPUNIT_ASSERT_MESSAGE("it uses its own sums",
                               !second.recordFleetReport("a-0", {}, startTime));
        CPPUNIT_ASSERT(!second.isActiveRelay(startTime));
        CPPUNIT_ASSERT(second.isActiveRelay(startTime + ZoneRelay::relaySilenceTimeout));
        second.recordFleetReport("a-0", {}, startTime + ZoneRelay::relaySilenceTimeout);
        CPPUNIT_ASSERT(!second.isActiveRelay(startTime + ZoneRelay::relaySilenceTimeout));
    }

    void totalsOfTheHighestRelayThatIsHeardAreUsed()
    {
        FleetRelay member("a-5", 10);
        CPPUNIT_ASSERT(member.recordFleetReport("a-1", {}, startTime));
        CPPUNIT_ASSERT(member.recordFleetReport("a-0", {}, startTime));
        CPPUNIT_ASSERT(!member.recordFleetReport("a-1", {}, startTime));
        CPPUNIT_ASSERT(
            member.recordFleetReport("a-1", {}, startTime + ZoneRelay::relaySilenceTimeout));
        CPPUNIT_ASSERT_MESSAGE("no relay", !member.recordFleetReport("a-2", {}, startTime));
        CPPUNIT_ASSERT_MESSAGE("another zone", !member.recordFleetReport("b-0", {}, startTime));
    }

    void aMemberTakesTheSilentZonesFromItsRelay()
    {
        FleetRelay member("a-5", 10);
        const Instant later = startTime + 2 * ZoneRelay::zoneSilenceTimeout;
        CPPUNIT_ASSERT_MESSAGE("it hears no zone itself", member.silentZones(later).empty());
        member.recordFleetReport("a-0", {"c"}, later);
        CPPUNIT_ASSERT(std::set<std::string> {"c"} == member.silentZones(later));
    }

    void aZoneWithoutReportsBecomesSilent()
    {
        for (const std::size_t membersPerZone : {3, 10}) {
            FleetRelay relay("a-1", membersPerZone);
            const Instant later = startTime + ZoneRelay::zoneSilenceTimeout;
            CPPUNIT_ASSERT(relay.silentZones(startTime).empty());
            if (membersPerZone == 3) {
                relay.recordMemberHeard("b-2", later);
            } else {
                relay.recordZoneHeard("b", later);
            }
            CPPUNIT_ASSERT(std::set<std::string> {"c"} == relay.silentZones(later));
        }
    }

    void theNextMemberReplacesALostRelay()
    {
        ZoneRelay relay("a-2", "a");
        std::vector<members::MemberRecord> records = makeFleet(10);
        records.erase(records.begin());
        relay.setMembers(records, startTime);
        CPPUNIT_ASSERT(!relay.remoteRelays().empty());
    }
};

REGISTER_SUITE(ZoneRelayTest, "zone_relay");

} // namespace azurespindle::serving
