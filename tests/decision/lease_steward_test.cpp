#include "decision/lease_steward.h"

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
    asked.evidence.gapsInTime = inUse;
    asked.evidence.peakOutstanding = inUse;
    return asked;
}

/// One holder as it behaves: it starts what its lease allows while the lease lasts.
struct Holder
{
    std::string name;
    std::uint32_t running = 0;
    LeaseGrant grant;
    Instant granted;
    bool cutOff = false;

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

class LeaseStewardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseStewardTest);
    CPPUNIT_TEST(nineHoldersOfAColdUpstreamShareWhatItBears);
    CPPUNIT_TEST(runningAttemptsNeverExceedTheLimitWhateverFails);
    CPPUNIT_TEST(aNewStewardWaitsOutItsPredecessorsLeases);
    CPPUNIT_TEST(aNewStewardBeginsAtWhatIsSeenToRun);
    CPPUNIT_TEST(anUpstreamMarkedOutGetsNoLease);
    CPPUNIT_TEST(aGreedyHolderLeavesTheOthersTheirShare);
    CPPUNIT_TEST(aColdUpstreamHasNoStandaloneShare);
    CPPUNIT_TEST(holdersAreBounded);
    CPPUNIT_TEST(aContendedUpstreamIsDividedByTheWorkspacesThatWait);
    CPPUNIT_TEST(serviceElsewhereIsToldWhereTheWorkspaceWaits);
    CPPUNIT_TEST(moreWorkspacesThanTheBoundAreNotKept);
    CPPUNIT_TEST(whatAnotherStewardHandedOutIsCountedByTheEnginesOwnReport);
    CPPUNIT_TEST_SUITE_END();

