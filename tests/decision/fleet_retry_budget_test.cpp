#include "decision/fleet_retry_budget.h"

#include "support/suite.h"

#include <random>
#include <string>
#include <vector>

namespace azurespindle::decision {
namespace {

constexpr FleetRetryLimits limits {0.2, 58.0, milliseconds(10'000)};
const std::string service = "engines";

/// Resends as often as the budget allows at \a now and returns how often.
std::size_t spendAll(FleetRetryBudget &budget, bool generation, Instant now)
{
    std::size_t spent = 0;
    while (budget.allows(service, generation, now)) {
        budget.recordResend(service, now);
        spent += 1;
    }
    return spent;
}

FleetRetryBudget makeBudget(std::size_t processes)
{
    FleetRetryBudget budget;
    budget.setLimits(limits);
    budget.setProcessCount(processes);
    return budget;
}

} // namespace

class FleetRetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetRetryBudgetTest);
    CPPUNIT_TEST(partitionedProcessesStayWithinTheFleetLimit);
    CPPUNIT_TEST(aBusyProcessBorrowsUnusedBudgetOfItsPeers);
    CPPUNIT_TEST(concurrentBorrowersStayWithinTheLimit);
    CPPUNIT_TEST(aLargeFleetBorrowsOnTheTotalsOfZones);
    CPPUNIT_TEST(staleCountsOfPeersAllowNoBorrowing);
    CPPUNIT_TEST(retriesLeaveBudgetForGenerations);
    CPPUNIT_TEST(resendsLeaveTheSlidingWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Each of nine processes is partitioned from all others, sees failures only and resends as
    /// often as it may.
    void partitionedProcessesStayWithinTheFleetLimit()
    {
        constexpr std::size_t processes = 9;
        std::size_t spent = 0;
        std::size_t requests = 0;
        for (std::size_t process = 0; process < processes; ++process) {
            FleetRetryBudget budget = makeBudget(processes);
            for (std::size_t request = 0; request < 5 * process; ++request) {
                budget.recordRequest(service, Instant(seconds(20)));
                requests += 1;
            }
            spent += spendAll(budget, true, Instant(seconds(20)));
        }
        const double most = limits.share * static_cast<double>(requests) + limits.burst;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(spent) + " of " + std::to_string(most),
                               static_cast<double>(spent) <= most);
        CPPUNIT_ASSERT(static_cast<double>(spent) >= 0.6 * most);
    }

    void aBusyProcessBorrowsUnusedBudgetOfItsPeers()
    {
        const Instant now(seconds(20));
        FleetRetryBudget alone = makeBudget(9);
        FleetRetryBudget informed = makeBudget(9);
        for (int peer = 0; peer < 8; ++peer) {
            informed.updatePeer("p" + std::to_string(peer), {{service, 10, 0}}, now);
        }
        const std::size_t own = spendAll(alone, true, now);
        const std::size_t borrowed = spendAll(informed, true, now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(own) + " then " + std::to_string(borrowed),
                               borrowed > 3 * own);
    }

    /// All nine processes borrow at the same moment, before they receive each other's counts.
    void concurrentBorrowersStayWithinTheLimit()
    {
        Instant now(seconds(20));
        constexpr std::size_t processes = 9;
        std::vector<FleetRetryBudget> fleet(processes, makeBudget(processes));
        std::mt19937 random(3);
        std::size_t spent = 0;
        for (int round = 0; round < 40; ++round) {
            for (std::size_t process = 0; process < processes; ++process) {
                for (std::size_t peer = 0; peer < processes; ++peer) {
                    if (peer != process) {
                        fleet[process].updatePeer(std::to_string(peer), fleet[peer].counts(now),
                                                  now);
                    }
                }
            }
            // Between two reports each process may want to resend one generation.
            for (FleetRetryBudget &budget : fleet) {
                if (random() % 2 == 0 && budget.allows(service, true, now)) {
                    budget.recordResend(service, now);
                    spent += 1;
                }
            }
            now += milliseconds(200);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(spent), static_cast<double>(spent) <= limits.burst);
    }

    /// Each of ninety processes has two or three generations, and those on one engine have to move
    /// at the same time. No process receives the counts of all others; zones report their totals.
    void aLargeFleetBorrowsOnTheTotalsOfZones()
    {
        constexpr std::size_t processes = 90;
        const Instant now(seconds(20));
        FleetRetryBudget alone = makeBudget(processes);
        FleetRetryBudget informed = makeBudget(processes);
        for (const char *zone : {"b", "c", "d"}) {
            informed.updateZone(zone, {{service, 200, 0}}, 22, now);
        }
        for (int peer = 0; peer < 23; ++peer) {
            informed.updatePeer("p" + std::to_string(peer), {{service, 8, 0}}, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), spendAll(alone, true, now));
        // All ninety may do so before they receive each other's counts.
        const std::size_t each = spendAll(informed, true, now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(each), each >= 1);
        const double whole = limits.burst + limits.share * (600 + 23 * 8);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(each),
                               static_cast<double>(each * processes) <= whole);
    }

    void staleCountsOfPeersAllowNoBorrowing()
    {
        FleetRetryBudget budget = makeBudget(2);
        budget.updatePeer("peer", {{service, 100, 0}}, Instant(seconds(20)));
        const Instant later = Instant(seconds(20)) + FleetRetryBudget::countsTimeout;
        FleetRetryBudget alone = makeBudget(2);
        CPPUNIT_ASSERT_EQUAL(spendAll(alone, true, later), spendAll(budget, true, later));
    }

    void retriesLeaveBudgetForGenerations()
    {
        const Instant now(seconds(20));
        FleetRetryBudget budget = makeBudget(2);
        const std::size_t retries = spendAll(budget, false, now);
        const std::size_t generations = spendAll(budget, true, now);
        CPPUNIT_ASSERT(retries > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(generations), generations >= retries / 2);
    }

    void resendsLeaveTheSlidingWindow()
    {
        FleetRetryBudget budget = makeBudget(1);
        const std::size_t first = spendAll(budget, true, Instant(seconds(20)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), spendAll(budget, true, Instant(seconds(29))));
        CPPUNIT_ASSERT_EQUAL(first, spendAll(budget, true, Instant(milliseconds(30'001))));
    }
};

REGISTER_SUITE(FleetRetryBudgetTest, "fleet_retry_budget");

} // namespace azurespindle::decision
