#include "decision/priority_reserve.h"

#include "support/suite.h"

namespace azurespindle::decision {
namespace {

constexpr Tokens engineMemory = 26'800;

/// 40 urgent requests a second, as in bursts of the contended workload, and a less urgent kind that
/// stays for seven seconds.
const std::vector<ArrivalRate> rates {{"models", 0, 40.0, 2'300, 2'200, milliseconds(600)},
                                      {"models", 2, 30.0, 3'400, 3'000, milliseconds(7'000)},
                                      {"others", 0, 500.0, 2'300, 2'200, milliseconds(600)}};
const RequestDemand longDemand {3'000, 3'400, false, false};

std::vector<UpstreamCandidate> makeEngines(std::size_t count, Tokens claimedMemory)
{
    UpstreamCandidate engine;
    engine.slots = 24;
    engine.memoryCapacity = engineMemory;
    engine.claimed = {claimedMemory / 3'400, claimedMemory, 0};
    return std::vector<UpstreamCandidate>(count, engine);
}

} // namespace

class PriorityReserveTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PriorityReserveTest);
    CPPUNIT_TEST(nothingIsKeptWithoutMoreUrgentRequests);
    CPPUNIT_TEST(theNeedGrowsWithTheRateAndTheStay);
    CPPUNIT_TEST(lessUrgentRequestsDoNotFillTheEngines);
    CPPUNIT_TEST(memoryInPartsIsNoPlace);
    CPPUNIT_TEST(aBacklogOfPromptsIsNoPlace);
    CPPUNIT_TEST(aQuarterOfTheFleetIsKeptAtMost);
    CPPUNIT_TEST(smallShortRequestsAreLetIn);
    CPPUNIT_TEST(urgentRequestsThatWaitElsewhereKeepTheirPlaces);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingIsKeptWithoutMoreUrgentRequests()
    {
        CPPUNIT_ASSERT(!urgentNeed("models", 0, rates, {}));
        CPPUNIT_ASSERT(!urgentNeed("models", 2, {rates[1], rates[2]}, {}));
        CPPUNIT_ASSERT(!urgentNeed("unknown", 2, rates, {}));
        CPPUNIT_ASSERT_MESSAGE(
            "none arrived lately",
            !urgentNeed("models", 2, {{"models", 0, 0.01, 2'300, 2'200, milliseconds(600)}}, {}));
    }

    void theNeedGrowsWithTheRateAndTheStay()
    {
        const auto need = urgentNeed("models", 2, rates, {});
        CPPUNIT_ASSERT(need);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(24.0 + 2.0 * 4.9, need->requests, 0.1);
        CPPUNIT_ASSERT_EQUAL(Tokens(2'300), need->memory);
        const ArrivalRate longer {"models", 0, 40.0, 2'300, 2'200, milliseconds(9'000)};
        CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE("a second ahead at most", 40.0 + 2.0 * 6.32,
                                             urgentNeed("models", 2, {longer}, {})->requests, 0.1);
    }

    /// 15 % of the urgent requests were rejected because long generations had filled the engines.
    void lessUrgentRequestsDoNotFillTheEngines()
    {
        const auto need = urgentNeed("models", 2, rates, {});
        std::vector<UpstreamCandidate> engines = makeEngines(57, 0);
        std::size_t placed = 0;
        for (std::size_t index = 0; index < 57 * 7; ++index) {
            UpstreamCandidate &engine = engines[index % 57];
            if (!leavesRoomFor(*need, engines, index % 57, longDemand, seconds(7))) {
                break;
            }
            engine.claimed += {1, longDemand.memory, 0};
            placed += 1;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(placed), placed > 57 * 6 && placed < 57 * 7);
    }

    void memoryInPartsIsNoPlace()
    {
        const auto need = urgentNeed("models", 2, rates, {});
        CPPUNIT_ASSERT_MESSAGE("57 engines with 2,000 free tokens each",
                               !leavesRoomFor(*need, makeEngines(57, 22'656), 0,
                                              {900, 1'000, false, false}, seconds(7)));
    }

    void aBacklogOfPromptsIsNoPlace()
    {
        const auto need = urgentNeed("models", 2, rates, {});
        std::vector<UpstreamCandidate> engines = makeEngines(57, 0);
        CPPUNIT_ASSERT(leavesRoomFor(*need, engines, 0, longDemand, seconds(7)));
        for (UpstreamCandidate &engine : engines) {
            engine.claimed.prefill = 9'000;
        }
        CPPUNIT_ASSERT(!leavesRoomFor(*need, engines, 0, longDemand, seconds(7)));
    }

    /// A rate that grows out of bounds must not shut out the other requests.
    void aQuarterOfTheFleetIsKeptAtMost()
    {
        const auto need
            = urgentNeed("models", 2, {{"models", 0, 9'000.0, 2'300, 2'200, seconds(1)}}, {});
        CPPUNIT_ASSERT(leavesRoomFor(*need, makeEngines(4, 0), 0, longDemand, seconds(7)));
        std::vector<UpstreamCandidate> engines = makeEngines(4, 22'000);
        CPPUNIT_ASSERT(leavesRoomFor(*need, engines, 0, longDemand, seconds(7)));
        engines[1].claimed.memory = engineMemory;
        CPPUNIT_ASSERT(!leavesRoomFor(*need, engines, 0, longDemand, seconds(7)));
    }

    void smallShortRequestsAreLetIn()
    {
        const auto need
            = urgentNeed("models", 1, {{"models", 0, 40.0, 3'400, 3'000, milliseconds(7'000)}}, {});
        const RequestDemand shortDemand {2'200, 2'300, false, false};
        const auto engines = makeEngines(4, 22'000);
        CPPUNIT_ASSERT(leavesRoomFor(*need, engines, 0, shortDemand, milliseconds(600)));
        CPPUNIT_ASSERT(!leavesRoomFor(*need, engines, 0, shortDemand, seconds(7)));
        CPPUNIT_ASSERT(!leavesRoomFor(*need, engines, 0, shortDemand, milliseconds(0)));
    }

    void urgentRequestsThatWaitElsewhereKeepTheirPlaces()
    {
        const auto need = urgentNeed("models", 2, {},
                                     {{"models", 0, 3, 2'300, milliseconds(200)},
                                      {"models", 2, 90, 3'400, milliseconds(900)}});
        CPPUNIT_ASSERT(need);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, need->requests, 0.01);
        CPPUNIT_ASSERT(!leavesRoomFor(*need, makeEngines(3, 22'000), 0, longDemand, seconds(7)));
        CPPUNIT_ASSERT_MESSAGE(
            "there is room for both",
            leavesRoomFor(*need, makeEngines(3, 10'000), 0, longDemand, seconds(7)));
    }
};

REGISTER_SUITE(PriorityReserveTest, "priority_reserve");

} // namespace azurespindle::decision
