#include "decision/upstream_table.h"

#include "support/suite.h"

namespace azurespindle::decision {

class UpstreamTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamTableTest);
    CPPUNIT_TEST(displacedPromptsReserveCapacityFromWorkspacesAboveTheirShare);
    CPPUNIT_TEST(reservedCapacityIsReleasedOverTime);
    CPPUNIT_TEST(unresolvedDisconnectsAreBounded);
    CPPUNIT_TEST(unreportedUsageIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void displacedPromptsReserveCapacityFromWorkspacesAboveTheirShare()
    {
        UpstreamTable table = fullTable();
        displacePrompts(table, 20);
        // Workspaces above their share may use six of the ten slots, other workspaces all ten.
        finishAttempts(table, 4);
        CPPUNIT_ASSERT_EQUAL(Obstacle::NoSlot, obstacleFor(table, true));
        CPPUNIT_ASSERT_EQUAL(Obstacle::None, obstacleFor(table, false));
        finishAttempts(table, 1);
        CPPUNIT_ASSERT_EQUAL(Obstacle::None, obstacleFor(table, true));
    }

    void reservedCapacityIsReleasedOverTime()
    {
        UpstreamTable table = fullTable();
        displacePrompts(table, 20);
        finishAttempts(table, 1);
        CPPUNIT_ASSERT_EQUAL(Obstacle::NoSlot, obstacleFor(table, true));
        table.recoverFractions(seconds(100));
        CPPUNIT_ASSERT_EQUAL(Obstacle::None, obstacleFor(table, true));
    }

    void unresolvedDisconnectsAreBounded()
    {
        Upstream upstream;
        for (std::uint64_t request = 0; request < 200; ++request) {
            UpstreamTable::addUnresolved(upstream, {request, request, 1, Instant()});
        }
        CPPUNIT_ASSERT_EQUAL(Upstream::maxUnresolved, upstream.unresolvedDisconnects.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(199), upstream.unresolvedDisconnects.back().request);
    }

    void unreportedUsageIsBounded()
    {
        Upstream upstream;
        upstream.lease.contended = true;
        for (WorkspaceKey key = 0; key < 500; ++key) {
            UpstreamTable::recordUsage(upstream, key, 1.0, 10);
        }
        CPPUNIT_ASSERT_EQUAL(Upstream::maxUnreportedUsage, upstream.unreportedUsage.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                             UpstreamTable::takeUnreportedUsage(upstream, {}, 4).size());
        CPPUNIT_ASSERT_EQUAL(Upstream::maxUnreportedUsage - 4, upstream.unreportedUsage.size());
    }

private:
    static UpstreamTable fullTable()
    {
        UpstreamTable table;
        table.setUpstreams(
            {{"e1", "z", Condition::Serving, {}}, {"e2", "z", Condition::Serving, {}}});
        for (const char *name : {"e1", "e2"}) {
            table.setLease({name, 10, 1.0, Instant::max(), 0, Instant(), false, {}});
        }
        for (int attempt = 0; attempt < 10; ++attempt) {
            table.addAttempt(*table.find("e1"), {}, false);
        }
        return table;
    }

    static void finishAttempts(UpstreamTable &table, int count)
    {
        for (int attempt = 0; attempt < count; ++attempt) {
            table.removeAttempt(*table.find("e1"), {}, false);
        }
    }

    static std::vector<Candidate> assess(const UpstreamTable &table, bool aboveShare)
    {
        static const Request request;
        PlacementQuery query;
        query.request = &request;
        query.aboveShare = aboveShare;
        std::vector<Candidate> candidates;
        table.assess(query, candidates);
        return candidates;
    }

    static Obstacle obstacleFor(const UpstreamTable &table, bool aboveShare)
    {
        return assess(table, aboveShare).front().obstacle;
    }

    /// Places a prompt that is cached at the full e1 on e2 \a times times.
    static void displacePrompts(UpstreamTable &table, int times)
    {
        for (int round = 0; round < times; ++round) {
            std::vector<Candidate> candidates = assess(table, false);
            candidates[1].uncachedTokens = 2'000;
            table.recordDisplacement(candidates, 1);
        }
    }
};

REGISTER_SUITE(UpstreamTableTest, "upstream_table");

} // namespace azurespindle::decision
