#include "decision/lease_manager.h"

#include "support/suite.h"

#include <random>

namespace azurespindle::decision {
namespace {

configuration::UpstreamPolicy policy()
{
    configuration::UpstreamPolicy policy;
    policy.coldConcurrency = 2;
    policy.maxConcurrency = 40;
    return policy;
}

LeaseRequest request(const std::string &holder, std::uint32_t inUse, std::uint32_t wanted)
{
    LeaseRequest asked {holder, "e1", inUse, wanted, {}, {}};
    asked.observations.gapsInTime = inUse;
    asked.observations.peakOutstanding = inUse;
    return asked;
}

/// A lease holder that starts at most as many attempts as its current lease allows.
struct Holder
{
    std::string name;
    std::uint32_t running = 0;
    LeaseGrant grant;
    Instant granted;
    bool partitioned = false;

    std::uint32_t slots(Instant now) const
    {
        if (now < this->granted + this->grant.duration) {
            return this->grant.concurrency;
        }
        const bool standalone = now < this->granted + this->grant.standaloneDuration;
        return standalone ? this->grant.standalone : 0;
    }
};

} // namespace

class LeaseManagerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseManagerTest);
    CPPUNIT_TEST(grantsOfAColdUpstreamStayWithinItsLimit);
    CPPUNIT_TEST(attemptsInFlightNeverExceedTheLimitUnderRandomFailures);
    CPPUNIT_TEST(aNewManagerGrantsNothingUntilItsPredecessorsLeasesExpire);
    CPPUNIT_TEST(aNewManagerStartsWithTheAttemptsInFlight);
    CPPUNIT_TEST(anUpstreamOutOfServiceGetsNoGrants);
    CPPUNIT_TEST(aGreedyHolderIsReducedToItsFairShare);
    CPPUNIT_TEST(onlyAWarmUpstreamHasAStandaloneShare);
    CPPUNIT_TEST(holdersPerUpstreamAreBounded);
    CPPUNIT_TEST(aContendedUpstreamIsDividedByWaitingWorkspaces);
    CPPUNIT_TEST(serviceByOtherHoldersIsReportedWhereTheWorkspaceWaits);
    CPPUNIT_TEST(reportedWorkspacesAreBounded);
    CPPUNIT_TEST(managersInAPartitionShareTheLimitByTheEnginesReport);
    CPPUNIT_TEST_SUITE_END();

