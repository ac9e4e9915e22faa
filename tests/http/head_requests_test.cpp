// Responses to HEAD have no body, whoever gives them: bytes after their head would pass for the
// next response of the connection.

#include "http/server.h"

#include "support/raw_connection.h"
#include "support/suite.h"

namespace azurespindle::http {
namespace {

constexpr milliseconds receiveTimeout {3'000};
const settings::Address anyPort {"127.0.0.1", 0};
const std::string nextRequest = "GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

settings::CallerLimits smallLimits()
{
    settings::CallerLimits limits;
    limits.headerBytes = 1'024;
    limits.bodyBytes = 64;
    limits.requestTimeout = milliseconds(100);
    return limits;
}

/// Answers in the way that the path names.
void answer(const ServerRequest &request, const ExchangePtr &exchange)
{
    if (request.path == "/stream") {
        exchange->beginStream(200, {{"content-type", "text/event-stream"}});
        exchange->send("data: x\n\n");
        exchange->finish();
    } else if (request.path == "/next") {
        exchange->respond(200, {}, "the next");
    } else if (request.path == "/empty") {
        exchange->respond(204, {}, "");
    } else {
        exchange->respondWithFields(401, {{"X-Field", "x"}}, "the key is not known");
    }
}

std::string exchangeBytes(const Server &server, const std::string &bytes)
{
    const tests::RawConnection caller(server.port());
    caller.send(bytes);
    return caller.readAll(receiveTimeout);
}

/// Returns what stands after the first blank line.
std::string afterHead(const std::string &response)
{
    const std::size_t end = response.find("\r\n\r\n");
    return end == std::string::npos ? "no head: " + response : response.substr(end + 4);
}

} // namespace

class HeadRequestsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeadRequestsTest);
    CPPUNIT_TEST(theNextResponseBeginsRightAfterTheHead);
    CPPUNIT_TEST(aResponseWithABodyStatesItsLength);
    CPPUNIT_TEST(refusalsOfTheServerHaveNoBody);
    CPPUNIT_TEST(aResponseWithoutContentStatesNoLength);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a caller that takes the body of a refusal for its next response (rule MIXED).
    void theNextResponseBeginsRightAfterTheHead()
    {
        Server server(anyPort, smallLimits(), 1, answer);
        CPPUNIT_ASSERT(!server.start());
        for (const std::string path : {"/refused", "/stream", "/empty"}) {
            std::string request = "HEAD " + path;
            request += " HTTP/1.1\r\nHost: h\r\n\r\n" + nextRequest;
            const std::string next = afterHead(exchangeBytes(server, request));
            CPPUNIT_ASSERT_MESSAGE(next, next.rfind("HTTP/1.1 200", 0) == 0);
            CPPUNIT_ASSERT_EQUAL(std::string("the next"), afterHead(next));
        }
    }

    void aResponseWithABodyStatesItsLength()
    {
        Server server(anyPort, smallLimits(), 1, answer);
        CPPUNIT_ASSERT(!server.start());
        const std::string response
            = exchangeBytes(server, "HEAD /refused HTTP/1.1\r\nHost: h\r\n\r\n" + nextRequest);
        CPPUNIT_ASSERT_MESSAGE(response, response.find("content-length: 20\r\n") < 100);
    }

    void refusalsOfTheServerHaveNoBody()
    {
        Server server(anyPort, smallLimits(), 1, answer);
        CPPUNIT_ASSERT(!server.start());
        const std::string begin = "HEAD / HTTP/1.1\r\nHost: h\r\n";
        const std::pair<std::string, std::string> rows[] = {
            {"400", begin + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n"},
            {"400", begin + " folded\r\n\r\n"},
            {"413", begin + "Content-Length: 100\r\n\r\n"},
            {"431", begin + "X-Long: " + std::string(2'000, 'x')},
        };
        for (const auto &[status, request] : rows) {
            const std::string response = exchangeBytes(server, request);
            const std::string statusLine = "HTTP/1.1 " + status;
            CPPUNIT_ASSERT_MESSAGE(response, response.rfind(statusLine, 0) == 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(request, std::string(), afterHead(response));
        }
        server.refuseRequests();
        const std::string stopping = exchangeBytes(server, begin + "\r\n");
        CPPUNIT_ASSERT_MESSAGE(stopping, stopping.rfind("HTTP/1.1 503", 0) == 0);
        CPPUNIT_ASSERT_EQUAL(std::string(), afterHead(stopping));
    }

    void aResponseWithoutContentStatesNoLength()
    {
        Server server(anyPort, smallLimits(), 1, answer);
        CPPUNIT_ASSERT(!server.start());
        const std::string response
            = exchangeBytes(server, "GET /empty HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(response, response.rfind("HTTP/1.1 204", 0) == 0);
        CPPUNIT_ASSERT_MESSAGE(response, response.find("content-length") == std::string::npos);
    }
};

REGISTER_SUITE(HeadRequestsTest, "head_requests");

} // namespace azurespindle::http
