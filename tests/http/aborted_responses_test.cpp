#include "http/server.h"

#include "support/raw_connection.h"
#include "support/suite.h"

namespace azurespindle::http {
namespace {

constexpr milliseconds receiveTimeout {3'000};
const settings::Address anyPort {"127.0.0.1", 0};
const std::string streamBytes = "data: x\n\n";

} // namespace

class AbortedResponsesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AbortedResponsesTest);
    CPPUNIT_TEST(whatWasSentBeforeAnAbortArrives);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a connection that is closed without a byte of a response that had begun: its
    /// caller may take the request for one that was not read, and send it again (rule TWICE).
    void whatWasSentBeforeAnAbortArrives()
    {
        Server server(anyPort, settings::CallerLimits {}, 1,
                      [](const ServerRequest &, const ExchangePtr &exchange) {
                          exchange->beginStream(200, {});
                          exchange->send(streamBytes);
                          exchange->abort();
                      });
        CPPUNIT_ASSERT(!server.start());
        const tests::RawConnection caller(server.port());
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string response = caller.readAll(receiveTimeout);
        CPPUNIT_ASSERT_MESSAGE(response, response.find(streamBytes) != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(response, response.find("0\r\n\r\n") == std::string::npos);
        CPPUNIT_ASSERT(caller.closedWithin(receiveTimeout));
    }
};

REGISTER_SUITE(AbortedResponsesTest, "aborted_responses");

} // namespace azurespindle::http
