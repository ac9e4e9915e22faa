#include "members/membership.h"

#include "support/suite.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <utility>

namespace azurespindle::members {
namespace {

MemberRecord member(std::size_t index, const std::string &zone = "z")
{
    const std::string name = "m" + std::to_string(index);
    return {name, zone, "127.0.0.1:1", "127.0.0.1:2", 100, MemberState::Alive};
}

Instant atMs(int ms)
{
    return Instant(milliseconds(ms));
}

MemberRecord withState(MemberRecord record, MemberState state, std::uint64_t incarnation = 100)
{
    record.state = state;
    record.incarnation = incarnation;
    return record;
}

/// Returns how many of \a count members cannot be reached from the first one over the links between
/// neighbours, and the largest number of links of any member reached.
std::pair<std::size_t, std::size_t> countUnreachable(std::size_t count)
{
    std::vector<MemberRecord> all;
    for (std::size_t index = 0; index < count; ++index) {
        all.push_back(member(index, "zone-" + std::to_string(index % 14)));
    }
    std::map<std::string, std::set<std::string>> links;
    for (const MemberRecord &self : all) {
        Membership membership(self);
        membership.merge(all, atMs(0));
        for (const MemberRecord &neighbour : membership.neighbours()) {
            links[self.name].insert(neighbour.name);
            links[neighbour.name].insert(self.name);
        }
    }
    std::set<std::string> reached {all.front().name};
    std::queue<std::string> toVisit({all.front().name});
    std::size_t most = 0;
    while (!toVisit.empty()) {
        most = std::max(most, links[toVisit.front()].size());
        for (const std::string &linked : links[toVisit.front()]) {
            if (reached.insert(linked).second) {
                toVisit.push(linked);
            }
        }
        toVisit.pop();
    }
    return {count - reached.size(), most};
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(aSilentNeighbourIsSuspectedBeforeItIsDeclaredDead);
    CPPUNIT_TEST(aSuspectedMemberRefutesWithAHigherIncarnation);
    CPPUNIT_TEST(recordsOfAnOlderIncarnationAreIgnored);
    CPPUNIT_TEST(aRestartedMemberRejoins);
    CPPUNIT_TEST(aMemberPausedForAMinuteRejoins);
    CPPUNIT_TEST(aRecordIsGossipedOnce);
    CPPUNIT_TEST(nineHundredAndTenMembersAreConnectedByFewLinksEach);
    CPPUNIT_TEST(rendezvousMovesOnlyTheKeysOfAMemberThatLeft);
    CPPUNIT_TEST(theNumberOfRecordsIsBounded);
    CPPUNIT_TEST(whatIsComputedFromRecordsFollowsEachChange);
    CPPUNIT_TEST_SUITE_END();

public:
    void aSilentNeighbourIsSuspectedBeforeItIsDeclaredDead()
    {
        Membership membership(member(0));
        membership.merge({member(1)}, atMs(0));
        CPPUNIT_ASSERT(membership.checkTimeouts(atMs(3'900)).empty());
        CPPUNIT_ASSERT(membership.checkTimeouts(atMs(4'100)).front().state == MemberState::Suspect);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), membership.active().size());
        CPPUNIT_ASSERT(membership.checkTimeouts(atMs(7'200)).front().state == MemberState::Dead);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.active().size());
    }

    void aSuspectedMemberRefutesWithAHigherIncarnation()
    {
        Membership suspected(member(1));
        const auto refutation
            = suspected.merge({withState(member(1), MemberState::Suspect)}, atMs(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(101), refutation.front().incarnation);
        Membership other(member(0));
        other.merge({withState(member(1), MemberState::Suspect)}, atMs(0));
        other.merge(refutation, atMs(1));
        CPPUNIT_ASSERT(other.find("m1")->state == MemberState::Alive);
    }

    void recordsOfAnOlderIncarnationAreIgnored()
    {
        Membership membership(member(0));
        membership.merge({withState(member(1), MemberState::Alive, 200)}, atMs(0));
        CPPUNIT_ASSERT(
            membership.merge({withState(member(1), MemberState::Dead, 199)}, atMs(1)).empty());
        CPPUNIT_ASSERT(membership.markHeard("m1", 199, atMs(5'000)).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5'000'000),
                             std::int64_t(membership.sinceLastHeard("m1", atMs(5'000)).count()));
    }

    void aRestartedMemberRejoins()
    {
        Membership membership(member(0));
        membership.merge({withState(member(1), MemberState::Dead)}, atMs(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.active().size());
        membership.merge({withState(member(1), MemberState::Alive, 300)}, atMs(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), membership.active().size());
    }

    /// A paused process is declared dead meanwhile. It has to refute that when it resumes, or it
    /// would be left out until it restarts.
    void aMemberPausedForAMinuteRejoins()
    {
        Membership paused(member(1));
        Membership other(member(0));
        other.merge({member(1)}, atMs(0));
        other.checkTimeouts(atMs(4'100));
        other.checkTimeouts(atMs(8'000));
        CPPUNIT_ASSERT(other.find("m1")->state == MemberState::Dead);
        const auto refuted = paused.merge(other.records(), atMs(60'000));
        other.merge(refuted, atMs(60'010));
        CPPUNIT_ASSERT(other.find("m1")->state == MemberState::Alive);
    }

    void aRecordIsGossipedOnce()
    {
        Membership membership(member(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.merge({member(1)}, atMs(0)).size());
        CPPUNIT_ASSERT(membership.merge({member(1)}, atMs(1)).empty());
    }

    void nineHundredAndTenMembersAreConnectedByFewLinksEach()
    {
        const auto [unreachable, mostLinks] = countUnreachable(910);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), unreachable);
        // Each link carries two heartbeats per second of at most 130 bytes each; 15 links thus stay
        // within 4 KB/s per member.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(mostLinks) + " links", mostLinks <= 15);
    }

    void rendezvousMovesOnlyTheKeysOfAMemberThatLeft()
    {
        const std::vector<std::string> nine {"a", "b", "c", "d", "e", "f", "g", "h", "i"};
        std::vector<std::string> eight(nine.begin(), nine.end() - 1);
        for (int key = 0; key < 1'000; ++key) {
            const std::string text = std::to_string(key);
            const std::string before = nine[*rendezvousIndex(nine, text)];
            const std::string after = eight[*rendezvousIndex(eight, text)];
            CPPUNIT_ASSERT(before == "i" || before == after);
        }
    }

    void theNumberOfRecordsIsBounded()
    {
        Membership membership(member(0));
        for (std::size_t index = 1; index < Membership::maxMembers + 100; ++index) {
            membership.merge({member(index)}, atMs(0));
        }
        CPPUNIT_ASSERT_EQUAL(Membership::maxMembers + 1, membership.records().size());
    }

    void whatIsComputedFromRecordsFollowsEachChange()
    {
        const Instant start(seconds(100));
        const auto record
            = [](const std::string &name, std::uint64_t incarnation, MemberState state) {
                  return MemberRecord {name, "north", "", "", incarnation, state};
              };
        Membership membership(record("self", 1, MemberState::Alive));
        std::uint64_t digest = membership.digest();
        std::uint64_t changes = membership.changeCount();
        const auto changed = [&] {
            const bool digestChanged = std::exchange(digest, membership.digest()) != digest;
            return std::exchange(changes, membership.changeCount()) != changes && digestChanged;
        };
        CPPUNIT_ASSERT(!changed());
        membership.merge({record("a", 1, MemberState::Alive)}, start);
        CPPUNIT_ASSERT(changed());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.neighbours().size());
        membership.merge({record("b", 1, MemberState::Alive)}, start);
        CPPUNIT_ASSERT(changed());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), membership.neighbours().size());
        membership.merge({record("b", 1, MemberState::Alive)}, start);
        CPPUNIT_ASSERT(!changed());
        membership.merge({record("b", 1, MemberState::Left)}, start);
        CPPUNIT_ASSERT(changed());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.neighbours().size());
        membership.markHeard("b", 2, start);
        CPPUNIT_ASSERT(changed());
        membership.merge({record("self", 1, MemberState::Suspect)}, start);
        CPPUNIT_ASSERT_MESSAGE("a refuted suspicion", changed());
        membership.checkTimeouts(start + Membership::suspectAfter + milliseconds(1));
        CPPUNIT_ASSERT_MESSAGE("a suspected neighbour", changed());
        membership.leave();
        CPPUNIT_ASSERT(changed());
        const std::vector<MemberRecord> records = membership.records();
        CPPUNIT_ASSERT(
            std::is_sorted(records.begin(), records.end(),
                           [](const auto &a, const auto &b) { return a.name < b.name; }));
    }
};

REGISTER_SUITE(MembershipTest, "membership");

} // namespace azurespindle::members
