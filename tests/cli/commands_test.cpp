#include "cli/commands.h"

#include "platform/adapter.h"
#include "support/suite.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace azurespindle::cli {
namespace {

/// What a command printed, and what it exited with.
struct Ran
{
    int code = 0;
    std::string out;
    std::string errors;
};

Ran runCommand(std::vector<std::string> words)
{
    words.insert(words.begin(), "azurespindle");
    std::vector<char *> values;
    values.reserve(words.size());
    for (std::string &word : words) {
        values.push_back(word.data());
    }
    const std::ostringstream out;
    const std::ostringstream errors;
    std::streambuf *const standardOut = std::cout.rdbuf(out.rdbuf());
    std::streambuf *const standardError = std::cerr.rdbuf(errors.rdbuf());
    Ran ran;
    ran.code = run(static_cast<int>(values.size()), values.data(), platform::makePlatformAdapter);
    std::cout.rdbuf(standardOut);
    std::cerr.rdbuf(standardError);
    ran.out = out.str();
    ran.errors = errors.str();
    return ran;
}

const std::string samples = std::string(SOURCE_DIRECTORY) + "/samples/";

} // namespace

class CommandsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommandsTest);
    CPPUNIT_TEST(helpShowsEveryCommandWithExamples);
    CPPUNIT_TEST(wrongUsageIsToldInOneLine);
    CPPUNIT_TEST(checkNamesEachFaultAndItsPlace);
    CPPUNIT_TEST(everySampleIsGood);
    CPPUNIT_TEST(aProcessThatDoesNotAnswerIsToldSo);
    CPPUNIT_TEST(serveRefusesBadSettings);
    CPPUNIT_TEST_SUITE_END();

public:
    void helpShowsEveryCommandWithExamples()
    {
        const Ran ran = runCommand({"--help"});
        CPPUNIT_ASSERT_EQUAL(int(ExitOk), ran.code);
        for (const char *word :
             {"serve", "check", "status", "explain", "configuration", "Examples", "Exit codes"}) {
            CPPUNIT_ASSERT_MESSAGE(word, ran.out.find(word) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(int(ExitOk), runCommand({"--version"}).code);
    }

    void wrongUsageIsToldInOneLine()
    {
        const std::vector<std::vector<std::string>> wrong {
            {},
            {"sevre"},
            {"--colour"},
            {"serve"},
            {"serve", "a", "b"},
            {"check"},
            {"explain"},
            {"explain", "1", "2"},
            {"status", "now"},
            {"status", "--address", "here"},
            {"status", "--address"},
        };
        for (const auto &words : wrong) {
            const Ran ran = runCommand(words);
            const std::string context = words.empty() ? "no words" : words.back();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, int(ExitUsage), ran.code);
            CPPUNIT_ASSERT_MESSAGE(ran.errors, ran.errors.find("--help") != std::string::npos);
        }
    }

    void checkNamesEachFaultAndItsPlace()
    {
        const std::string path = "/tmp/azurespindle-commands-test.json";
        std::ofstream(path) << R"({"revision":0,"models":[{}]})";
        const Ran ran = runCommand({"check", path, "/no/such/file"});
        CPPUNIT_ASSERT_EQUAL(int(ExitFault), ran.code);
        CPPUNIT_ASSERT_MESSAGE(ran.out, ran.out.find("2 faults") != std::string::npos);
        CPPUNIT_ASSERT(ran.out.find("$.models[0].name: found nothing") != std::string::npos);
        CPPUNIT_ASSERT(ran.errors.find("/no/such/file") != std::string::npos);
    }

    void everySampleIsGood()
    {
        const Ran ran = runCommand(
            {"check", samples + "1-first-steps/settings.json",
             samples + "1-first-steps/configuration.json", samples + "1-first-steps/vms.json",
             samples + "2-two-zones/entry-1.json", samples + "2-two-zones/configuration.json",
             samples + "2-two-zones/vms.json", samples + "3-exceptions/configuration.json"});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(ran.out, int(ExitOk), ran.code);
    }

    void aProcessThatDoesNotAnswerIsToldSo()
    {
        const Ran ran = runCommand({"status", "--address", "127.0.0.1:1"});
        CPPUNIT_ASSERT_EQUAL(int(ExitUnreachable), ran.code);
        CPPUNIT_ASSERT_MESSAGE(ran.errors,
                               ran.errors.find("no answer from 127.0.0.1:1") != std::string::npos);
    }

    void serveRefusesBadSettings()
    {
        const Ran ran = runCommand({"serve", samples + "3-exceptions/configuration.json"});
        CPPUNIT_ASSERT_EQUAL(int(ExitFault), ran.code);
        CPPUNIT_ASSERT_MESSAGE(ran.errors, ran.errors.find("$.callerAddress") != std::string::npos);
    }
};

REGISTER_SUITE(CommandsTest, "commands");

} // namespace azurespindle::cli
