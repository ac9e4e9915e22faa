#include "routing/crashing_fleet.h"
#include "support/suite.h"

#include <algorithm>
#include <random>

namespace azurespindle::routing {
namespace {

using tests::CrashingFleet;

constexpr milliseconds contactTime {3'000};
constexpr milliseconds betweenRequests {100};
constexpr std::size_t deadlySendsAllowed = 3;
constexpr std::size_t processes = 6;
constexpr std::size_t engines = 12;

/// Requests of which a share holds the deadly part. All share their key, and sound ones share their
/// other parts with the deadly ones.
struct Mixture
{
    double deadlyShare = 0.0;
    std::string path = "/long/1";
    std::uint64_t firstParts = 3;  ///< Number of different first parts.
    std::uint64_t secondParts = 4; ///< Number of different second parts.
    milliseconds time {20'000};
};

const std::vector<PromptPart> parts {{1, 100}, {2, 100}};

/// Returns the number of reports that suspect prompt parts.
std::size_t partReports(const tests::RouterHarness &harness)
{
    const auto reports = harness.allEffects<BroadcastCrash>();
    return static_cast<std::size_t>(
        std::count_if(reports.begin(), reports.end(), [](const BroadcastCrash &report) {
            return !report.parts.empty() && !report.cleared;
        }));
}

void sendMixed(CrashingFleet &fleet, std::mt19937 &random, const Mixture &mixture)
{
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    for (milliseconds sent {0}; sent < mixture.time; sent += betweenRequests) {
        const std::uint64_t first = 1 + random() % mixture.firstParts;
        const std::uint64_t second = 100 + random() % mixture.secondParts;
        const bool deadly = uniform(random) < mixture.deadlyShare;
        fleet.send(random() % processes,
                   deadly ? std::vector<std::uint64_t> {first, second, CrashingFleet::deadlyPart}
                          : std::vector<std::uint64_t> {first, second},
                   mixture.path);
        fleet.advanceTime(betweenRequests);
    }
}

} // namespace

class RouterCrashesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterCrashesTest);
    CPPUNIT_TEST(aPromptPartCannotKeepCrashingEngines);
    CPPUNIT_TEST(aCallerWithATaintedPromptIsServed);
    CPPUNIT_TEST(resetConnectionsBlameNoPart);
    CPPUNIT_TEST(aLossAtAnEngineThatRunsOnBlamesNoPart);
    CPPUNIT_TEST(lossesAtSeveralEnginesAtOnceWaitForTheStore);
    CPPUNIT_TEST(enginesThatCrashTogetherBlameNoPart);
    CPPUNIT_TEST(aProcessThatStartsLaterRefusesThePart);
    CPPUNIT_TEST(aSuspectIsNotRetriedOnAnotherEngine);
    CPPUNIT_TEST_SUITE_END();

public:
    void aPromptPartCannotKeepCrashingEngines()
    {
        for (const std::string path : {"/long/1", "/short/1"}) {
            for (const double share : {0.05, 0.1, 0.25, 0.5}) {
                for (unsigned seed = 1; seed <= 5; ++seed) {
                    CrashingFleet fleet(processes, engines);
                    std::mt19937 random(seed);
                    sendMixed(fleet, random, {share, path});
                    const std::string message = path + ", share " + std::to_string(share)
                        + ", seed " + std::to_string(seed) + ", crashes "
                        + std::to_string(fleet.crashes());
                    CPPUNIT_ASSERT_MESSAGE(message,
                                           fleet.deadlyRunsAfterFifthCrash(contactTime)
                                               <= deadlySendsAllowed);
                    CPPUNIT_ASSERT_MESSAGE(message, 2 * fleet.soundBegun() >= fleet.soundSent());
                }
            }
        }
    }

