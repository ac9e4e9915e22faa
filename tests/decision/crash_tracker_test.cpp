#include "decision/crash_tracker.h"

#include "decision/prefix_index.h"
#include "support/suite.h"

namespace azurespindle::decision {

class CrashTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashTrackerTest);
    CPPUNIT_TEST(aRequestIsBlockedAfterTheSecondCrash);
    CPPUNIT_TEST(aCrashReportedTwiceIsCountedOnce);
    CPPUNIT_TEST(aSuspectThatCompletesIsCleared);
    CPPUNIT_TEST(aBlockedRequestIsNotClearedByACompletion);
    CPPUNIT_TEST(crashesAreForgottenAfterTheRetention);
    CPPUNIT_TEST(theNumberOfFingerprintsIsBounded);
    CPPUNIT_TEST(blocksOfAPromptAreEvictedFromItsEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void aRequestIsBlockedAfterTheSecondCrash()
    {
        CrashTracker crashes;
        crashes.recordCrash(7, "e1", 1, Instant());
        CPPUNIT_ASSERT(crashes.isSuspect(7, Instant()));
        CPPUNIT_ASSERT(!crashes.isBlocked(7, Instant()));
        crashes.recordCrash(7, "e2", 1, Instant());
        CPPUNIT_ASSERT(crashes.isBlocked(7, Instant()));
    }

    void aCrashReportedTwiceIsCountedOnce()
    {
        CrashTracker crashes;
        CPPUNIT_ASSERT(crashes.recordCrash(7, "e1", 1, Instant()));
        CPPUNIT_ASSERT(!crashes.recordCrash(7, "e1", 1, Instant()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), crashes.crashCount(7, Instant()));
    }

    void aSuspectThatCompletesIsCleared()
    {
        CrashTracker crashes;
        crashes.recordCrash(7, "e1", 1, Instant());
        CPPUNIT_ASSERT(crashes.clearSuspect(7));
        CPPUNIT_ASSERT(!crashes.isSuspect(7, Instant()));
    }

    void aBlockedRequestIsNotClearedByACompletion()
    {
        CrashTracker crashes;
        crashes.recordCrash(7, "e1", 1, Instant());
        crashes.recordCrash(7, "e1", 2, Instant());
        CPPUNIT_ASSERT(!crashes.clearSuspect(7));
        CPPUNIT_ASSERT(crashes.isBlocked(7, Instant()));
    }

    void crashesAreForgottenAfterTheRetention()
    {
        CrashTracker crashes;
        crashes.recordCrash(7, "e1", 1, Instant());
        const Instant later = Instant() + CrashTracker::retention + seconds(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), crashes.crashCount(7, later));
    }

    void theNumberOfFingerprintsIsBounded()
    {
        CrashTracker crashes;
        for (std::uint64_t index = 0; index < 3 * CrashTracker::maxFingerprints; ++index) {
            crashes.recordCrash(index, "e1", 1, Instant());
        }
        CPPUNIT_ASSERT_EQUAL(CrashTracker::maxFingerprints, crashes.size());
    }

    void blocksOfAPromptAreEvictedFromItsEnd()
    {
        PrefixIndex index;
        std::vector<std::uint64_t> first(PrefixIndex::maxBlocks);
        for (std::size_t block = 0; block < first.size(); ++block) {
            first[block] = block + 1;
        }
        index.add(first);
        index.add({100'001, 100'002});
        CPPUNIT_ASSERT_EQUAL(PrefixIndex::maxBlocks, index.size());
        const Tokens expected = static_cast<Tokens>(PrefixIndex::maxBlocks - 2) * prefixBlockTokens;
        CPPUNIT_ASSERT_EQUAL(expected, index.cachedTokens(first));
    }
};

REGISTER_SUITE(CrashTrackerTest, "crash_tracker");

} // namespace azurespindle::decision
