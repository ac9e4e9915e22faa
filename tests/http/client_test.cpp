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

struct Received
{
    TransferResult result;
    std::string body;
};

Received receive(const RawAnswer &answer)
{
    const RawServer server([&answer](const std::string &) { return answer; });
    Client client;
    Received received;
    std::promise<void> done;
    ClientRequest request;
    request.url = "http://" + server.address() + "/";
    request.totalTimeout = testTimeout;
    request.freshConnection = true;
    TransferCallbacks callbacks;
    callbacks.onData = [&](std::string_view bytes) {
        received.body += bytes;
        return true;
    };
    callbacks.onDone = [&](const TransferResult &result) {
        received.result = result;
        done.set_value();
    };
    client.start(std::move(request), std::move(callbacks));
    done.get_future().wait();
    client.stop();
    return received;
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
};

REGISTER_SUITE(ClientTest, "client");

} // namespace azurespindle::http
