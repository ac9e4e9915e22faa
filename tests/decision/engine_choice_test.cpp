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

constexpr RequestDemand longDraft {3'000, 3'500, false};

std::string chosenOf(const std::vector<UpstreamCandidate> &candidates, const RequestDemand &need)
{
    const auto chosen = chooseEngine(candidates, need, 0);
    return chosen ? candidates[*chosen].upstream : "none";
}

} // namespace

class EngineChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineChoiceTest);
    CPPUNIT_TEST(promptsAreSpreadBeforeAnythingElse);
    CPPUNIT_TEST(memoryThatWouldOverflowIsNoChoice);
    CPPUNIT_TEST(slotsAreABound);
    CPPUNIT_TEST(theOwnZoneGoesFirstAmongEquals);
    CPPUNIT_TEST(aTroubledEngineIsTheLastChoiceButOne);
    CPPUNIT_TEST(equalsAreTakenInTurn);
    CPPUNIT_TEST(plainUpstreamsAreChosenByLoad);
    CPPUNIT_TEST(aBurstOfPromptsIsSpreadEvenly);
    CPPUNIT_TEST_SUITE_END();

public:
    void promptsAreSpreadBeforeAnythingElse()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("idle"),
            chosenOf({engine("reading", {1, 3'500, 3'000}), engine("idle", {4, 14'000, 0})},
                     longDraft));
    }

    void memoryThatWouldOverflowIsNoChoice()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("none"),
                             chosenOf({engine("full", {8, 30'000, 0})}, longDraft));
        CPPUNIT_ASSERT_EQUAL(
            std::string("far"),
            chosenOf({engine("full", {8, 30'000, 0}), engine("far", {7, 24'000, 0}, false)},
                     longDraft));
    }

    void slotsAreABound()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("none"),
                             chosenOf({engine("busy", {24, 100, 0})}, longDraft));
    }

    void theOwnZoneGoesFirstAmongEquals()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("near"),
            chosenOf({engine("far", {1, 3'500, 0}, false), engine("near", {2, 7'000, 0})},
                     longDraft));
    }

    void aTroubledEngineIsTheLastChoiceButOne()
    {
        UpstreamCandidate recentlyFailing = engine("troubled", {});
        recentlyFailing.recentlyFailing = true;
        CPPUNIT_ASSERT_EQUAL(
            std::string("sound"),
            chosenOf({recentlyFailing, engine("sound", {6, 21'000, 0})}, longDraft));
        CPPUNIT_ASSERT_EQUAL(std::string("troubled"), chosenOf({recentlyFailing}, longDraft));
    }

    void equalsAreTakenInTurn()
    {
        const std::vector<UpstreamCandidate> equals {engine("a", {}), engine("b", {}),
                                                     engine("c", {})};
        std::vector<int> counts(3, 0);
        for (std::uint64_t turn = 0; turn < 30; ++turn) {
            counts[*chooseEngine(equals, longDraft, turn)] += 1;
        }
        CPPUNIT_ASSERT(counts == std::vector<int>({10, 10, 10}));
    }

    void plainUpstreamsAreChosenByLoad()
    {
        std::vector<UpstreamCandidate> plain {engine("near", {3, 0, 0}),
                                              engine("far", {0, 0, 0}, false)};
        plain[0].slots = 6;
        plain[1].slots = 6;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *choosePlain(plain, 0));
        plain[0].claimed.attempts = 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *choosePlain(plain, 0));
        CPPUNIT_ASSERT(!choosePlain({}, 0));
    }

    /// Forty long prompts come within a moment: no engine reads two while another reads none.
    void aBurstOfPromptsIsSpreadEvenly()
    {
        std::vector<UpstreamCandidate> engines;
        engines.reserve(10);
        for (int index = 0; index < 10; ++index) {
            engines.push_back(engine(("e" + std::to_string(index)).c_str(), {}, index % 2 == 0));
        }
        for (std::uint64_t request = 0; request < 40; ++request) {
            const auto chosen = chooseEngine(engines, longDraft, request);
            CPPUNIT_ASSERT(chosen);
            engines[*chosen].claimed += {1, longDraft.memory, longDraft.promptTokens};
        }
        const auto [least, most]
            = std::minmax_element(engines.begin(), engines.end(), [](const auto &a, const auto &b) {
                  return a.claimed.attempts < b.claimed.attempts;
              });
        CPPUNIT_ASSERT(most->claimed.attempts - least->claimed.attempts <= 1);
    }
};

REGISTER_SUITE(EngineChoiceTest, "engine_choice");

} // namespace azurespindle::decision