public:
    void nineHoldersOfAColdUpstreamShareWhatItBears()
    {
        LeaseSteward steward;
        steward.adopt("e1", policy(), Instant(), false);
        std::uint32_t granted = 0;
        for (int index = 0; index < 9; ++index) {
            granted += ask(steward, request("h" + std::to_string(index), 0, 5), 10).concurrency;
        }
        CPPUNIT_ASSERT_EQUAL(2U, granted);
    }

    /// Nine holders ask, start, finish, pause and are cut off at random. Whatever they do, what
    /// runs at the upstream is at most the highest limit it had within a lease's time.
    void runningAttemptsNeverExceedTheLimitWhateverFails()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            this->runAtRandom(seed);
        }
    }

    void aNewStewardWaitsOutItsPredecessorsLeases()
    {
        LeaseSteward steward;
        steward.adopt("e1", policy(), Instant(), true);
        CPPUNIT_ASSERT_EQUAL(0U, ask(steward, request("h", 0, 5), openAfter - 1).concurrency);
        CPPUNIT_ASSERT(ask(steward, request("h", 0, 5), openAfter).concurrency > 0);
    }

    void aNewStewardBeginsAtWhatIsSeenToRun()
    {
        LeaseSteward steward;
        steward.adopt("e1", policy(), Instant(), true);
        ask(steward, request("a", 9, 0), openAfter - 1'500);
        ask(steward, request("b", 8, 0), openAfter);
        CPPUNIT_ASSERT_EQUAL(17U, steward.limit("e1"));
    }

    void anUpstreamMarkedOutGetsNoLease()
    {
        LeaseSteward steward;
        steward.adopt("e1", policy(), Instant(), false);
        steward.setCondition("e1", Condition::Out);
        CPPUNIT_ASSERT_EQUAL(0U, ask(steward, request("h", 0, 5), 10).concurrency);
    }

    void aGreedyHolderLeavesTheOthersTheirShare()
    {
        LeaseSteward steward;
        warm(steward);
        CPPUNIT_ASSERT_EQUAL(40U, ask(steward, request("greedy", 40, 100), 30'000).concurrency);
        CPPUNIT_ASSERT_EQUAL(0U, ask(steward, request("small", 0, 10), 30'100).concurrency);
        // The next renewal takes the excess back: it may begin nothing until it is down to its
        // half.
        CPPUNIT_ASSERT_EQUAL(20U, ask(steward, request("greedy", 25, 100), 30'200).concurrency);
        CPPUNIT_ASSERT_EQUAL(10U, ask(steward, request("small", 0, 10), 30'300).concurrency);
    }

    void aColdUpstreamHasNoStandaloneShare()
    {
        LeaseSteward steward;
        steward.adopt("e1", policy(), Instant(), false);
        CPPUNIT_ASSERT_EQUAL(0U, ask(steward, request("h", 0, 5), 10).standalone);
        LeaseSteward warmed;
        warm(warmed);
        const std::uint32_t share = ask(warmed, request("h", 30, 5), 30'000).standalone;
        CPPUNIT_ASSERT_EQUAL(40U / 9U, share);
    }

    void holdersAreBounded()
    {
        LeaseSteward steward;
        steward.adopt("e1", policy(), Instant(), false);
        for (std::size_t index = 0; index < LeaseSteward::maxHolders; ++index) {
            ask(steward, request("h" + std::to_string(index), 0, 0), 10);
        }
        CPPUNIT_ASSERT_EQUAL(0U, ask(steward, request("one too many", 0, 1), 20).concurrency);
        CPPUNIT_ASSERT(ask(steward, request("later", 0, 1), 70'000).concurrency > 0);
    }

    /// One workspace waits at p0 only, the other at all four: half of the slots go to each.
    void aContendedUpstreamIsDividedByTheWorkspacesThatWait()
    {
        LeaseSteward steward = warmSteward();
        std::uint32_t first = 0;
        std::uint32_t second = 0;
        for (int round = 0; round < 4; ++round) {
            for (int holder = 0; holder < 4; ++holder) {
                LeaseRequest asked = request("p" + std::to_string(holder), 0, 60);
                asked.workspaces = {{2, 1.0F, true, 0}};
                if (holder == 0) {
                    asked.workspaces.push_back({1, 1.0F, true, 0});
                }
                const LeaseGrant grant = ask(steward, asked, 1'000 + round * 100 + holder);
                CPPUNIT_ASSERT(round < 2 || grant.contended);
                (holder == 0 ? first : second) = grant.concurrency;
            }
        }
        const std::uint32_t limit = steward.limit("e1");
        const std::string context = std::to_string(first) + " and " + std::to_string(second)
            + " of " + std::to_string(limit);
        CPPUNIT_ASSERT_MESSAGE(context, first >= limit / 2 && first <= limit * 3 / 4);
        CPPUNIT_ASSERT_MESSAGE(context, second > 0 && second <= limit / 6);
    }

    void serviceElsewhereIsToldWhereTheWorkspaceWaits()
    {
        LeaseSteward steward = warmSteward();
        LeaseRequest waiting = request("p0", 1, 1);
        waiting.workspaces = {{7, 1.0F, true, 0}};
        ask(steward, waiting, 1'000);
        LeaseRequest serving = request("p1", 1, 0);
        serving.workspaces = {{7, 1.0F, false, 30}, {8, 1.0F, false, 40}};
        CPPUNIT_ASSERT(ask(steward, serving, 1'100).foreign.empty());
        ask(steward, serving, 1'200);
        const LeaseGrant grant = ask(steward, waiting, 1'300);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), grant.foreign.size());
        CPPUNIT_ASSERT(grant.foreign.front() == (RemoteUsage {7, 60}));
        // Told once.
        CPPUNIT_ASSERT_EQUAL(0, ask(steward, waiting, 1'400).foreign.front().served);
    }

    void moreWorkspacesThanTheBoundAreNotKept()
    {
        LeaseSteward steward = warmSteward();
        LeaseRequest asked = request("p0", 1, 1);
        for (WorkspaceKey key = 0; key < 1'000; ++key) {
            asked.workspaces.push_back({key, 1.0F, true, 0});
        }
        ask(steward, asked, 1'000);
        CPPUNIT_ASSERT_EQUAL(LeaseSteward::maxToldWorkspaces,
                             ask(steward, asked, 1'100).foreign.size());
    }

    /// Two stewards in a partition, each with holders that want all: together they keep the limit.
    void whatAnotherStewardHandedOutIsCountedByTheEnginesOwnReport()
    {
        LeaseSteward sides[] = {warmSteward(), warmSteward()};
        std::uint32_t running[] = {0, 0};
        for (int second = 1; second < 20; ++second) {
            for (int side = 0; side < 2; ++side) {
                const LeaseRequest asked = request("p" + std::to_string(side), running[side], 24);
                running[side] = ask(sides[side], asked, second * 1'000 + side).concurrency;
            }
            // Attempts end each second; what was begun shows in the engine's report.
            sides[0].noteBusy("e1", running[0] + running[1]);
            sides[1].noteBusy("e1", running[0] + running[1]);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(running[0]) + " and " + std::to_string(running[1]),
                               running[0] + running[1] <= 24);
    }

private:
    /// Returns a steward whose upstream is given 24 attempts, the most of its policy.
    static LeaseSteward warmSteward()
    {
        configuration::UpstreamPolicy policy;
        policy.coldConcurrency = 24;
        policy.maxConcurrency = 24;
        LeaseSteward steward;
        steward.adopt("e1", policy, Instant(), false);
        return steward;
    }

    /// Milliseconds after which no lease of a predecessor can be in force.
    static constexpr int openAfter
        = static_cast<int>((LeaseSteward::warmLeaseDuration + LeaseSteward::margin).count());

    static LeaseGrant ask(LeaseSteward &steward, const LeaseRequest &request, int ms)
    {
        std::vector<journal::Entry> entries;
        return steward.handle(request, 9, Instant(milliseconds(ms)), entries);
    }

    static void warm(LeaseSteward &steward)
    {
        steward.adopt("e1", policy(), Instant(), false);
        for (int window = 1; window <= 20; ++window) {
            ask(steward, request("warmer", steward.limit("e1"), 5), window * 500);
        }
        CPPUNIT_ASSERT_EQUAL(40U, steward.limit("e1"));
        ask(steward, request("warmer", 0, 0), 11'000);
    }

    void runAtRandom(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        LeaseSteward steward;
        steward.adopt("e1", policy(), Instant(), false);
        std::vector<Holder> holders(9);
        std::uint32_t highest = 2;
        for (int step = 0; step < 4'000; ++step) {
            const int ms = step * 25;
            const Instant now {milliseconds(ms)};
            Holder &holder = holders[random() % holders.size()];
            holder.name = "h" + std::to_string(&holder - holders.data());
            if (chance(random) < 0.02) {
                holder.cutOff = !holder.cutOff;
            }
            if (!holder.cutOff && chance(random) < 0.5) {
                holder.grant = ask(steward, request(holder.name, holder.running, 4), ms);
                holder.granted = now;
            }
            if (chance(random) < 0.6 && holder.running < holder.slots(now)) {
                holder.running += 1;
            } else if (holder.running > 0 && chance(random) < 0.5) {
                holder.running -= 1;
            }
            highest = std::max(highest, steward.limit("e1"));
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

REGISTER_SUITE(LeaseStewardTest, "lease_steward");

} // namespace azurespindle::decision
