#include "http/server.h"
#include "support/raw_connection.h"
#include "support/suite.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace azurespindle::http {
namespace {

constexpr milliseconds receiveTimeout {5'000};
const settings::Address anyPort {"127.0.0.1", 0};

settings::CallerLimits shortLimits()
{
    settings::CallerLimits limits;
    limits.requestTimeout = milliseconds(300);
    limits.bodyBytes = 4'096;
    return limits;
}

void answerOk(const ServerRequest &, const ExchangePtr &exchange)
{
    exchange->respond(200, {}, "ok");
}

} // namespace

/// Limits on what callers send, at a server on loopback.
class CallerLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerLimitsTest);
    CPPUNIT_TEST(changedLimitsApplyToOpenConnections);
    CPPUNIT_TEST(callersThatSendWithoutEndHoldUpNobodyElse);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Connections kept the limits with which they were accepted: a raised limit still refused, and
    /// a lowered one did not.
    void changedLimitsApplyToOpenConnections()
    {
        settings::CallerLimits limits = shortLimits();
        Server server(anyPort, limits, 1, answerOk);
        CPPUNIT_ASSERT(!server.start());
        const tests::RawConnection kept(server.port());
        const auto answerTo = [&](std::size_t bodyBytes) {
            kept.send("POST / HTTP/1.1\r\ncontent-length: " + std::to_string(bodyBytes) + "\r\n\r\n"
                      + std::string(bodyBytes, 'x'));
            const std::string answer = kept.readUntil("ok", receiveTimeout);
            return answer.substr(0, std::string("HTTP/1.1 200").size());
        };
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), answerTo(4'000));
        limits.bodyBytes = 9'000;
        server.setLimits(limits);
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), answerTo(8'000));
        limits.bodyBytes = 100;
        server.setLimits(limits);
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413"), answerTo(200));
    }

    /// The thread read one connection until nothing had arrived, which never was so while its
    /// caller sent faster than it read, also after the request had been refused.
    void callersThatSendWithoutEndHoldUpNobodyElse()
    {
        Server server(anyPort, settings::CallerLimits {}, 1,
                      [](const ServerRequest &, const ExchangePtr &exchange) {
                          exchange->respond(200, {}, "small");
                      });
        CPPUNIT_ASSERT(!server.start());
        std::atomic<bool> ending {false};
        std::vector<std::thread> senders;
        senders.reserve(3);
        for (int number = 0; number < 3; ++number) {
            senders.emplace_back([&] {
                const std::string bytes(262'144, 'x');
                while (!ending) {
                    const tests::RawConnection sender(server.port());
                    sender.send("POST / HTTP/1.1\r\ncontent-length: 1000000000\r\n\r\n");
                    for (int part = 0; part < 200 && !ending; ++part) {
                        sender.send(bytes);
                    }
                }
            });
        }
        std::size_t answered = 0;
        for (int number = 0; number < 20; ++number) {
            const tests::RawConnection caller(server.port());
            caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            answered += caller.readUntil("small", receiveTimeout).empty() ? 0 : 1;
        }
        ending = true;
        for (std::thread &sender : senders) {
            sender.join();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), answered);
        server.stop();
    }
};

REGISTER_SUITE(CallerLimitsTest, "caller_limits");

} // namespace azurespindle::http
