#include "cli/log_explain.h"

#include "support/suite.h"

#include <sstream>

namespace azurespindle::cli {
namespace {

const std::string log = R"(not a log line
  1.5 entry-1 {"time":"T01","process":"entry-1","severity":"info","event":200,"name":"request-placed","request":"r1","upstream":"e1"}
{"time":"T02","process":"entry-1","name":"request-placed","request":"r2","upstream":"e2"}
{"time":"T03","process":"entry-1","name":"upstream-condition","upstream":"e1","condition":"leaving"}
{"time":"T03","process":"entry-1","name":"upstream-condition","upstream":"e9","condition":"leaving"}
{"time":"T04","process":"entry-1","name":"publisher-lost"}
{"time":"T05","process":"entry-2","name":"publisher-lost"}
{"time":"T06","process":"entry-1","name":"generation-lost","request":"r1","upstream":"e1","reason":"it broke"}
{"broken
{"time":"T09","process":"entry-1","name":"publisher-back"}
)";

std::string explain(const std::string &id)
{
    std::istringstream in(log);
    return explainFromLogs(readLog(in), id);
}

} // namespace

class LogExplainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogExplainTest);
    CPPUNIT_TEST(explanationOfARequestIncludesConcurrentEvents);
    CPPUNIT_TEST(explanationOfAnUpstreamIncludesItsRequests);
    CPPUNIT_TEST(anUnknownIdIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void explanationOfARequestIncludesConcurrentEvents()
    {
        const std::string expected
            = "T01 entry-1 request-placed request=r1 upstream=e1\n"
              "T03 entry-1 upstream-condition upstream=e1 condition=leaving\n"
              "T04 entry-1 publisher-lost\n"
              "T06 entry-1 generation-lost request=r1 upstream=e1 "
              "reason=\"it broke\"\n";
        CPPUNIT_ASSERT_EQUAL(expected, explain("r1"));
    }

    void explanationOfAnUpstreamIncludesItsRequests()
    {
        const std::string expected = "T02 entry-1 request-placed request=r2 upstream=e2\n";
        CPPUNIT_ASSERT_EQUAL(expected, explain("e2"));
    }

    void anUnknownIdIsReported()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("no line names r7\n"), explain("r7"));
    }
};

REGISTER_SUITE(LogExplainTest, "log_explain");

} // namespace azurespindle::cli
