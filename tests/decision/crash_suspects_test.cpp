#include "decision/crash_suspects.h"

#include "support/suite.h"

namespace azurespindle::decision {
namespace {

constexpr PromptPartId deadly = 1;
constexpr PromptPartId shared = 2;
constexpr PromptPartId other = 3;

/// Returns a moment that is apart from the others by more than CrashSuspects::crashSpacing.
Instant moment(int number)
{
    return Instant(seconds(100 + number));
}

} // namespace

class CrashSuspectsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashSuspectsTest);
    CPPUNIT_TEST(thePartOfSeveralCrashesIsBlocked);
    CPPUNIT_TEST(oneCrashReportedByManyCountsOnce);
    CPPUNIT_TEST(aPartThatIsAnsweredIsNotBlocked);
    CPPUNIT_TEST(aPartIsNotBlockedForTheCrashesOfAnother);
    CPPUNIT_TEST(aCrashOfAnotherCauseDoesNotBlockAnInnocentPart);
    CPPUNIT_TEST(aPartThatTurnsDeadlyIsBlocked);
    CPPUNIT_TEST(manyCrashesAtOnceBlameNoPart);
    CPPUNIT_TEST(aProcessThatStartsLaterLearnsTheBlock);
    CPPUNIT_TEST(aLateReportDoesNotUndoAnAcquittal);
    CPPUNIT_TEST(aBlockIsForgottenAfterTheRetention);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void thePartOfSeveralCrashesIsBlocked()
    {
        CrashSuspects suspects;
        for (int crash = 1; crash < int(CrashSuspects::crashesToBlock); ++crash) {
            CPPUNIT_ASSERT(suspects.recordCrash({deadly}, crash, moment(crash)).empty());
            CPPUNIT_ASSERT(suspects.isSuspect({deadly}, moment(crash)));
            CPPUNIT_ASSERT(!suspects.isBlocked({deadly}, moment(crash)));
        }
        const auto blocked = suspects.recordCrash({deadly}, 9, moment(9));
        CPPUNIT_ASSERT(std::vector<PromptPartId> {deadly} == blocked);
        CPPUNIT_ASSERT(suspects.isBlocked({shared, deadly}, moment(9)));
        CPPUNIT_ASSERT(!suspects.isBlocked({shared}, moment(9)));
    }

    void oneCrashReportedByManyCountsOnce()
    {
        CrashSuspects suspects;
        const CrashId crash = CrashSuspects::crashId("e1", 1);
        for (int report = 0; report < 10; ++report) {
            suspects.recordCrash({deadly}, crash, moment(report));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), suspects.crashCount(deadly, moment(10)));
        CPPUNIT_ASSERT(crash != CrashSuspects::crashId("e1", 2));
        CPPUNIT_ASSERT(crash != CrashSuspects::crashId("e2", 1));
    }

    void aPartThatIsAnsweredIsNotBlocked()
    {
        CrashSuspects suspects;
        for (int crash = 1; crash <= 20; ++crash) {
            suspects.recordCrash({shared, deadly}, crash, moment(crash));
            CPPUNIT_ASSERT(std::vector<PromptPartId> {shared}
                           == suspects.recordAnswer({shared, other}));
            CPPUNIT_ASSERT(!suspects.isBlocked({shared}, moment(crash)));
        }
        CPPUNIT_ASSERT(suspects.isBlocked({shared, deadly}, moment(20)));
    }

    void aPartIsNotBlockedForTheCrashesOfAnother()
    {
        CrashSuspects suspects;
        for (int crash = 1; crash <= 4; ++crash) {
            suspects.recordCrash({shared, deadly}, crash, moment(crash));
        }
        // Either part may be the cause; requests with one of them only will show which.
        CPPUNIT_ASSERT(suspects.isBlocked({shared, deadly}, moment(4)));
        CPPUNIT_ASSERT(!suspects.isBlocked({shared, other}, moment(4)));
        suspects.recordCrash({other, deadly}, 5, moment(5));
        CPPUNIT_ASSERT(suspects.isBlocked({other, deadly}, moment(5)));
        CPPUNIT_ASSERT(suspects.isBlocked({deadly}, moment(5)));
        CPPUNIT_ASSERT(!suspects.isBlocked({shared, other}, moment(5)));
    }

    void aCrashOfAnotherCauseDoesNotBlockAnInnocentPart()
    {
        CrashSuspects suspects;
        suspects.recordCrash({shared}, 1, moment(1));
        suspects.clear({shared});
        for (int crash = 2; crash <= 4; ++crash) {
            suspects.recordCrash({shared, deadly}, crash, moment(crash));
        }
        suspects.recordCrash({shared, other}, 5, moment(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), suspects.crashCount(shared, moment(5)));
        CPPUNIT_ASSERT(!suspects.isBlocked({shared, other}, moment(5)));
        CPPUNIT_ASSERT(suspects.isBlocked({shared, deadly}, moment(5)));
        CPPUNIT_ASSERT(suspects.isBlocked({deadly}, moment(5)));
    }

    void aPartThatTurnsDeadlyIsBlocked()
    {
        CrashSuspects suspects;
        suspects.recordAnswer({deadly});
        for (int crash = 1; crash <= int(CrashSuspects::crashesToBlockTrusted); ++crash) {
            CPPUNIT_ASSERT(!suspects.isBlocked({deadly}, moment(crash)));
            suspects.recordCrash({deadly}, crash, moment(crash));
        }
        CPPUNIT_ASSERT(suspects.isBlocked({deadly}, moment(9)));
    }

    void manyCrashesAtOnceBlameNoPart()
    {
        CrashSuspects suspects;
        for (CrashId crash = 1; crash <= 20; ++crash) {
            suspects.recordCrash({shared}, crash, moment(1));
        }
        CPPUNIT_ASSERT(!suspects.isBlocked({shared}, moment(1)));
    }

    void aProcessThatStartsLaterLearnsTheBlock()
    {
        CrashSuspects suspects;
        for (int crash = 1; crash <= 3; ++crash) {
            suspects.recordCrash({deadly}, crash, moment(crash));
        }
        suspects.recordCrash({other}, 3, moment(3));
        CrashSuspects later;
        later.merge(suspects.blockedParts(moment(4)), moment(4));
        CPPUNIT_ASSERT(later.isBlocked({deadly}, moment(4)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), later.size());
    }

    void aLateReportDoesNotUndoAnAcquittal()
    {
        CrashSuspects peer;
        CrashSuspects suspects;
        for (int crash = 1; crash <= 3; ++crash) {
            peer.recordCrash({shared}, crash, moment(crash));
            suspects.recordCrash({shared}, crash, moment(crash));
        }
        suspects.clear({shared});
        CPPUNIT_ASSERT(!suspects.isBlocked({shared}, moment(4)));
        suspects.merge(peer.blockedParts(moment(4)), moment(4));
        CPPUNIT_ASSERT(!suspects.isBlocked({shared}, moment(4)));
        CPPUNIT_ASSERT(suspects.blockedParts(moment(4)).empty());
    }

    void aBlockIsForgottenAfterTheRetention()
    {
        CrashSuspects suspects;
        for (int crash = 1; crash <= 3; ++crash) {
            suspects.recordCrash({deadly}, crash, moment(crash));
        }
        const Instant last = moment(3) + CrashSuspects::retention;
        CPPUNIT_ASSERT(suspects.isBlocked({deadly}, last));
        CPPUNIT_ASSERT(!suspects.isBlocked({deadly}, last + seconds(1)));
        suspects.recordCrash({deadly}, 4, last + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), suspects.crashCount(deadly, last + seconds(1)));
    }

    void memoryIsBounded()
    {
        CrashSuspects suspects;
        for (PromptPartId part = 1; part <= 2 * CrashSuspects::maxSuspects; ++part) {
            for (int crash = 1; crash <= 100; ++crash) {
                suspects.recordCrash({part}, crash, moment(crash));
            }
        }
        CPPUNIT_ASSERT_EQUAL(CrashSuspects::maxSuspects, suspects.size());
        CPPUNIT_ASSERT_EQUAL(CrashSuspects::maxReported, suspects.blockedParts(moment(100)).size());
        CPPUNIT_ASSERT_EQUAL(CrashSuspects::maxCrashes,
                             suspects.blockedParts(moment(100)).front().crashes.size());
    }
};

REGISTER_SUITE(CrashSuspectsTest, "crash_suspects");

} // namespace azurespindle::decision
