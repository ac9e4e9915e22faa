#include "http/internal/input_budget.h"

#include "support/suite.h"

#include <map>
#include <vector>

namespace azurespindle::http::internal {
namespace {

constexpr std::size_t megabyte = 1'048'576;

/// Connections that release their memory when they are refused, as a server's do.
class Connections
{
public:
    explicit Connections(InputBudget &budget) : budget(budget) { }

    std::uint64_t add()
    {
        const auto number = std::make_shared<std::uint64_t>(0);
        *number = this->budget.addConnection([this, number] { this->refused.push_back(*number); });
        return *number;
    }

    /// Releases what the refused connections hold.
    void close()
    {
        for (const std::uint64_t connection : this->refused) {
            this->budget.removeConnection(connection);
        }
    }

    InputBudget &budget;
    std::vector<std::uint64_t> refused;
};

} // namespace

class InputBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InputBudgetTest);
    CPPUNIT_TEST(unfinishedBodiesStayBelowTheLimit);
    CPPUNIT_TEST(aConnectionThatIsBeingRefusedIsCountedOnce);
    CPPUNIT_TEST(openRequestsAreChargedUntilTheyAreClosed);
    CPPUNIT_TEST(aRequestDisplacesStalledBodiesButNoOrdinaryCaller);
    CPPUNIT_TEST(smallRequestsAreAdmittedBesideLargeOnes);
    CPPUNIT_TEST(aLoweredLimitIsKept);
    CPPUNIT_TEST_SUITE_END();

public:
    void unfinishedBodiesStayBelowTheLimit()
    {
        InputBudget budget(8 * megabyte);
        Connections connections(budget);
        for (int number = 0; number < 100; ++number) {
            budget.update(connections.add(), megabyte, monotonicNow());
            connections.close();
            CPPUNIT_ASSERT(budget.usedBytes() <= 8 * megabyte);
        }
        CPPUNIT_ASSERT(connections.refused.size() >= 92);
    }

    /// Its memory is released a little later; until then no other may be refused in its place.
    void aConnectionThatIsBeingRefusedIsCountedOnce()
    {
        InputBudget budget(8 * megabyte);
        Connections connections(budget);
        const std::uint64_t first = connections.add();
        const std::uint64_t second = connections.add();
        const std::uint64_t third = connections.add();
        budget.update(first, 6 * megabyte, monotonicNow() - seconds(5));
        budget.update(second, 3 * megabyte, monotonicNow());
        budget.update(second, 3 * megabyte + 1, monotonicNow());
        budget.update(third, megabyte, monotonicNow());
        CPPUNIT_ASSERT(connections.refused == std::vector<std::uint64_t>({first}));
        connections.close();
        CPPUNIT_ASSERT_EQUAL(4 * megabyte + 1, budget.usedBytes());
    }

    void openRequestsAreChargedUntilTheyAreClosed()
    {
        InputBudget budget(8 * megabyte);
        CPPUNIT_ASSERT(budget.admitRequest(5 * megabyte));
        CPPUNIT_ASSERT(!budget.admitRequest(5 * megabyte));
        CPPUNIT_ASSERT_EQUAL(5 * megabyte, budget.usedBytes());
        budget.releaseRequest(5 * megabyte);
        CPPUNIT_ASSERT(budget.admitRequest(5 * megabyte));
    }

    void aRequestDisplacesStalledBodiesButNoOrdinaryCaller()
    {
        InputBudget budget(8 * megabyte);
        Connections connections(budget);
        const std::uint64_t stalled = connections.add();
        budget.update(connections.add(), 16'384, monotonicNow() - seconds(9));
        budget.update(stalled, 6 * megabyte, monotonicNow() - seconds(1));
        CPPUNIT_ASSERT(budget.admitRequest(4 * megabyte));
        CPPUNIT_ASSERT(connections.refused == std::vector<std::uint64_t>({stalled}));
        connections.close();
        CPPUNIT_ASSERT(!budget.admitRequest(4 * megabyte));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), connections.refused.size());
    }

    void smallRequestsAreAdmittedBesideLargeOnes()
    {
        InputBudget budget(8 * megabyte);
        CPPUNIT_ASSERT(budget.admitRequest(8 * megabyte));
        CPPUNIT_ASSERT(!budget.admitRequest(32'768));
        CPPUNIT_ASSERT(budget.admitRequest(4'096));
        std::size_t admitted = 1;
        while (admitted < 10'000 && budget.admitRequest(4'096)) {
            admitted += 1;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(256), admitted);
    }

    void aLoweredLimitIsKept()
    {
        InputBudget budget(8 * megabyte);
        Connections connections(budget);
        const std::uint64_t connection = connections.add();
        budget.update(connection, 6 * megabyte, monotonicNow());
        budget.setLimit(4 * megabyte);
        budget.update(connection, 6 * megabyte + 1, monotonicNow());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), connections.refused.size());
    }
};

REGISTER_SUITE(InputBudgetTest, "input_budget");

} // namespace azurespindle::http::internal
