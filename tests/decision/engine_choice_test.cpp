#include "decision/engine_choice.h"

#include "support/suite.h"

#include <algorithm>
#include <vector>

namespace azurespindle::decision {
namespace {

UpstreamCandidate engine(const char *name, ResourceClaim claimed, bool sameZone = true)
{
    UpstreamCandidate candidate;
    candidate.upstream = name;
    candidate.claimed = claimed;
    candidate.slots = 24;
    candidate.memoryCapacity = 34'000;
    candidate.sameZone = sameZone;
    return candidate;
}

constexpr RequestDemand longPrompt {3'000, 3'500, false};

std::string chosenUpstream(const std::vector<UpstreamCandidate> &candidates,
                           const RequestDemand &demand)
{
    const auto chosen = chooseEngine(candidates, demand, 0);
    return chosen ? candidates[*chosen].upstream : "none";
}

} // namespace

class EngineChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineChoiceTest);
    CPPUNIT_TEST(promptsAreSpreadBeforeMemoryIsBalanced);
    CPPUNIT_TEST(anEngineWithoutEnoughMemoryIsNotChosen);
    CPPUNIT_TEST(anEngineWithoutFreeSlotsIsNotChosen);
    CPPUNIT_TEST(theOwnZoneIsPreferredAtSimilarLoad);
    CPPUNIT_TEST(aRecentlyFailingEngineIsChosenOnlyIfNoOtherIsLeft);
    CPPUNIT_TEST(equalEnginesAreChosenInTurn);
    CPPUNIT_TEST(plainUpstreamsAreChosenByLoadAndZone);
    CPPUNIT_TEST(aBurstOfLongPromptsIsSpreadEvenly);
    CPPUNIT_TEST(aSlowEngineGetsFewerPrompts);
    CPPUNIT_TEST(promptsDoNotPauseTheStreamsOfASlowEngine);
    CPPUNIT_TEST(aSlowEngineIsNoDestinationForAStreamWithAPauseObjective);
    CPPUNIT_TEST(anObjectiveForPausesChangesNothingAmongUsualEngines);
    CPPUNIT_TEST(plainUpstreamsAreChosenByTheExpectedTimeToAResponse);
    CPPUNIT_TEST(aSlowPlainUpstreamOfTheOwnZoneIsUsedWhileIdle);
    CPPUNIT_TEST_SUITE_END();

