#include "members/coordinator.h"

#include "support/fleet.h"
#include "support/suite.h"

#include <atomic>

namespace azurespindle::members {

using tests::Fleet;

namespace {

constexpr std::uint16_t firstPort = 18'960;
constexpr int lostFrames = 3;       ///< Refused frames after which the reports are lost as well.
constexpr std::uint64_t deadly = 7; ///< Fingerprint of a request that crashes upstreams.

CrashReport crashOf(std::uint64_t fingerprint, const std::string &upstream)
{
    return {"", fingerprint, upstream, 1, CrashStatus::Suspected};
}

/// One member with its own network. The first one is the seed of the others.
class Member
{
public:
    explicit Member(std::uint16_t number)
        : settings(settingsOf(number)),
          coordinator(this->settings, recordOf(this->settings), this->client, this->timers,
                      this->registry, this->journal, this->hooks())
    {
        CPPUNIT_ASSERT(!this->coordinator.start());
        this->timers.start();
    }
    ~Member()
    {
        this->timers.stop();
        this->coordinator.stop();
        this->client.stop();
    }

    std::size_t aliveMembers() const { return this->coordinator.activeMembers().size(); }

    std::atomic<int> crashes {0};           ///< Reports about the deadly request.
    std::atomic<int> refusals {0};          ///< Frames refused while \a partitioned.
    std::atomic<bool> partitioned {false};  ///< Frames from other members are refused.
    std::atomic<std::int64_t> lastAge {-1}; ///< Age in the last report, in seconds.

private:
    static settings::Settings settingsOf(std::uint16_t number)
    {
        settings::Settings settings;
        settings.name = "m" + std::to_string(number);
        settings.zone = "north";
        settings.memberAddress = {"127.0.0.1", static_cast<std::uint16_t>(firstPort + number)};
        settings.seeds = {{"127.0.0.1", firstPort}};
        return settings;
    }
    static MemberRecord recordOf(const settings::Settings &settings)
    {
        return {settings.name, settings.zone, settings.memberAddress.text(), "", 1};
    }
    CoordinatorHooks hooks()
    {
        CoordinatorHooks hooks;
        hooks.onMembersChanged = [] {};
        hooks.onCrashReport = [this](const CrashReport &crash, seconds age) {
            this->lastAge = age.count();
            this->crashes += crash.fingerprint == deadly ? 1 : 0;
        };
        hooks.isReachable = [this](const std::string &) {
            this->refusals += this->partitioned ? 1 : 0;
            return !this->partitioned;
        };
        return hooks;
    }

    settings::Settings settings;
    http::Client client;
    timer::TimerService timers;
    metrics::Registry registry;
    journal::Journal journal;

public:
    Coordinator coordinator;
};

} // namespace

/// Guards against requests that crash upstreams again and again (rule BUDGET): the crashes were
/// told to the members once, as they were found.
class LateMemberTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LateMemberTest);
    CPPUNIT_TEST(aMemberThatStartsLaterLearnsOfBlockedRequests);
    CPPUNIT_TEST(aMemberThatWasPartitionedOffLearnsOfBlockedRequests);
    CPPUNIT_TEST(blockedRequestsOutliveRestartsInTurn);
    CPPUNIT_TEST(onlyBlockedRequestsAreExchanged);
    CPPUNIT_TEST(anExchangedRequestIsForgottenInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void aMemberThatStartsLaterLearnsOfBlockedRequests()
    {
        Member first(0);
        first.coordinator.broadcastCrash(crashOf(deadly, "e1"));
        first.coordinator.broadcastCrash(crashOf(deadly, "e2"));
        Member late(1);
        CPPUNIT_ASSERT(Fleet::eventually([&] { return late.crashes == 2; }));
        CPPUNIT_ASSERT(late.lastAge >= 0);
    }

    void aMemberThatWasPartitionedOffLearnsOfBlockedRequests()
    {
        Member first(0);
        Member other(1);
        CPPUNIT_ASSERT(Fleet::eventually(
            [&] { return first.aliveMembers() == 2 && other.aliveMembers() == 2; }));
        other.partitioned = true;
        first.coordinator.broadcastCrash(crashOf(deadly, "e1"));
        first.coordinator.broadcastCrash(crashOf(deadly, "e2"));
        CPPUNIT_ASSERT(Fleet::eventually([&] { return other.refusals >= lostFrames; }));
        CPPUNIT_ASSERT_EQUAL(0, other.crashes.load());
        other.partitioned = false;
        CPPUNIT_ASSERT(Fleet::eventually([&] { return other.crashes == 2; }));
    }

    void blockedRequestsOutliveRestartsInTurn()
    {
        auto first = std::make_unique<Member>(0);
        first->coordinator.broadcastCrash(crashOf(deadly, "e1"));
        first->coordinator.broadcastCrash(crashOf(deadly, "e2"));
        Member second(1);
        CPPUNIT_ASSERT(Fleet::eventually([&] { return second.crashes == 2; }));
        first.reset();
        first = std::make_unique<Member>(0);
        CPPUNIT_ASSERT(Fleet::eventually([&] { return first->crashes == 2; }));
    }

    void onlyBlockedRequestsAreExchanged()
    {
        const Instant now {seconds(10'000)};
        CrashLog log;
        CPPUNIT_ASSERT(log.record(crashOf(1, "e1"), seconds(0), now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), log.digest(now));
        log.record({"", 1, "m1", 1, CrashStatus::Cleared}, seconds(0), now);
        CPPUNIT_ASSERT(log.record(crashOf(1, "e2"), seconds(0), now));
        CPPUNIT_ASSERT_MESSAGE("the first crash was cleared", log.blockedRequests(now).empty());
        CPPUNIT_ASSERT(log.record(crashOf(1, "e3"), seconds(0), now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), log.blockedRequests(now).size());
        CPPUNIT_ASSERT(log.digest(now) != 0);
        for (std::uint64_t other = 2; other < 400; ++other) {
            log.record(crashOf(other, "e1"), seconds(0), now);
            log.record(crashOf(other, "e2"), seconds(0), now + seconds(other));
        }
        CPPUNIT_ASSERT_EQUAL(CrashLog::maxExchanged * CrashLog::crashesToBlock,
                             log.blockedRequests(now + seconds(400)).size());
    }

    void anExchangedRequestIsForgottenInTime()
    {
        const Instant now {seconds(10'000)};
        CrashLog log;
        const seconds age = CrashLog::retention - seconds(60);
        CPPUNIT_ASSERT(log.record(crashOf(deadly, "e1"), age, now));
        CPPUNIT_ASSERT(log.record(crashOf(deadly, "e2"), age, now));
        CPPUNIT_ASSERT_EQUAL(age.count(), log.blockedRequests(now).front().age.count());
        CPPUNIT_ASSERT(log.blockedRequests(now + seconds(61)).empty());
        CPPUNIT_ASSERT(!log.record(crashOf(deadly, "e3"), CrashLog::retention, now));
    }
};

REGISTER_SUITE(LateMemberTest, "late_member");

} // namespace azurespindle::members