public:
    void grantsOfAColdUpstreamStayWithinItsLimit()
    {
        LeaseManager manager;
        manager.manage("e1", policy(), Instant(), false);
        std::uint32_t granted = 0;
        for (int index = 0; index < 9; ++index) {
            granted += ask(manager, request("h" + std::to_string(index), 0, 5), 10).concurrency;
        }
        CPPUNIT_ASSERT_EQUAL(2U, granted);
    }

    /// Nine holders request leases, start and finish attempts, and lose their connection at random.
    /// The attempts in flight must never exceed the highest limit so far.
    void attemptsInFlightNeverExceedTheLimitUnderRandomFailures()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            this->simulateRandomFailures(seed);
        }
    }

    void aNewManagerGrantsNothingUntilItsPredecessorsLeasesExpire()
    {
        LeaseManager manager;
        manager.manage("e1", policy(), Instant(), true);
        CPPUNIT_ASSERT_EQUAL(0U, ask(manager, request("h", 0, 5), grantsFromMs - 1).concurrency);
        CPPUNIT_ASSERT(ask(manager, request("h", 0, 5), grantsFromMs).concurrency > 0);
    }

    void aNewManagerStartsWithTheAttemptsInFlight()
    {
        LeaseManager manager;
        manager.manage("e1", policy(), Instant(), true);
        ask(manager, request("a", 9, 0), grantsFromMs - 1'500);
        ask(manager, request("b", 8, 0), grantsFromMs);
        CPPUNIT_ASSERT_EQUAL(17U, manager.limit("e1"));
    }

    void anUpstreamOutOfServiceGetsNoGrants()
    {
        LeaseManager manager;
        manager.manage("e1", policy(), Instant(), false);
        manager.setCondition("e1", Condition::Out);
        CPPUNIT_ASSERT_EQUAL(0U, ask(manager, request("h", 0, 5), 10).concurrency);
    }

    void aGreedyHolderIsReducedToItsFairShare()
    {
        LeaseManager manager;
        warmUp(manager);
        CPPUNIT_ASSERT_EQUAL(40U, ask(manager, request("greedy", 40, 100), 30'000).concurrency);
        CPPUNIT_ASSERT_EQUAL(0U, ask(manager, request("small", 0, 10), 30'100).concurrency);
        // The renewal takes back the excess: the holder may start nothing until it has fewer
        // attempts in flight than its half.
        CPPUNIT_ASSERT_EQUAL(20U, ask(manager, request("greedy", 25, 100), 30'200).concurrency);
        CPPUNIT_ASSERT_EQUAL(10U, ask(manager, request("small", 0, 10), 30'300).concurrency);
    }

    void onlyAWarmUpstreamHasAStandaloneShare()
    {
        LeaseManager manager;
        manager.manage("e1", policy(), Instant(), false);
        CPPUNIT_ASSERT_EQUAL(0U, ask(manager, request("h", 0, 5), 10).standalone);
        LeaseManager warmed;
        warmUp(warmed);
        const std::uint32_t share = ask(warmed, request("h", 30, 5), 30'000).standalone;
        CPPUNIT_ASSERT_EQUAL(40U / 9U, share);
    }

    void holdersPerUpstreamAreBounded()
    {
        LeaseManager manager;
        manager.manage("e1", policy(), Instant(), false);
        for (std::size_t index = 0; index < LeaseManager::maxHolders; ++index) {
            ask(manager, request("h" + std::to_string(index), 0, 0), 10);
        }
        CPPUNIT_ASSERT_EQUAL(0U, ask(manager, request("one too many", 0, 1), 20).concurrency);
        CPPUNIT_ASSERT(ask(manager, request("later", 0, 1), 70'000).concurrency > 0);
    }

    /// One workspace waits at holder p0 only, the other at all four holders. Each workspace gets
    /// half of the attempts, however many holders request them.
    void aContendedUpstreamIsDividedByWaitingWorkspaces()
    {
        LeaseManager manager = managerWithFixedLimit();
        std::uint32_t first = 0;
        std::uint32_t second = 0;
        for (int round = 0; round < 4; ++round) {
            for (int holder = 0; holder < 4; ++holder) {
                LeaseRequest asked = request("p" + std::to_string(holder), 0, 60);
                asked.workspaces = {{2, 1.0F, true, 0}};
                if (holder == 0) {
                    asked.workspaces.push_back({1, 1.0F, true, 0});
                }
                const LeaseGrant grant = ask(manager, asked, 1'000 + round * 100 + holder);
                CPPUNIT_ASSERT(round < 2 || grant.contended);
                (holder == 0 ? first : second) = grant.concurrency;
            }
        }
        const std::uint32_t limit = manager.limit("e1");
        const std::string context = std::to_string(first) + " and " + std::to_string(second)
            + " of " + std::to_string(limit);
        CPPUNIT_ASSERT_MESSAGE(context, first >= limit / 2 && first <= limit * 3 / 4);
        CPPUNIT_ASSERT_MESSAGE(context, second > 0 && second <= limit / 6);
    }

    void serviceByOtherHoldersIsReportedWhereTheWorkspaceWaits()
    {
        LeaseManager manager = managerWithFixedLimit();
        LeaseRequest waiting = request("p0", 1, 1);
        waiting.workspaces = {{7, 1.0F, true, 0}};
        ask(manager, waiting, 1'000);
        LeaseRequest serving = request("p1", 1, 0);
        serving.workspaces = {{7, 1.0F, false, 30}, {8, 1.0F, false, 40}};
        CPPUNIT_ASSERT(ask(manager, serving, 1'100).remoteUsage.empty());
        ask(manager, serving, 1'200);
        const LeaseGrant grant = ask(manager, waiting, 1'300);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), grant.remoteUsage.size());
        CPPUNIT_ASSERT(grant.remoteUsage.front() == (RemoteUsage {7, 60}));
        // Service is reported once.
        CPPUNIT_ASSERT_EQUAL(0, ask(manager, waiting, 1'400).remoteUsage.front().served);
    }

    void reportedWorkspacesAreBounded()
    {
        LeaseManager manager = managerWithFixedLimit();
        LeaseRequest asked = request("p0", 1, 1);
        for (WorkspaceKey key = 0; key < 1'000; ++key) {
            asked.workspaces.push_back({key, 1.0F, true, 0});
        }
        ask(manager, asked, 1'000);
        CPPUNIT_ASSERT_EQUAL(LeaseManager::maxReportedWorkspaces,
                             ask(manager, asked, 1'100).remoteUsage.size());
    }

    /// The managers on both sides of a partition each grant to a holder that wants every attempt.
    /// They learn of each other's grants only from the engine's load report.
    void managersInAPartitionShareTheLimitByTheEnginesReport()
    {
        LeaseManager sides[] = {managerWithFixedLimit(), managerWithFixedLimit()};
        std::uint32_t running[] = {0, 0};
        for (int second = 1; second < 20; ++second) {
            for (int side = 0; side < 2; ++side) {
                const LeaseRequest asked = request("p" + std::to_string(side), running[side], 24);
                running[side] = ask(sides[side], asked, second * 1'000 + side).concurrency;
            }
            // Attempts last one second; those just started show in the engine's report.
            sides[0].recordActiveGenerations("e1", running[0] + running[1]);
            sides[1].recordActiveGenerations("e1", running[0] + running[1]);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(running[0]) + " and " + std::to_string(running[1]),
                               running[0] + running[1] <= 24);
    }

private:
    /// Returns a manager whose upstream has a fixed limit of 24 attempts.
    static LeaseManager managerWithFixedLimit()
    {
        configuration::UpstreamPolicy policy;
        policy.coldConcurrency = 24;
        policy.maxConcurrency = 24;
        LeaseManager manager;
        manager.manage("e1", policy, Instant(), false);
        return manager;
    }

    /// Time in milliseconds from which no lease of a predecessor can be valid.
    static constexpr int grantsFromMs
        = static_cast<int>((LeaseManager::warmLeaseDuration + LeaseManager::margin).count());

    static LeaseGrant ask(LeaseManager &manager, const LeaseRequest &request, int ms)
    {
        std::vector<journal::Entry> entries;
        return manager.handle(request, 9, Instant(milliseconds(ms)), entries);
    }

    /// Raises the limit of e1 to its maximum of 40 attempts.
    static void warmUp(LeaseManager &manager)
    {
        manager.manage("e1", policy(), Instant(), false);
        for (int window = 1; window <= 20; ++window) {
            ask(manager, request("warmer", manager.limit("e1"), 5), window * 500);
        }
        CPPUNIT_ASSERT_EQUAL(40U, manager.limit("e1"));
        ask(manager, request("warmer", 0, 0), 11'000);
    }

    void simulateRandomFailures(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        LeaseManager manager;
        manager.manage("e1", policy(), Instant(), false);
        std::vector<Holder> holders(9);
        std::uint32_t highest = 2;
        for (int step = 0; step < 4'000; ++step) {
            const int ms = step * 25;
            const Instant now {milliseconds(ms)};
            Holder &holder = holders[random() % holders.size()];
            holder.name = "h" + std::to_string(&holder - holders.data());
            if (chance(random) < 0.02) {
                holder.partitioned = !holder.partitioned;
            }
            if (!holder.partitioned && chance(random) < 0.5) {
                holder.grant = ask(manager, request(holder.name, holder.running, 4), ms);
                holder.granted = now;
            }
            if (chance(random) < 0.6 && holder.running < holder.slots(now)) {
                holder.running += 1;
            } else if (holder.running > 0 && chance(random) < 0.5) {
                holder.running -= 1;
            }
            highest = std::max(highest, manager.limit("e1"));
            std::uint32_t running = 0;
            for (const Holder &each : holders) {
                running += each.running;
            }
            const std::string context = "seed " + std::to_string(seed) + " step "
                + std::to_string(step) + ": running " + std::to_string(running) + ", highest limit "
                + std::to_string(highest);
            CPPUNIT_ASSERT_MESSAGE(context, running <= highest);
        }
    }
};

REGISTER_SUITE(LeaseManagerTest, "lease_manager");

} // namespace azurespindle::decision