public:
    void promptsAreSpreadBeforeMemoryIsBalanced()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("idle"),
            chosenUpstream({engine("reading", {1, 3'500, 3'000}), engine("idle", {4, 14'000, 0})},
                           longPrompt));
    }

    void anEngineWithoutEnoughMemoryIsNotChosen()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("none"),
                             chosenUpstream({engine("full", {8, 30'000, 0})}, longPrompt));
        CPPUNIT_ASSERT_EQUAL(
            std::string("far"),
            chosenUpstream({engine("full", {8, 30'000, 0}), engine("far", {7, 24'000, 0}, false)},
                           longPrompt));
    }

    void anEngineWithoutFreeSlotsIsNotChosen()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("none"),
                             chosenUpstream({engine("busy", {24, 100, 0})}, longPrompt));
    }

    void theOwnZoneIsPreferredAtSimilarLoad()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("near"),
            chosenUpstream({engine("far", {1, 3'500, 0}, false), engine("near", {2, 7'000, 0})},
                           longPrompt));
    }

    void aRecentlyFailingEngineIsChosenOnlyIfNoOtherIsLeft()
    {
        UpstreamCandidate failing = engine("failing", {});
        failing.recentlyFailing = true;
        CPPUNIT_ASSERT_EQUAL(
            std::string("healthy"),
            chosenUpstream({failing, engine("healthy", {6, 21'000, 0})}, longPrompt));
        CPPUNIT_ASSERT_EQUAL(std::string("failing"), chosenUpstream({failing}, longPrompt));
    }

    void equalEnginesAreChosenInTurn()
    {
        const std::vector<UpstreamCandidate> equals {engine("a", {}), engine("b", {}),
                                                     engine("c", {})};
        std::vector<int> counts(3, 0);
        for (std::uint64_t turn = 0; turn < 30; ++turn) {
            counts[*chooseEngine(equals, longPrompt, turn)] += 1;
        }
        CPPUNIT_ASSERT(counts == std::vector<int>({10, 10, 10}));
    }

    void plainUpstreamsAreChosenByLoadAndZone()
    {
        std::vector<UpstreamCandidate> plain {engine("near", {3, 0, 0}),
                                              engine("far", {0, 0, 0}, false)};
        plain[0].slots = 6;
        plain[1].slots = 6;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *choosePlainUpstream(plain, 0));
        plain[0].claimed.attempts = 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *choosePlainUpstream(plain, 0));
        CPPUNIT_ASSERT(!choosePlainUpstream({}, 0));
    }

    /// Forty long prompts arrive at once. No engine may get two more of them than another.
    void aBurstOfLongPromptsIsSpreadEvenly()
    {
        std::vector<UpstreamCandidate> engines;
        engines.reserve(10);
        for (int index = 0; index < 10; ++index) {
            engines.push_back(engine(("e" + std::to_string(index)).c_str(), {}, index % 2 == 0));
        }
        for (std::uint64_t request = 0; request < 40; ++request) {
            const auto chosen = chooseEngine(engines, longPrompt, request);
            CPPUNIT_ASSERT(chosen);
            engines[*chosen].claimed += {1, longPrompt.memory, longPrompt.promptTokens};
        }
        const auto [least, most]
            = std::minmax_element(engines.begin(), engines.end(), [](const auto &a, const auto &b) {
                  return a.claimed.attempts < b.claimed.attempts;
              });
        CPPUNIT_ASSERT(most->claimed.attempts - least->claimed.attempts <= 1);
    }

    /// Prompts queued behind each other at engines of 0.6 of the usual speed as often as at others.
    void aSlowEngineGetsFewerPrompts()
    {
        std::vector<UpstreamCandidate> engines {engine("slow", {}), engine("usual", {}),
                                                engine("fast", {})};
        engines[0].speed = 0.6;
        engines[2].speed = 1.6;
        for (std::uint64_t request = 0; request < 15; ++request) {
            const auto chosen = chooseEngine(engines, {2'200, 700, false}, request);
            CPPUNIT_ASSERT(chosen);
            engines[*chosen].claimed += {1, 700, 2'200};
        }
        CPPUNIT_ASSERT(engines[0].claimed.attempts < engines[1].claimed.attempts);
        CPPUNIT_ASSERT(engines[1].claimed.attempts < engines[2].claimed.attempts);
        CPPUNIT_ASSERT_MESSAGE("the slow one is not left idle", engines[0].claimed.attempts > 0);
    }

    /// A prompt at a slow engine paused each of its streams for longer than 180 ms.
    void promptsDoNotPauseTheStreamsOfASlowEngine()
    {
        UpstreamCandidate slow = engine("slow", {6, 9'000, 0});
        slow.speed = 0.6;
        const UpstreamCandidate usual = engine("usual", {9, 9'000, 3'000});
        RequestDemand demand {2'200, 700, false};
        CPPUNIT_ASSERT_EQUAL(std::string("slow"), chosenUpstream({slow, usual}, demand));
        demand.eventGapObjective = milliseconds(180);
        demand.tokensPerEvent = 4;
        CPPUNIT_ASSERT_EQUAL(std::string("usual"), chosenUpstream({slow, usual}, demand));
        slow.claimed.attempts = 0;
        CPPUNIT_ASSERT_EQUAL_MESSAGE("no stream runs there", std::string("slow"),
                                     chosenUpstream({slow, usual}, demand));
    }

    /// Streams were migrated to engines that could not keep their pauses short.
    void aSlowEngineIsNoDestinationForAStreamWithAPauseObjective()
    {
        UpstreamCandidate slow = engine("slow", {2, 7'000, 0});
        slow.speed = 0.6;
        const UpstreamCandidate usual = engine("usual", {4, 7'000, 0});
        const RequestDemand demand {3'000, 3'500, true, false, milliseconds(180), 4};
        CPPUNIT_ASSERT_EQUAL(std::string("usual"), chosenUpstream({slow, usual}, demand));
    }

    void anObjectiveForPausesChangesNothingAmongUsualEngines()
    {
        const std::vector<UpstreamCandidate> engines {
            engine("a", {11, 20'000, 0}), engine("b", {3, 9'000, 3'000}),
            engine("c", {2, 12'000, 3'000}, false), engine("d", {5, 16'000, 2'000})};
        for (std::uint64_t turn = 0; turn < 20; ++turn) {
            RequestDemand demand = longPrompt;
            const auto without = chooseEngine(engines, demand, turn);
            demand.eventGapObjective = milliseconds(20);
            demand.tokensPerEvent = 4;
            CPPUNIT_ASSERT(without == chooseEngine(engines, demand, turn));
        }
    }

    /// Requests waited at a slow upstream while a fast one had fewer of them for its speed.
    void plainUpstreamsAreChosenByTheExpectedTimeToAResponse()
    {
        std::vector<UpstreamCandidate> plain {engine("slow", {}), engine("fast", {})};
        for (UpstreamCandidate &each : plain) {
            each.slots = 6;
        }
        plain[0].speed = 0.5;
        plain[1].speed = 1.5;
        for (std::uint64_t request = 0; request < 12; ++request) {
            plain[*choosePlainUpstream(plain, request)].claimed.attempts += 1;
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), plain[0].claimed.attempts);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(9), plain[1].claimed.attempts);
    }

    void aSlowPlainUpstreamOfTheOwnZoneIsUsedWhileIdle()
    {
        std::vector<UpstreamCandidate> plain {engine("near", {}), engine("far", {}, false)};
        plain[0].slots = 6;
        plain[0].speed = 0.6;
        plain[1].slots = 6;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *choosePlainUpstream(plain, 1));
        plain[0].claimed.attempts = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *choosePlainUpstream(plain, 1));
    }
};

REGISTER_SUITE(EngineChoiceTest, "engine_choice");

} // namespace azurespindle::decision
