#include "serving/directory.h"

#include "metrics/registry.h"
#include "support/suite.h"

#include <map>

namespace azurespindle::serving {
namespace {

decision::UpstreamsListed listing(std::size_t count)
{
    decision::UpstreamsListed listed;
    for (std::size_t index = 0; index < count; ++index) {
        listed.upstreams.push_back({"e" + std::to_string(index), "z", {}, {}});
    }
    return listed;
}

bool inSameRegion(const std::string &)
{
    return true;
}

} // namespace

class DirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryTest);
    CPPUNIT_TEST(eachProcessUsesAFewUpstreamsAndEachUpstreamIsUsed);
    CPPUNIT_TEST(aNewUpstreamChangesTheSubsetOfFewProcesses);
    CPPUNIT_TEST(leavingUpstreamsAreAlwaysListed);
    CPPUNIT_TEST(upstreamsOfTheOwnRegionArePreferred);
    CPPUNIT_TEST(conditionFollowsOutMarksAndVmState);
    CPPUNIT_TEST(metricSeriesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachProcessUsesAFewUpstreamsAndEachUpstreamIsUsed()
    {
        const decision::UpstreamsListed all = listing(135);
        std::map<std::string, int> processesByUpstream;
        for (int process = 0; process < 227; ++process) {
            const auto used
                = rendezvousSubset(all, "entry-" + std::to_string(process), 4, inSameRegion);
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), used.upstreams.size());
            for (const auto &each : used.upstreams) {
                processesByUpstream[each.name] += 1;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(135), processesByUpstream.size());
    }

    void aNewUpstreamChangesTheSubsetOfFewProcesses()
    {
        int moved = 0;
        for (int process = 0; process < 227; ++process) {
            const std::string name = "entry-" + std::to_string(process);
            moved += rendezvousSubset(listing(135), name, 4, inSameRegion)
                    == rendezvousSubset(listing(136), name, 4, inSameRegion)
                ? 0
                : 1;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(moved), moved < 20);
    }

    void leavingUpstreamsAreAlwaysListed()
    {
        decision::UpstreamsListed all = listing(10);
        all.upstreams[3].condition = decision::Condition::Leaving;
        CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                             rendezvousSubset(all, "p", 2, inSameRegion).upstreams.size());
    }

    void upstreamsOfTheOwnRegionArePreferred()
    {
        decision::UpstreamsListed all = listing(30);
        for (std::size_t index = 0; index < 10; ++index) {
            all.upstreams[index].zone = "here";
        }
        const IsSameRegion isSameRegion = [](const std::string &zone) { return zone == "here"; };
        for (const auto &each : rendezvousSubset(all, "p", 8, isSameRegion).upstreams) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, std::string("here"), each.zone);
        }
        // If all upstreams of the region are out, a few of other regions are used.
        for (std::size_t index = 0; index < 10; ++index) {
            all.upstreams[index].condition = decision::Condition::Out;
        }
        std::size_t serving = 0;
        for (const auto &each : rendezvousSubset(all, "p", 8, isSameRegion).upstreams) {
            serving += each.condition == decision::Condition::Serving ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(minUpstreamsPerPool), serving);
    }

    void conditionFollowsOutMarksAndVmState()
    {
        configuration::Document document;
        document.revision = 1;
        document.models = {{"m", "", {}}};
        document.outOfServiceMarks = {{configuration::SubjectKind::Zone, "north", "power"}};
        configuration::VmList vms;
        vms.vms = {{"e0", "north", configuration::VmRole::Engine, {}, {}, "m"},
                   {"e1",
                    "south",
                    configuration::VmRole::Engine,
                    configuration::VmState::Leaving,
                    {},
                    "m"},
                   {"e2", "south", configuration::VmRole::Engine, {}, {}, "m"},
                   {"e3", "south", configuration::VmRole::Engine, {}, {}, "unknown model"}};
        const Directory directory = buildDirectory(document, vms);
        const auto listed = directory.listing("m").upstreams;
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), listed.size());
        CPPUNIT_ASSERT(listed[0].condition == decision::Condition::Out);
        CPPUNIT_ASSERT(listed[1].condition == decision::Condition::Leaving);
        CPPUNIT_ASSERT(listed[2].condition == decision::Condition::Serving);
        CPPUNIT_ASSERT_EQUAL(std::string("zone north is marked out: power"),
                             directory.unavailableReason("entry-0", "north"));
        CPPUNIT_ASSERT(directory.unavailableReason("entry-1", "south").empty());
    }

    void metricSeriesAreBounded()
    {
        metrics::Registry registry;
        for (std::size_t index = 0; index < 3 * metrics::Registry::maxSeries; ++index) {
            registry.observe(metrics::Measure::Gap, "w" + std::to_string(index), "c", 0.1);
        }
        const std::size_t others = metrics::Registry::shardCount;
        CPPUNIT_ASSERT(registry.seriesCount() <= metrics::Registry::maxSeries + others);
    }
};

REGISTER_SUITE(DirectoryTest, "directory");

} // namespace azurespindle::serving