    /// Few sound requests share all other parts of many deadly ones.
    void aCallerWithATaintedPromptIsServed()
    {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            CrashingFleet fleet(processes, engines);
            std::mt19937 random(seed);
            sendMixed(fleet, random, {0.9, "/long/1", 1, 1, milliseconds(10'000)});
            const std::size_t sentBefore = fleet.soundSent();
            const std::size_t begunBefore = fleet.soundBegun();
            sendMixed(fleet, random, {0.5, "/long/1", 1, 1, milliseconds(20'000)});
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   2 * (fleet.soundBegun() - begunBefore)
                                       >= fleet.soundSent() - sentBefore);
            CPPUNIT_ASSERT(fleet.deadlyRunsAfterFifthCrash(contactTime) <= deadlySendsAllowed);
        }
    }

    void resetConnectionsBlameNoPart()
    {
        CrashingFleet fleet(processes, engines);
        std::mt19937 random(1);
        for (std::size_t reset = 0; reset < 30; ++reset) {
            sendMixed(fleet, random, {0.0, "/long/1", 1, 2, milliseconds(500)});
            fleet.resetConnections(reset % processes);
        }
        fleet.advanceTime(milliseconds(2'000));
        CPPUNIT_ASSERT(!fleet.blocksSoundPart());
        CPPUNIT_ASSERT(2 * fleet.soundBegun() >= fleet.soundSent());
    }

    void aLossAtAnEngineThatRunsOnBlamesNoPart()
    {
        tests::RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const RequestId lost = harness.sendRequest("/long/1", "k1", "", parts);
        const RequestId other = harness.sendRequest("/long/1", "k1", "", parts);
        harness.advanceTime(milliseconds(100));
        harness.endAttempt(lost, AttemptEnd::Lost);
        harness.advanceTime(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), partReports(harness));
        harness.endAttempt(other, AttemptEnd::Lost);
        harness.advanceTime(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), partReports(harness));
    }

    void lossesAtSeveralEnginesAtOnceWaitForTheStore()
    {
        tests::RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const RequestId first = harness.sendRequest("/long/1", "k1", "", parts);
        harness.addEngine("e2");
        const RequestId second = harness.sendRequest("/long/1", "k1", "", parts);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.lastUpstream());
        harness.endAttempt(first, AttemptEnd::Lost);
        harness.endAttempt(second, AttemptEnd::Lost);
        harness.advanceTime(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), partReports(harness));
        harness.restart("e1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), partReports(harness));
    }

    void enginesThatCrashTogetherBlameNoPart()
    {
        CrashingFleet fleet(processes, engines);
        std::mt19937 random(1);
        for (int outage = 0; outage < 3; ++outage) {
            sendMixed(fleet, random, {0.0, "/long/1", 1, 2, milliseconds(5'000)});
            for (const char *engine : {"e1", "e2", "e3", "e4", "e5", "e6"}) {
                fleet.crash(engine);
            }
        }
        sendMixed(fleet, random, {0.0, "/long/1", 1, 2, milliseconds(2'000)});
        CPPUNIT_ASSERT(!fleet.blocksSoundPart());
    }

    void aProcessThatStartsLaterRefusesThePart()
    {
        CrashingFleet fleet(processes, engines);
        std::mt19937 random(1);
        sendMixed(fleet, random, {0.25, "/long/1", 3, 4, milliseconds(10'000)});
        const std::size_t later = fleet.addProcess();
        fleet.advanceTime(milliseconds(2'000));
        const std::size_t runs = fleet.deadlyRunCount();
        CPPUNIT_ASSERT(runs >= decision::CrashSuspects::crashesToBlock);
        fleet.send(later, {77, CrashingFleet::deadlyPart});
        CPPUNIT_ASSERT_EQUAL(runs, fleet.deadlyRunCount());
    }

    void aSuspectIsNotRetriedOnAnotherEngine()
    {
        CrashingFleet fleet(processes, engines);
        fleet.send(0, {CrashingFleet::deadlyPart}, "/short/1");
        fleet.advanceTime(milliseconds(2'000));
        const std::size_t first = fleet.deadlyRunCount();
        fleet.send(1, {CrashingFleet::deadlyPart}, "/short/1");
        fleet.advanceTime(milliseconds(2'000));
        CPPUNIT_ASSERT_EQUAL(first + 1, fleet.deadlyRunCount());
    }
};

REGISTER_SUITE(RouterCrashesTest, "router_crashes");

} // namespace azurespindle::routing
