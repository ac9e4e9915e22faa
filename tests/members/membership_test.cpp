#include "members/membership.h"

#include "support/suite.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>

namespace azurespindle::members {
namespace {

MemberRecord member(std::size_t index, const std::string &zone = "z")
{
    const std::string name = "m" + std::to_string(index);
    return {name, zone, "127.0.0.1:1", "127.0.0.1:2", 100, MemberState::Alive};
}

Instant at(int ms)
{
    return Instant(milliseconds(ms));
}

MemberRecord with(MemberRecord record, MemberState state, std::uint64_t incarnation = 100)
{
    record.state = state;
    record.incarnation = incarnation;
    return record;
}

/// Returns how many of 910 members cannot be reached over links from the first one, and the
/// largest number of links that one member has.
std::pair<std::size_t, std::size_t> unreachable(std::size_t count)
{
    std::vector<MemberRecord> all;
    for (std::size_t index = 0; index < count; ++index) {
        all.push_back(member(index, "zone-" + std::to_string(index % 14)));
    }
    std::map<std::string, std::set<std::string>> links;
    for (const MemberRecord &self : all) {
        Membership membership(self);
        membership.merge(all, at(0));
        for (const MemberRecord &neighbour : membership.neighbours()) {
            links[self.name].insert(neighbour.name);
            links[neighbour.name].insert(self.name);
        }
    }
    std::set<std::string> seen {all.front().name};
    std::queue<std::string> next({all.front().name});
    std::size_t most = 0;
    while (!next.empty()) {
        most = std::max(most, links[next.front()].size());
        for (const std::string &linked : links[next.front()]) {
            if (seen.insert(linked).second) {
                next.push(linked);
            }
        }
        next.pop();
    }
    return {count - seen.size(), most};
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(aSilentNeighbourIsSuspectedBeforeItIsRemoved);
    CPPUNIT_TEST(aSuspectedMemberRefutesWithAHigherIncarnation);
    CPPUNIT_TEST(wordsOfAnOlderIncarnationAreIgnored);
    CPPUNIT_TEST(aRestartedMemberIsTakenUpAgain);
    CPPUNIT_TEST(aMemberThatWakesAfterAMinuteIsHeardAgain);
    CPPUNIT_TEST(newsIsPassedOnOnce);
    CPPUNIT_TEST(nineHundredAndTenMembersAreConnectedByFewLinksEach);
    CPPUNIT_TEST(rendezvousMovesOnlyTheKeysOfAMemberThatLeft);
    CPPUNIT_TEST(theTableIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void aSilentNeighbourIsSuspectedBeforeItIsRemoved()
    {
        Membership membership(member(0));
        membership.merge({member(1)}, at(0));
        CPPUNIT_ASSERT(membership.checkTimeouts(at(3'900)).empty());
        CPPUNIT_ASSERT(membership.checkTimeouts(at(4'100)).front().state == MemberState::Suspect);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), membership.active().size());
        CPPUNIT_ASSERT(membership.checkTimeouts(at(7'200)).front().state == MemberState::Dead);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.active().size());
    }

    void aSuspectedMemberRefutesWithAHigherIncarnation()
    {
        Membership suspected(member(1));
        const auto news = suspected.merge({with(member(1), MemberState::Suspect)}, at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(101), news.front().incarnation);
        Membership other(member(0));
        other.merge({with(member(1), MemberState::Suspect)}, at(0));
        other.merge(news, at(1));
        CPPUNIT_ASSERT(other.find("m1")->state == MemberState::Alive);
    }

    void wordsOfAnOlderIncarnationAreIgnored()
    {
        Membership membership(member(0));
        membership.merge({with(member(1), MemberState::Alive, 200)}, at(0));
        CPPUNIT_ASSERT(membership.merge({with(member(1), MemberState::Dead, 199)}, at(1)).empty());
        CPPUNIT_ASSERT(membership.markHeard("m1", 199, at(5'000)).empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5'000'000),
                             std::int64_t(membership.sinceLastHeard("m1", at(5'000)).count()));
    }

    void aRestartedMemberIsTakenUpAgain()
    {
        Membership membership(member(0));
        membership.merge({with(member(1), MemberState::Dead)}, at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.active().size());
        membership.merge({with(member(1), MemberState::Alive, 300)}, at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), membership.active().size());
    }

    /// It was declared dead meanwhile; it hears so, and refutes.
    void aMemberThatWakesAfterAMinuteIsHeardAgain()
    {
        Membership sleeper(member(1));
        Membership other(member(0));
        other.merge({member(1)}, at(0));
        other.checkTimeouts(at(4'100));
        other.checkTimeouts(at(8'000));
        CPPUNIT_ASSERT(other.find("m1")->state == MemberState::Dead);
        const auto refuted = sleeper.merge(other.records(), at(60'000));
        other.merge(refuted, at(60'010));
        CPPUNIT_ASSERT(other.find("m1")->state == MemberState::Alive);
    }

    void newsIsPassedOnOnce()
    {
        Membership membership(member(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.merge({member(1)}, at(0)).size());
        CPPUNIT_ASSERT(membership.merge({member(1)}, at(1)).empty());
    }

    void nineHundredAndTenMembersAreConnectedByFewLinksEach()
    {
        const auto [cutOff, mostLinks] = unreachable(910);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), cutOff);
        // Two heartbeats a second on each link, of at most 130 bytes, leave room in 4 KB/s.
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

    void theTableIsBounded()
    {
        Membership membership(member(0));
        for (std::size_t index = 1; index < Membership::maxMembers + 100; ++index) {
            membership.merge({member(index)}, at(0));
        }
        CPPUNIT_ASSERT_EQUAL(Membership::maxMembers + 1, membership.records().size());
    }
};

REGISTER_SUITE(MembershipTest, "membership");

} // namespace azurespindle::members
