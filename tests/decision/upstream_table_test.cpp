#include "decision/upstream_table.h"

#include "support/suite.h"

namespace azurespindle::decision {

class UpstreamTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamTableTest);
    CPPUNIT_TEST(displacedPromptsKeepRoomFromWorkspacesAboveTheirShare);
    CPPUNIT_TEST(theRoomIsGivenBackWithTime);
    CPPUNIT_TEST(unresolvedLossesAreBounded);
    CPPUNIT_TEST(untoldServiceIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void displacedPromptsKeepRoomFromWorkspacesAboveTheirShare()
    {
        UpstreamTable table = fullTable();
        displace(table, 20);
        // Six of ten slots are left to workspaces above their share, ten to the others.
        finishAttempts(table, 4);
        CPPUNIT_ASSERT_EQUAL(Obstacle::NoSlot, obstacleFor(table, true));
        CPPUNIT_ASSERT_EQUAL(Obstacle::None, obstacleFor(table, false));
        finishAttempts(table, 1);
        CPPUNIT_ASSERT_EQUAL(Obstacle::None, obstacleFor(table, true));
    }

    void theRoomIsGivenBackWithTime()
    {
        UpstreamTable table = fullTable();
        displace(table, 20);
        finishAttempts(table, 1);
        CPPUNIT_ASSERT_EQUAL(Obstacle::NoSlot, obstacleFor(table, true));
        table.regainParts(seconds(100));
        CPPUNIT_ASSERT_EQUAL(Obstacle::None, obstacleFor(table, true));
    }

    void unresolvedLossesAreBounded()
    {
        Upstream upstream;
        for (std::uint64_t request = 0; request < 200; ++request) {
            UpstreamTable::keepUnresolved(upstream, {request, request, 1, Instant()});
        }
        CPPUNIT_ASSERT_EQUAL(Upstream::maxUnresolved, upstream.unresolved.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(199), upstream.unresolved.back().request);
    }

    void untoldServiceIsBounded()
    {
        Upstream upstream;
        upstream.lease.contended = true;
        for (WorkspaceKey key = 0; key < 500; ++key) {
            UpstreamTable::noteService(upstream, key, 1.0, 10);
        }
        CPPUNIT_ASSERT_EQUAL(Upstream::maxUntold, upstream.untold.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), UpstreamTable::takeService(upstream, {}, 4).size());
        CPPUNIT_ASSERT_EQUAL(Upstream::maxUntold - 4, upstream.untold.size());
    }

private:
    static UpstreamTable fullTable()
    {
        UpstreamTable table;
        table.list({{"e1", "z", Condition::Serving, {}}, {"e2", "z", Condition::Serving, {}}});
        for (const char *name : {"e1", "e2"}) {
            table.grant({name, 10, 1.0, Instant::max(), 0, Instant(), false, {}});
        }
        for (int attempt = 0; attempt < 10; ++attempt) {
            table.begin(*table.find("e1"), {}, false);
        }
        return table;
    }

    static void finishAttempts(UpstreamTable &table, int count)
    {
        for (int attempt = 0; attempt < count; ++attempt) {
            table.end(*table.find("e1"), {}, false);
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

    /// A prompt that e1 has cached is computed by e2, so many times.
    static void displace(UpstreamTable &table, int times)
    {
        for (int time = 0; time < times; ++time) {
            std::vector<Candidate> candidates = assess(table, false);
            candidates[1].uncachedTokens = 2'000;
            table.noteDisplaced(candidates, 1);
        }
    }
};

REGISTER_SUITE(UpstreamTableTest, "upstream_table");

} // namespace azurespindle::decision
