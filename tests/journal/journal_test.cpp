#include "journal/journal.h"

#include "support/suite.h"

#include <string>

namespace azurespindle::journal {

class JournalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JournalTest);
    CPPUNIT_TEST(onlyTheMostRecentEventsAreKept);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyTheMostRecentEventsAreKept()
    {
        Journal journal;
        const std::size_t count = Journal::maxRecent + 50;
        for (std::size_t index = 0; index < count; ++index) {
            journal.record({EventId::KeyMinted, {{"member", "m" + std::to_string(index)}}});
        }
        CPPUNIT_ASSERT_EQUAL(Journal::maxRecent, journal.recentCount());
        CPPUNIT_ASSERT(journal.concerning("m0").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             journal.concerning("m" + std::to_string(count - 1)).size());
    }
};

REGISTER_SUITE(JournalTest, "journal");

} // namespace azurespindle::journal
