#include "routing/crashing_fleet.h"
#include "support/suite.h"

#include <random>

namespace azurespindle::routing {
namespace {

using tests::CrashingFleet;

constexpr milliseconds contactTime {3'000};
constexpr milliseconds betweenRequests {100};
constexpr std::size_t deadlySendsAllowed = 3;

/// Sends requests for \a time, of which a share holds the deadly part. All share their key, and
/// sound ones share their other parts with the deadly ones.
void sendMixed(CrashingFleet &fleet, std::mt19937 &random, std::size_t processes, double share,
               milliseconds time)
{
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    for (milliseconds sent {0}; sent < time; sent += betweenRequests) {
        const std::uint64_t first = 1 + random() % 3;
        const std::uint64_t second = 100 + random() % 4;
        const bool deadly = uniform(random) < share;
        fleet.send(random() % processes,
                   deadly ? std::vector<std::uint64_t> {first, second, CrashingFleet::deadlyPart}
                          : std::vector<std::uint64_t> {first, second});
        fleet.advanceTime(betweenRequests);
    }
}

} // namespace

class RouterCrashesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterCrashesTest);
    CPPUNIT_TEST(aPromptPartCannotKeepCrashingEngines);
    CPPUNIT_TEST_SUITE_END();

public:
    void aPromptPartCannotKeepCrashingEngines()
    {
        constexpr std::size_t processes = 6;
        for (const double share : {0.05, 0.1, 0.25, 0.5}) {
            for (unsigned seed = 1; seed <= 5; ++seed) {
                CrashingFleet fleet(processes, 12);
                std::mt19937 random(seed);
                sendMixed(fleet, random, processes, share, milliseconds(20'000));
                const std::string message = "share " + std::to_string(share) + ", seed "
                    + std::to_string(seed) + ", crashes " + std::to_string(fleet.crashes());
                CPPUNIT_ASSERT_MESSAGE(
                    message, fleet.deadlyRunsAfterFifthCrash(contactTime) <= deadlySendsAllowed);
                CPPUNIT_ASSERT_MESSAGE(message, 2 * fleet.soundBegun() >= fleet.soundSent());
            }
        }
    }
};

REGISTER_SUITE(RouterCrashesTest, "router_crashes");

} // namespace azurespindle::routing
