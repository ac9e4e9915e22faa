#include "serving/zone_relay.h"

#include "support/suite.h"

namespace azurespindle::serving {
namespace {

const Instant start(seconds(100));

/// Returns \a each members in each of the zones a, b and c: a-0, a-1, …
std::vector<members::MemberRecord> fleet(std::size_t each)
{
    std::vector<members::MemberRecord> records;
    for (const std::string zone : {"a", "b", "c"}) {
        for (std::size_t number = 0; number < each; ++number) {
            members::MemberRecord record;
            record.name = zone + "-" + std::to_string(number);
            record.zone = zone;
            records.push_back(record);
        }
    }
    return records;
}

/// A member's relay in a fleet of \a each members in each zone.
class Relay : public ZoneRelay
{
public:
    Relay(const std::string &self, std::size_t each) : ZoneRelay(self, self.substr(0, 1))
    {
        this->setMembers(fleet(each), start);
    }
};

} // namespace

class ZoneRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ZoneRelayTest);
    CPPUNIT_TEST(inASmallFleetEachTellsAll);
    CPPUNIT_TEST(inALargeFleetEachTellsItsZoneAndTwoTellTheOtherZones);
    CPPUNIT_TEST(whatComesFromAnotherZoneIsPassedOnOnce);
    CPPUNIT_TEST(aZoneThatFallsSilentIsUnheard);
    CPPUNIT_TEST(theNextMemberTakesThePlaceOfALostRelay);
    CPPUNIT_TEST_SUITE_END();

public:
    void inASmallFleetEachTellsAll()
    {
        const Relay relay("a-0", 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), relay.reportRecipients().size());
        CPPUNIT_ASSERT(relay.remoteRelays().empty());
    }

    void inALargeFleetEachTellsItsZoneAndTwoTellTheOtherZones()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), Relay("a-5", 10).reportRecipients().size());
        CPPUNIT_ASSERT(Relay("a-5", 10).remoteRelays().empty());
        const std::vector<std::string> expected {"b-0", "b-1", "c-0", "c-1"};
        CPPUNIT_ASSERT(expected == Relay("a-0", 10).remoteRelays());
        CPPUNIT_ASSERT(expected == Relay("a-1", 10).remoteRelays());
    }

    void whatComesFromAnotherZoneIsPassedOnOnce()
    {
        const Relay relay("a-0", 10);
        CPPUNIT_ASSERT(relay.forwardsFrom("b-1"));
        CPPUNIT_ASSERT(!relay.forwardsFrom("a-1"));
        CPPUNIT_ASSERT(!relay.forwardsFrom("stranger"));
    }

    void aZoneThatFallsSilentIsUnheard()
    {
        for (const std::size_t each : {3, 10}) {
            Relay relay("a-4", each);
            const Instant later = start + ZoneRelay::zoneSilenceTimeout;
            CPPUNIT_ASSERT(relay.silentZones(start).empty());
            if (each == 3) {
                relay.recordMemberHeard("b-2", later);
            } else {
                relay.recordZoneHeard("b", later);
            }
            CPPUNIT_ASSERT(std::set<std::string> {"c"} == relay.silentZones(later));
        }
    }

    void theNextMemberTakesThePlaceOfALostRelay()
    {
        ZoneRelay relay("a-2", "a");
        std::vector<members::MemberRecord> records = fleet(10);
        records.erase(records.begin());
        relay.setMembers(records, start);
        CPPUNIT_ASSERT(!relay.remoteRelays().empty());
    }
};

REGISTER_SUITE(ZoneRelayTest, "zone_relay");

} // namespace azurespindle::serving
