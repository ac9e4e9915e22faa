#include "journal/journal.h"

#include "support/suite.h"

#include <unistd.h>

#include <array>
#include <iostream>
#include <string>
#include <thread>

namespace azurespindle::journal {

class JournalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JournalTest);
    CPPUNIT_TEST(onlyTheMostRecentEntriesAreKept);
    CPPUNIT_TEST(aLogThatIsNotReadDoesNotBlockLogging);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyTheMostRecentEntriesAreKept()
    {
        Journal journal;
        const std::size_t count = Journal::maxRecent + 50;
        for (std::size_t index = 0; index < count; ++index) {
            journal.record({EventId::KeyMinted, {{"member", "m" + std::to_string(index)}}});
        }
        CPPUNIT_ASSERT_EQUAL(Journal::maxRecent, journal.recentCount());
        CPPUNIT_ASSERT(journal.eventsWithValue("m0").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             journal.eventsWithValue("m" + std::to_string(count - 1)).size());
    }

    /// Guards against logging that blocks the process when the log collector has stopped reading,
    /// so that the pipe on standard output is full.
    void aLogThatIsNotReadDoesNotBlockLogging()
    {
        std::array<int, 2> ends {};
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
        const int standardOutput = dup(STDOUT_FILENO);
        std::cout.flush();
        dup2(ends[1], STDOUT_FILENO);
        openBoundedLog(settings::LogFormat::Json, "full", Severity::Info);
        Journal journal;
        const Instant started = monotonicNow();
        constexpr int lines = 12'000;
        for (int index = 0; index < lines; ++index) {
            journal.record({EventId::RequestFinished, {{"request", std::to_string(index)}}});
        }
        const microseconds elapsed = monotonicNow() - started;
        const std::uint64_t dropped = takeDroppedLineCount();
        // The logging thread may block in a write. Its output is read and discarded so that it can
        // finish before standard output is restored.
        std::thread([end = ends[0]] {
            std::array<char, 4'096> bytes {};
            while (read(end, bytes.data(), bytes.size()) > 0) { }
        }).detach();
        closeBoundedLog();
        dup2(standardOutput, STDOUT_FILENO);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(inSeconds(elapsed)), elapsed < seconds(5));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(dropped), dropped > 1'000);
    }
};

REGISTER_SUITE(JournalTest, "journal");

} // namespace azurespindle::journal
