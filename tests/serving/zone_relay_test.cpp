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
    CPPUNIT_TEST(onlyReportsFromOtherZonesAreForwarded);
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
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), FleetRelay("a-5", 10).reportRecipients().size());
        CPPUNIT_ASSERT(FleetRelay("a-5", 10).remoteRelays().empty());
        const std::vector<std::string> expected {"b-0", "b-1", "c-0", "c-1"};
        CPPUNIT_ASSERT(expected == FleetRelay("a-0", 10).remoteRelays());
        CPPUNIT_ASSERT(expected == FleetRelay("a-1", 10).remoteRelays());
    }

    void onlyReportsFromOtherZonesAreForwarded()
    {
        const FleetRelay relay("a-0", 10);
        CPPUNIT_ASSERT(relay.forwardsFrom("b-1"));
        CPPUNIT_ASSERT(!relay.forwardsFrom("a-1"));
        CPPUNIT_ASSERT(!relay.forwardsFrom("stranger"));
    }

    void aZoneWithoutReportsBecomesSilent()
    {
        for (const std::size_t membersPerZone : {3, 10}) {
            FleetRelay relay("a-4", membersPerZone);
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
