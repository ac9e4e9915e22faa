#include "http/client.h"

#include "support/raw_server.h"
#include "support/suite.h"

#include <future>

namespace azurespindle::http {
namespace {

using tests::RawAnswer;
using tests::RawEnd;
using tests::RawServer;

constexpr milliseconds testTimeout {10'000};
/// Far below the transfer's timeout, and far above what bounded answers take.
constexpr milliseconds soon {2'000};
constexpr std::size_t smallAnswerBytes = 65'536;

struct Received
{
    TransferResult result;
    std::size_t heads = 0;     ///< Heads that were reported.
    std::size_t headBytes = 0; ///< Of the names and values of header fields.
    std::string body;
    microseconds took {0};
};

Received receive(const RawAnswer &answer, std::size_t maxResponseBytes = smallAnswerBytes)
{
    const RawServer server([&answer](const std::string &) { return answer; });
    Client client;
    Received received;
    std::promise<void> done;
    ClientRequest request;
    request.url = "http://" + server.address() + "/";
    request.totalTimeout = testTimeout;
    request.freshConnection = true;
    request.maxResponseBytes = maxResponseBytes;
    TransferCallbacks callbacks;
    callbacks.onHeaderFields = [&](int, const HeaderFields &fields) {
        received.heads += 1;
        for (const auto &[name, value] : fields) {
            received.headBytes += name.size() + value.size();
        }
    };
    callbacks.onData = [&](std::string_view bytes) {
        received.body += bytes;
        return true;
    };
    callbacks.onDone = [&](const TransferResult &result) {
        received.result = result;
        done.set_value();
    };
    const Instant begin = monotonicNow();
    client.start(std::move(request), std::move(callbacks));
    done.get_future().wait();
    received.took = monotonicNow() - begin;
    client.stop();
    return received;
}

void assertGivenUpSoon(const Received &received)
{
    CPPUNIT_ASSERT_MESSAGE(received.result.detail,
                           received.result.end == TransferEnd::ConnectionLost);
    CPPUNIT_ASSERT(received.took < soon);
    CPPUNIT_ASSERT(received.body.size() <= smallAnswerBytes);
    CPPUNIT_ASSERT(received.headBytes <= Client::maxHeadBytes);
}

const std::string okHead = "HTTP/1.1 200 OK\r\n";
const std::string chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

class ClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientTest);
    CPPUNIT_TEST(anAnswerWithoutLengthEndsWithItsConnection);
    CPPUNIT_TEST(anAnswerWithoutLengthThatIsResetIsNotComplete);
    CPPUNIT_TEST(anAnswerThatEndsEarlyIsNotComplete);
    CPPUNIT_TEST(anAnswerWithAnInvalidStatusIsNoAnswer);
    CPPUNIT_TEST(anAnswerWithAnUnsoundHeadIsNoAnswer);
    CPPUNIT_TEST(unsoundTrailersSpoilTheAnswer);
    CPPUNIT_TEST(anEndlessHeadIsGivenUp);
    CPPUNIT_TEST(endlessInterimHeadsAreGivenUp);
    CPPUNIT_TEST(endlessBytesThatAreNoHeadAreGivenUp);
    CPPUNIT_TEST(endlessTrailersAreGivenUp);
    CPPUNIT_TEST(anEndlessBodyIsGivenUp);
    CPPUNIT_TEST(anAnswerAsLongAsAllowedIsComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    void anAnswerWithoutLengthEndsWithItsConnection()
    {
        const Received received = receive({okHead + "\r\nthe body", RawEnd::Close});
        CPPUNIT_ASSERT(received.result.end == TransferEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(std::string("the body"), received.body);
    }

    void anAnswerWithoutLengthThatIsResetIsNotComplete()
    {
        const Received received = receive({okHead + "\r\nthe body", RawEnd::Reset});
        CPPUNIT_ASSERT(received.result.end == TransferEnd::ConnectionLost);
    }

    void anAnswerThatEndsEarlyIsNotComplete()
    {
        for (const std::string &bytes :
             {okHead + "Content-Length: 9\r\n\r\nthe body", chunkedHead + "8\r\nthe body\r\n",
              okHead + "X-Cut: 1\r\n", okHead + "X-Cut", std::string("HTTP/1.1 20"),
              std::string("HTTP/1.1 103 Early\r\n\r\n"), std::string()}) {
            const Received received = receive({bytes, RawEnd::Close});
            CPPUNIT_ASSERT_MESSAGE(bytes, received.result.end == TransferEnd::ConnectionLost);
        }
    }

    /// Guards against an answer whose status is 000, or another one that no server may send, and
    /// that reaches a caller as an answer (rule MIXED).
    void anAnswerWithAnInvalidStatusIsNoAnswer()
    {
        const std::string rest = " Odd\r\nContent-Length: 8\r\n\r\nthe body";
        for (const std::string status :
             {"000", "0", "00", "20", "099", "600", "999", "2000", "-20", "2x0", "+200", " 200"}) {
            std::string answer = "HTTP/1.1 ";
            answer += status;
            answer += rest;
            for (const std::string &interim :
                 {std::string(), std::string("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n")}) {
                const Received received = receive({interim + answer, RawEnd::Close});
                CPPUNIT_ASSERT_MESSAGE(status, received.result.end == TransferEnd::ConnectionLost);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(status, std::size_t(0), received.heads);
                CPPUNIT_ASSERT_MESSAGE(status, received.body.empty());
            }
        }
        for (const std::string status : {"200 OK", "404", "599 ", "418 I'm a teapot"}) {
            const Received received
                = receive({"HTTP/1.1 " + status + "\r\n\r\nthe body", RawEnd::Close});
            CPPUNIT_ASSERT_MESSAGE(status, received.result.end == TransferEnd::Complete);
        }
    }

    /// Guards against a part of a body that reaches a caller as the whole (rule MIXED).
    void anAnswerWithAnUnsoundHeadIsNoAnswer()
    {
        for (const std::string fields :
             {"Content-Length: 8~0", "Content-Length: 3 8",
              "Content-Length: ", "Content-Length: +8", "Content-Length: 3\r\nContent-Length: 8",
              "Content-Length: 8\r\nContent-Length: 8", "Content-Length: 3, 8",
              "Content-Length: 99999999999999999999",
              "Content-Length: 3\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip",
              "Transfer-Encoding: chunked, chunked", "Content-Length : 3", "X-Folded: a\r\n b",
              "X-Control: a\x01", "no field"}) {
            for (const std::string &interim :
                 {std::string(), std::string("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n")}) {
                std::string answer = interim + okHead;
                answer += fields + "\r\n\r\nthe body";
                const Received received = receive({answer, RawEnd::Close});
                CPPUNIT_ASSERT_MESSAGE(fields, received.result.end == TransferEnd::ConnectionLost);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(fields, std::size_t(0), received.heads);
                CPPUNIT_ASSERT_MESSAGE(fields, received.body.empty());
            }
        }
    }

    /// Guards against a chunk whose size was spoiled to 0, after which its bytes pass for trailers.
    void unsoundTrailersSpoilTheAnswer()
    {
        const std::string begun = chunkedHead + "3\r\nthe\r\n";
        const Received sound = receive({begun + "0\r\nX-Sum: 1\r\n\r\n", RawEnd::Close});
        CPPUNIT_ASSERT(sound.result.end == TransferEnd::Complete);
        const Received unsound = receive({begun + "0\r\n body\r\n0\r\n\r\n", RawEnd::Close});
        CPPUNIT_ASSERT(unsound.result.end == TransferEnd::ConnectionLost);
    }

    void anEndlessHeadIsGivenUp()
    {
        assertGivenUpSoon(receive({okHead, RawEnd::Endless, "X-Field: value\r\n"}));
        assertGivenUpSoon(receive({okHead + "X-Field: ", RawEnd::Endless, "value"}));
    }

    void endlessInterimHeadsAreGivenUp()
    {
        assertGivenUpSoon(receive({"", RawEnd::Endless, "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"}));
    }

    void endlessBytesThatAreNoHeadAreGivenUp()
    {
        assertGivenUpSoon(receive({"", RawEnd::Endless, "no answer "}));
        assertGivenUpSoon(receive({"", RawEnd::Endless, "\r\n"}));
        assertGivenUpSoon(receive({"", RawEnd::Endless, std::string(1, '\0')}));
    }

    void endlessTrailersAreGivenUp()
    {
        assertGivenUpSoon(
            receive({chunkedHead + "1\r\nx\r\n0\r\n", RawEnd::Endless, "X-Field: value\r\n"}));
    }

    void anEndlessBodyIsGivenUp()
    {
        assertGivenUpSoon(receive({okHead + "\r\n", RawEnd::Endless, "x"}));
        assertGivenUpSoon(receive({chunkedHead, RawEnd::Endless, "4\r\nbody\r\n"}));
    }

    void anAnswerAsLongAsAllowedIsComplete()
    {
        const std::string body(smallAnswerBytes, 'x');
        const Received received = receive({okHead + "\r\n" + body, RawEnd::Close});
        CPPUNIT_ASSERT(received.result.end == TransferEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(body, received.body);
        CPPUNIT_ASSERT(receive({okHead + "\r\n" + body, RawEnd::Close}, 0).body == body);
    }
};

REGISTER_SUITE(ClientTest, "client");

} // namespace azurespindle::http
