#include "http/internal/refusal_choice.h"

#include "support/suite.h"

#include <vector>

namespace azurespindle::http::internal {
namespace {

using Connections = std::vector<std::uint64_t>;

constexpr std::size_t megabyte = 1'048'576;

} // namespace

class RefusalChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RefusalChoiceTest);
    CPPUNIT_TEST(stalledBodiesAreRefusedBeforeLargerOnesThatArrive);
    CPPUNIT_TEST(manySmallRequestsAreKeptWhileALargeOneCanBeRefused);
    CPPUNIT_TEST(theLongestStalledOfEqualSizeIsRefusedFirst);
    CPPUNIT_TEST(noMoreAreRefusedThanNecessary);
    CPPUNIT_TEST(smallInputsAreRefusedWhenNothingElseIsLeft);
    CPPUNIT_TEST(aClockThatStepsBackChangesNoOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Callers that stop just short of the end of their body must not displace uploads.
    void stalledBodiesAreRefusedBeforeLargerOnesThatArrive()
    {
        const Connections refused = chooseRefusals(
            {{1, 4 * megabyte, milliseconds(20)}, {2, megabyte, milliseconds(900)}}, megabyte);
        CPPUNIT_ASSERT(refused == Connections({2}));
    }

    void manySmallRequestsAreKeptWhileALargeOneCanBeRefused()
    {
        std::vector<HeldInput> held;
        for (std::uint64_t connection = 1; connection <= 200; ++connection) {
            held.push_back({connection, ordinaryInputBytes, seconds(3)});
        }
        held.push_back({201, 2 * megabyte, milliseconds(0)});
        CPPUNIT_ASSERT(chooseRefusals(held, megabyte) == Connections({201}));
    }

    void theLongestStalledOfEqualSizeIsRefusedFirst()
    {
        const Connections refused = chooseRefusals({{1, megabyte, milliseconds(400)},
                                                    {2, megabyte, milliseconds(2'900)},
                                                    {3, megabyte, milliseconds(800)}},
                                                   2 * megabyte);
        CPPUNIT_ASSERT(refused == Connections({2, 3}));
    }

    void noMoreAreRefusedThanNecessary()
    {
        const std::vector<HeldInput> held {{1, megabyte, seconds(1)}, {2, megabyte, seconds(2)}};
        CPPUNIT_ASSERT(chooseRefusals(held, 0).empty());
        CPPUNIT_ASSERT(chooseRefusals(held, 1) == Connections({2}));
        CPPUNIT_ASSERT(chooseRefusals(held, megabyte + 1) == Connections({2, 1}));
        CPPUNIT_ASSERT(chooseRefusals({}, megabyte).empty());
    }

    /// Thousands of connections that hold a header each exhaust a small VM as well.
    void smallInputsAreRefusedWhenNothingElseIsLeft()
    {
        const Connections refused = chooseRefusals(
            {{1, 8'000, seconds(1)}, {2, 12'000, seconds(2)}, {3, 0, seconds(9)}}, 15'000);
        CPPUNIT_ASSERT(refused == Connections({2, 1}));
    }

    void aClockThatStepsBackChangesNoOrder()
    {
        const Connections refused = chooseRefusals(
            {{1, megabyte, microseconds(-5)}, {2, 2 * megabyte, microseconds(-9)}}, megabyte);
        CPPUNIT_ASSERT(refused == Connections({2}));
    }
};

REGISTER_SUITE(RefusalChoiceTest, "refusal_choice");

} // namespace azurespindle::http::internal
