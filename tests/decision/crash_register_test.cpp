#include "decision/crash_register.h"

#include "decision/prefix_index.h"
#include "support/suite.h"

namespace azurespindle::decision {

class CrashRegisterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashRegisterTest);
    CPPUNIT_TEST(refusesAfterTheSecondDeath);
    CPPUNIT_TEST(oneDeathReportedByManyCountsOnce);
    CPPUNIT_TEST(aRequestThatRanToItsEndIsCleared);
    CPPUNIT_TEST(aConvictedRequestIsNotClearedByAnother);
    CPPUNIT_TEST(deathsAreForgottenAfterAnHour);
    CPPUNIT_TEST(fingerprintsAreBounded);
    CPPUNIT_TEST(aPromptIsForgottenFromItsEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusesAfterTheSecondDeath()
    {
        CrashRegister crashes;
        crashes.blame(7, "e1", 1, Instant());
        CPPUNIT_ASSERT(crashes.suspects(7, Instant()));
        CPPUNIT_ASSERT(!crashes.refuses(7, Instant()));
        crashes.blame(7, "e2", 1, Instant());
        CPPUNIT_ASSERT(crashes.refuses(7, Instant()));
    }

    void oneDeathReportedByManyCountsOnce()
    {
        CrashRegister crashes;
        CPPUNIT_ASSERT(crashes.blame(7, "e1", 1, Instant()));
        CPPUNIT_ASSERT(!crashes.blame(7, "e1", 1, Instant()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), crashes.deaths(7, Instant()));
    }

    void aRequestThatRanToItsEndIsCleared()
    {
        CrashRegister crashes;
        crashes.blame(7, "e1", 1, Instant());
        CPPUNIT_ASSERT(crashes.clear(7));
        CPPUNIT_ASSERT(!crashes.suspects(7, Instant()));
    }

    void aConvictedRequestIsNotClearedByAnother()
    {
        CrashRegister crashes;
        crashes.blame(7, "e1", 1, Instant());
        crashes.blame(7, "e1", 2, Instant());
        CPPUNIT_ASSERT(!crashes.clear(7));
        CPPUNIT_ASSERT(crashes.refuses(7, Instant()));
    }

    void deathsAreForgottenAfterAnHour()
    {
        CrashRegister crashes;
        crashes.blame(7, "e1", 1, Instant());
        const Instant later = Instant() + CrashRegister::memory + seconds(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), crashes.deaths(7, later));
    }

    void fingerprintsAreBounded()
    {
        CrashRegister crashes;
        for (std::uint64_t index = 0; index < 3 * CrashRegister::maxFingerprints; ++index) {
            crashes.blame(index, "e1", 1, Instant());
        }
        CPPUNIT_ASSERT_EQUAL(CrashRegister::maxFingerprints, crashes.size());
    }

    void aPromptIsForgottenFromItsEnd()
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

REGISTER_SUITE(CrashRegisterTest, "crash_register");

} // namespace azurespindle::decision
