#include "cli/fleet_explain.h"

#include "support/fleet.h"
#include "support/suite.h"

namespace azurespindle::cli {

class FleetExplainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetExplainTest);
    CPPUNIT_TEST(linesOfAllMembersAreMergedInTimeOrder);
    CPPUNIT_TEST(unresponsiveMembersAreListed);
    CPPUNIT_TEST(explanationOfAnUpstreamComesFromEveryMember);
    CPPUNIT_TEST_SUITE_END();

public:
    void linesOfAllMembersAreMergedInTimeOrder()
    {
        const std::string merged
            = mergeExplanations({{"a", "01 first\n03 third\n", true}, {"b", "02 second\n", true}});
        CPPUNIT_ASSERT_EQUAL(std::string("01 a first\n02 b second\n03 a third\n"), merged);
    }

    void unresponsiveMembersAreListed()
    {
        const std::string merged = mergeExplanations({{"a", "01 first\n", true}, {"b", "", false}});
        CPPUNIT_ASSERT_EQUAL(std::string("01 a first\nno answer from b\n"), merged);
        CPPUNIT_ASSERT_EQUAL(std::string("nothing recent concerns it in any member\n"),
                             mergeExplanations({{"a", "", true}}));
    }

    void explanationOfAnUpstreamComesFromEveryMember()
    {
        tests::Fleet fleet(18'500, 2, 2);
        const std::string address = fleet.url(0).substr(std::string("http://").size());
        const bool bothResponded = tests::Fleet::eventually(
            [&] { return explainFromMembers(address, "e0").size() == 2; });
        CPPUNIT_ASSERT(bothResponded);
        const std::string merged = mergeExplanations(explainFromMembers(address, "e0"));
        CPPUNIT_ASSERT_MESSAGE(merged, merged.find(" entry-0 ") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(merged, merged.find(" entry-1 ") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(merged, merged.find("steward-changed") != std::string::npos);
        CPPUNIT_ASSERT(explainFromMembers("127.0.0.1:1", "e0").empty());
    }
};

REGISTER_SUITE(FleetExplainTest, "fleet_explain");

} // namespace azurespindle::cli
