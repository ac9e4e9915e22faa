#include "session/codec.h"

#include "base/text_file.h"
#include "support/line_difference.h"
#include "support/suite.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace azurespindle::session {

class CodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CodecTest);
    CPPUNIT_TEST(everyGoldenSessionReplaysByteForByte);
    CPPUNIT_TEST(aChangedEffectIsShownWithItsNeighbours);
    CPPUNIT_TEST(aMalformedEventNamesItsLineAndField);
    CPPUNIT_TEST_SUITE_END();

public:
    /// With UPDATE_GOLDEN set the files are rewritten instead, and the diff is what is reviewed.
    void everyGoldenSessionReplaysByteForByte()
    {
        const bool update = std::getenv("UPDATE_GOLDEN") != nullptr;
        std::size_t sessions = 0;
        for (const auto &file : std::filesystem::directory_iterator(GOLDEN_DIRECTORY)) {
            if (file.path().extension() != ".jsonl") {
                continue;
            }
            sessions += 1;
            const std::string recorded = readTextFile(file.path()).takeValue();
            json::Faults faults;
            const std::string replayed = replay(recorded, faults);
            CPPUNIT_ASSERT_MESSAGE(file.path().string() + json::listFaults(faults), faults.empty());
            if (update) {
                std::ofstream(file.path()) << replayed;
                continue;
            }
            const std::string difference = tests::lineDifference(recorded, replayed);
            CPPUNIT_ASSERT_MESSAGE(file.path().string() + ": " + difference, difference.empty());
        }
        CPPUNIT_ASSERT(sessions > 10);
    }

    void aChangedEffectIsShownWithItsNeighbours()
    {
        const std::string difference = tests::lineDifference("a\nb\nc\n", "a\nx\nc\n");
        CPPUNIT_ASSERT(difference.find("line 2") != std::string::npos);
        CPPUNIT_ASSERT(difference.find("expected 2: b") != std::string::npos);
        CPPUNIT_ASSERT(difference.find("actual   2: x") != std::string::npos);
    }

    void aMalformedEventNamesItsLineAndField()
    {
        json::Faults faults;
        replay("# comment\n{\"at\":1,\"event\":{\"type\":\"Tock\"}}\n", faults);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), faults.size());
        CPPUNIT_ASSERT_EQUAL(std::string("line 2 $.event.type"), faults.front().path);
    }
};

REGISTER_SUITE(CodecTest, "codec");

} // namespace azurespindle::session
