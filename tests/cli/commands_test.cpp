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

/// Exit code and output of a command.
struct CommandResult
{
    int code = 0;
    std::string out;
    std::string errors;
};

CommandResult runCommand(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "azurespindle");
    std::vector<char *> values;
    values.reserve(arguments.size());
    for (std::string &word : arguments) {
        values.push_back(word.data());
    }
    const std::ostringstream out;
    const std::ostringstream errors;
    std::streambuf *const standardOut = std::cout.rdbuf(out.rdbuf());
    std::streambuf *const standardError = std::cerr.rdbuf(errors.rdbuf());
    CommandResult result;
    result.code
        = run(static_cast<int>(values.size()), values.data(), platform::makePlatformAdapter);
    std::cout.rdbuf(standardOut);
    std::cerr.rdbuf(standardError);
    result.out = out.str();
    result.errors = errors.str();
    return result;
}

const std::string samples = std::string(SOURCE_DIRECTORY) + "/samples/";

} // namespace

class CommandsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommandsTest);
    CPPUNIT_TEST(helpShowsEveryCommandWithExamples);
    CPPUNIT_TEST(invalidUsagePointsToHelp);
    CPPUNIT_TEST(checkReportsEachFaultWithItsPath);
    CPPUNIT_TEST(everySampleIsValid);
    CPPUNIT_TEST(anUnreachableProcessIsReported);
    CPPUNIT_TEST(serveRejectsInvalidSettings);
    CPPUNIT_TEST_SUITE_END();

public:
    void helpShowsEveryCommandWithExamples()
    {
        const CommandResult result = runCommand({"--help"});
        CPPUNIT_ASSERT_EQUAL(int(ExitOk), result.code);
        for (const char *word :
             {"serve", "check", "status", "explain", "configuration", "Examples", "Exit codes"}) {
            CPPUNIT_ASSERT_MESSAGE(word, result.out.find(word) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(int(ExitOk), runCommand({"--version"}).code);
    }

    void invalidUsagePointsToHelp()
    {
        const std::vector<std::vector<std::string>> invalid {
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
        for (const auto &arguments : invalid) {
            const CommandResult result = runCommand(arguments);
            const std::string context = arguments.empty() ? "no arguments" : arguments.back();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, int(ExitUsage), result.code);
            CPPUNIT_ASSERT_MESSAGE(result.errors,
                                   result.errors.find("--help") != std::string::npos);
        }
    }

    void checkReportsEachFaultWithItsPath()
    {
        const std::string path = "/tmp/azurespindle-commands-test.json";
        std::ofstream(path) << R"({"revision":0,"models":[{}]})";
        const CommandResult result = runCommand({"check", path, "/no/such/file"});
        CPPUNIT_ASSERT_EQUAL(int(ExitFault), result.code);
        CPPUNIT_ASSERT_MESSAGE(result.out, result.out.find("2 faults") != std::string::npos);
        CPPUNIT_ASSERT(result.out.find("$.models[0].name: found nothing") != std::string::npos);
        CPPUNIT_ASSERT(result.errors.find("/no/such/file") != std::string::npos);
    }

    void everySampleIsValid()
    {
        const CommandResult result = runCommand(
            {"check", samples + "1-first-steps/settings.json",
             samples + "1-first-steps/configuration.json", samples + "1-first-steps/vms.json",
             samples + "2-two-zones/entry-1.json", samples + "2-two-zones/configuration.json",
             samples + "2-two-zones/vms.json", samples + "3-exceptions/configuration.json"});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.out, int(ExitOk), result.code);
    }

    void anUnreachableProcessIsReported()
    {
        const CommandResult result = runCommand({"status", "--address", "127.0.0.1:1"});
        CPPUNIT_ASSERT_EQUAL(int(ExitUnreachable), result.code);
        CPPUNIT_ASSERT_MESSAGE(
            result.errors, result.errors.find("no answer from 127.0.0.1:1") != std::string::npos);
    }

    void serveRejectsInvalidSettings()
    {
        const CommandResult result
            = runCommand({"serve", samples + "3-exceptions/configuration.json"});
        CPPUNIT_ASSERT_EQUAL(int(ExitFault), result.code);
        CPPUNIT_ASSERT_MESSAGE(result.errors,
                               result.errors.find("$.callerAddress") != std::string::npos);
    }
};

REGISTER_SUITE(CommandsTest, "commands");

} // namespace azurespindle::cli
