#include "decision/claim_differences.h"

#include "support/suite.h"

namespace azurespindle::decision {

class ClaimDifferencesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimDifferencesTest);
    CPPUNIT_TEST(onlyChangesAreToldBetweenCompleteReports);
    CPPUNIT_TEST(anEndedClaimIsToldOnce);
    CPPUNIT_TEST(memoryThatGrowsALittleWaits);
    CPPUNIT_TEST(aRestartTellsEverything);
    CPPUNIT_TEST(receiversThatHearEveryReportKnowAllClaims);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyChangesAreToldBetweenCompleteReports()
    {
        ClaimDifferences differences(3);
        const std::vector<UpstreamClaim> claims {{"e1", {1, 10, 0}}, {"e2", {2, 20, 0}}};
        CPPUNIT_ASSERT((ClaimUpdate {true, claims}) == differences.next(claims));
        CPPUNIT_ASSERT((ClaimUpdate {false, {}}) == differences.next(claims));
        const std::vector<UpstreamClaim> changed {{"e1", {1, 10, 0}}, {"e2", {3, 20, 0}}};
        CPPUNIT_ASSERT((ClaimUpdate {false, {changed[1]}}) == differences.next(changed));
        CPPUNIT_ASSERT((ClaimUpdate {true, changed}) == differences.next(changed));
    }

    void anEndedClaimIsToldOnce()
    {
        ClaimDifferences differences(100);
        differences.next({{"e1", {1, 10, 0}}});
        CPPUNIT_ASSERT((ClaimUpdate {false, {{"e1", {}}}}) == differences.next({}));
        CPPUNIT_ASSERT((ClaimUpdate {false, {}}) == differences.next({}));
    }

    void memoryThatGrowsALittleWaits()
    {
        ClaimDifferences differences(100);
        const Tokens step = ClaimDifferences::minMemoryChange / 2;
        differences.next({{"e1", {1, 5'000, 0}}});
        CPPUNIT_ASSERT(differences.next({{"e1", {1, 5'000 + step, 0}}}).claims.empty());
        CPPUNIT_ASSERT_MESSAGE("what was last told counts, not what was last seen",
                               differences.next({{"e1", {1, 5'000 + 2 * step, 0}}}).claims.size()
                                   == 1);
        CPPUNIT_ASSERT(differences.next({{"e1", {1, 5'000, 0}}}).claims.size() == 1);
    }

    void aRestartTellsEverything()
    {
        ClaimDifferences differences(100);
        const std::vector<UpstreamClaim> claims {{"e1", {1, 10, 0}}};
        differences.next(claims);
        differences.restart();
        CPPUNIT_ASSERT((ClaimUpdate {true, claims}) == differences.next(claims));
    }

    void receiversThatHearEveryReportKnowAllClaims()
    {
        const Instant now(seconds(1));
        ClaimDifferences differences(20);
        LoadTable sender;
        LoadTable receiver;
        std::uint64_t random = 1;
        for (int round = 0; round < 500; ++round) {
            random = random * 6'364'136'223'846'793'005ULL + 1;
            const std::string upstream = "e" + std::to_string((random >> 40U) % 7);
            if ((random >> 33U) % 2 == 0) {
                sender.add(upstream, {1, 2'000, 0});
            } else {
                sender.subtract(upstream, {1, 2'000, 0});
            }
            const ClaimUpdate update = differences.next(sender.allClaims());
            receiver.updateFleet(update.claims, update.complete, 0, now);
            for (int number = 0; number < 7; ++number) {
                const std::string each = "e" + std::to_string(number);
                CPPUNIT_ASSERT(sender.totalClaim(each) == receiver.totalClaim(each));
            }
        }
    }
};

REGISTER_SUITE(ClaimDifferencesTest, "claim_differences");

} // namespace azurespindle::decision
