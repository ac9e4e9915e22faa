#include "decision/demand_meter.h"
#include "decision/fleet_demand.h"

#include "support/suite.h"

#include <limits>

namespace azurespindle::decision {
namespace {

const Instant start(seconds(100));

DemandReport makeReport(std::uint32_t waiting, double perSecond, std::uint64_t tokens)
{
    return {{{"models", 0, waiting, 2'000, milliseconds(100)}},
            {{"models", 0, perSecond, 2'000, 1'900, milliseconds(600)}},
            {{"gates", tokens}}};
}

} // namespace

class FleetDemandTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetDemandTest);
    CPPUNIT_TEST(reportsOfPeersAndZonesAreAdded);
    CPPUNIT_TEST(totalsOfARelayCountInsteadOfWhatIsHeard);
    CPPUNIT_TEST(whatWaitsElsewhereIsIgnoredAfterASecondOfSilence);
    CPPUNIT_TEST(ratesThatAreNotToldAreKept);
    CPPUNIT_TEST(sumsKeepTheLargestEntries);
    CPPUNIT_TEST(valuesOutOfRangeAreNotPlausible);
    CPPUNIT_TEST(aMeterFollowsTheRate);
    CPPUNIT_TEST(aMeterIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportsOfPeersAndZonesAreAdded()
    {
        FleetDemand demand;
        const DemandReport own = makeReport(1, 2.0, 100);
        CPPUNIT_ASSERT(!demand.knowsOthers(start));
        demand.updatePeer("p", makeReport(2, 3.0, 200), start);
        demand.updateZone("z", makeReport(4, 5.0, 400), start);
        CPPUNIT_ASSERT(demand.knowsOthers(start));
        CPPUNIT_ASSERT(makeReport(3, 5.0, 300) == demand.ownAndPeers(own, start));
        CPPUNIT_ASSERT(makeReport(7, 10.0, 700) == demand.heard(own, start));
        CPPUNIT_ASSERT(makeReport(7, 10.0, 700) == demand.ofFleet(own, start));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), demand.waitingElsewhere(own, start)[0].requests);
    }

    void totalsOfARelayCountInsteadOfWhatIsHeard()
    {
        FleetDemand demand;
        const DemandReport own = makeReport(1, 2.0, 100);
        demand.updatePeer("p", makeReport(2, 3.0, 200), start);
        demand.updateFleet(makeReport(9, 50.0, 900), start);
        CPPUNIT_ASSERT(makeReport(9, 50.0, 900) == demand.ofFleet(own, start));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(8), demand.waitingElsewhere(own, start)[0].requests);
        demand.removeSilent(start + seconds(4));
        CPPUNIT_ASSERT(own == demand.ofFleet(own, start + seconds(4)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), demand.sources());
    }

    /// A process that stopped must not hold back the others.
    void whatWaitsElsewhereIsIgnoredAfterASecondOfSilence()
    {
        FleetDemand demand;
        demand.updatePeer("p", makeReport(2, 3.0, 200), start);
        demand.updateZone("z", makeReport(2, 3.0, 200), start);
        const Instant later = start + milliseconds(1'001);
        CPPUNIT_ASSERT(demand.waitingElsewhere({}, later).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), demand.heard({}, later).arrivals.size());
        demand.updateFleet(makeReport(2, 3.0, 200), start);
        CPPUNIT_ASSERT(demand.waitingElsewhere({}, later).empty());
    }

    void ratesThatAreNotToldAreKept()
    {
        FleetDemand demand;
        demand.updatePeer("p", makeReport(2, 3.0, 200), start);
        demand.updatePeer("p", {}, start + seconds(2));
        const DemandReport heard = demand.heard({}, start + seconds(2));
        CPPUNIT_ASSERT(heard.waiting.empty());
        CPPUNIT_ASSERT_EQUAL(3.0, heard.arrivals.at(0).perSecond);
    }

    void sumsKeepTheLargestEntries()
    {
        std::vector<DemandReport> reports;
        for (std::uint64_t tokens = 1; tokens <= 100; ++tokens) {
            DemandReport report;
            report.workspaces.push_back({"w" + std::to_string(tokens), tokens});
            reports.push_back(report);
        }
        const DemandReport sum = sumOf(reports);
        CPPUNIT_ASSERT_EQUAL(DemandReport::maxEntries, sum.workspaces.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), sum.workspaces.front().tokens);
        CPPUNIT_ASSERT(isPlausible(sum));
    }

    void valuesOutOfRangeAreNotPlausible()
    {
        CPPUNIT_ASSERT(isPlausible(makeReport(1, 2.0, 100)));
        for (const double rate : {-1.0, 1e300, std::numeric_limits<double>::quiet_NaN(),
                                  std::numeric_limits<double>::infinity()}) {
            CPPUNIT_ASSERT(!isPlausible(makeReport(1, rate, 100)));
        }
        CPPUNIT_ASSERT_MESSAGE("a queue of a billion",
                               !isPlausible(makeReport(1'000'000'000, 1.0, 100)));
        CPPUNIT_ASSERT(!isPlausible(makeReport(1, 1.0, std::uint64_t(1) << 62U)));
        DemandReport report = makeReport(1, 1.0, 1);
        report.waiting[0].oldest = milliseconds(-1);
        CPPUNIT_ASSERT(!isPlausible(report));
        report = makeReport(1, 1.0, 1);
        report.workspaces.resize(DemandReport::maxEntries + 1);
        CPPUNIT_ASSERT(!isPlausible(report));
    }

    void aMeterFollowsTheRate()
    {
        DemandMeter meter;
        Instant now = start;
        for (int request = 0; request < 400; ++request) {
            now += milliseconds(50);
            meter.recordArrival("models", 1, 2'300, 2'200, now);
        }
        meter.recordStay("models", 1, milliseconds(600));
        meter.recordStay("unknown", 1, milliseconds(600));
        for (const milliseconds window : {DemandMeter::shortWindow, DemandMeter::longWindow}) {
            const std::vector<ArrivalRate> rates = meter.rates(window, now);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), rates.size());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(20.0, rates[0].perSecond, 2.0);
            CPPUNIT_ASSERT_EQUAL(Tokens(2'300), rates[0].memory);
            CPPUNIT_ASSERT(milliseconds(600) == rates[0].stay);
        }
        CPPUNIT_ASSERT(milliseconds(600) == meter.stayOf("models", 1));
        CPPUNIT_ASSERT(milliseconds(0) == meter.stayOf("models", 2));
        CPPUNIT_ASSERT_MESSAGE("none arrived lately",
                               meter.rates(DemandMeter::shortWindow, now + seconds(30)).empty());
    }

    void aMeterIsBounded()
    {
        DemandMeter meter;
        for (int service = 0; service < 1'000; ++service) {
            meter.recordArrival("s" + std::to_string(service), 0, 1, 1, start);
        }
        CPPUNIT_ASSERT_EQUAL(DemandReport::maxEntries,
                             meter.rates(DemandMeter::shortWindow, start).size());
    }
};

REGISTER_SUITE(FleetDemandTest, "fleet_demand");

} // namespace azurespindle::decision
