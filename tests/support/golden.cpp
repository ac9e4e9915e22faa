#include "support/golden.h"

#include "base/text_file.h"
#include "support/line_difference.h"

#include <cppunit/TestAssert.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace azurespindle::tests {

std::size_t checkGoldenSessions(const std::string &folder, const Replay &replay)
{
    const bool update = std::getenv("UPDATE_GOLDEN") != nullptr;
    std::size_t sessions = 0;
    for (const auto &file :
         std::filesystem::directory_iterator(std::string(GOLDEN_DIRECTORY) + "/" + folder)) {
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
        const std::string difference = lineDifference(recorded, replayed);
        CPPUNIT_ASSERT_MESSAGE(file.path().string() + ": " + difference, difference.empty());
    }
    return sessions;
}

} // namespace azurespindle::tests
