#include "http/server.h"
#include "support/raw_connection.h"
#include "support/suite.h"

#include <atomic>
#include <future>
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
    CPPUNIT_TEST(lateHeadersAndStalledBodiesAreRefusedWith408);
    CPPUNIT_TEST(aSlowBodyThatMakesProgressIsServed);
    CPPUNIT_TEST(stalledBodiesAreRefusedWhenMemoryIsShort);
    CPPUNIT_TEST(theSmallestVmServesTheLargestRequest);
    CPPUNIT_TEST(openRequestsBeyondTheMemoryAreRefused);
    CPPUNIT_TEST(aConnectionRefusedDuringAResponseClosesAfterIt);
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

    /// They were disconnected without a response, so that their callers could not tell whether the
    /// request had run.
    void lateHeadersAndStalledBodiesAreRefusedWith408()
    {
        std::vector<CallerRefusal> refusals;
        Server server(anyPort, shortLimits(), 1, answerOk,
                      [&](const CallerRefusal &refusal) { refusals.push_back(refusal); });
        CPPUNIT_ASSERT(!server.start());
        const std::string head = "POST / HTTP/1.1\r\n";
        for (const std::string &input :
             {head, head + "content-length: 100\r\n\r\nhalf",
              head + "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
              head + "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX: t"}) {
            const tests::RawConnection slow(server.port());
            slow.send(input);
            std::this_thread::sleep_for(shortLimits().requestTimeout + milliseconds(50));
            server.enforceTimeouts();
            const std::string answer = slow.readAll(receiveTimeout);
            CPPUNIT_ASSERT_MESSAGE(input, answer.rfind("HTTP/1.1 408", 0) == 0);
            CPPUNIT_ASSERT_MESSAGE(input, answer.find("not-run") != std::string::npos);
        }
        server.stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), refusals.size());
        CPPUNIT_ASSERT(refusals[0].reason == RefusalReason::HeaderTimedOut);
        CPPUNIT_ASSERT(refusals[3].reason == RefusalReason::BodyTimedOut);
    }

    /// The request timeout bounded the whole body, so that a body within the limit was cut on a
    /// narrow link.
    void aSlowBodyThatMakesProgressIsServed()
    {
        settings::CallerLimits limits = shortLimits();
        limits.requestTimeout = milliseconds(1'000);
        Server server(anyPort, limits, 1, answerOk);
        CPPUNIT_ASSERT(!server.start());
        const tests::RawConnection slow(server.port());
        slow.send("POST / HTTP/1.1\r\ncontent-length: 16\r\n\r\n");
        for (int part = 0; part < 16; ++part) {
            std::this_thread::sleep_for(milliseconds(100));
            server.enforceTimeouts();
            slow.send("b");
        }
        const std::string answer = slow.readUntil("ok", receiveTimeout);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.rfind("HTTP/1.1 200", 0) == 0);
    }

    /// Bodies that stop just short of their end held memory without a common bound.
    void stalledBodiesAreRefusedWhenMemoryIsShort()
    {
        settings::CallerLimits limits;
        limits.inputBytes = 1'000'000;
        limits.bodyBytes = 400'000;
        std::atomic<std::size_t> refused {0};
        Server server(anyPort, limits, 1, answerOk, [&](const CallerRefusal &refusal) {
            refused += refusal.reason == RefusalReason::MemoryShort ? 1 : 0;
        });
        CPPUNIT_ASSERT(!server.start());
        std::vector<std::unique_ptr<tests::RawConnection>> stalled;
        for (int number = 0; number < 20; ++number) {
            stalled.push_back(std::make_unique<tests::RawConnection>(server.port()));
            stalled.back()->send("POST / HTTP/1.1\r\ncontent-length: 300000\r\n\r\n"
                                 + std::string(290'000, 'b'));
        }
        const tests::RawConnection ordinary(server.port());
        ordinary.send("POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\nhello");
        const std::string answer = ordinary.readUntil("ok", receiveTimeout);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.rfind("HTTP/1.1 200", 0) == 0);
        const Instant begin = monotonicNow();
        while (refused < 17 && monotonicNow() - begin < receiveTimeout) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        CPPUNIT_ASSERT(refused >= 17);
        CPPUNIT_ASSERT(server.inputBytes() <= limits.inputBytes);
        stalled.clear();
        // The connection of the ordinary caller keeps a buffer for its next request.
        while (server.inputBytes() > 4'096 && monotonicNow() - begin < receiveTimeout * 2) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        CPPUNIT_ASSERT(server.inputBytes() <= 4'096);
    }

    /// With the budget of a VM of 88 MB, a single request of 4 MB is served in either framing.
    void theSmallestVmServesTheLargestRequest()
    {
        settings::CallerLimits limits;
        limits.bodyBytes = 4'194'304;
        limits.inputBytes = 34'603'008;
        Server server(anyPort, limits, 1, answerOk);
        CPPUNIT_ASSERT(!server.start());
        const std::string body(limits.bodyBytes, 'b');
        for (const std::string &request :
             {"POST / HTTP/1.1\r\ncontent-length: 4194304\r\n\r\n" + body,
              "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n400000\r\n" + body
                  + "\r\n0\r\n\r\n"}) {
            const tests::RawConnection caller(server.port());
            caller.send(request);
            const std::string answer = caller.readUntil("ok", receiveTimeout);
            CPPUNIT_ASSERT_MESSAGE(answer, answer.rfind("HTTP/1.1 200", 0) == 0);
        }
    }

    void openRequestsBeyondTheMemoryAreRefused()
    {
        settings::CallerLimits limits;
        limits.inputBytes = 1'000'000;
        limits.bodyBytes = 400'000;
        std::mutex mutex;
        std::vector<ExchangePtr> open;
        Server server(anyPort, limits, 1, [&](const ServerRequest &, const ExchangePtr &exchange) {
            const std::lock_guard lock(mutex);
            open.push_back(exchange);
        });
        CPPUNIT_ASSERT(!server.start());
        std::vector<std::unique_ptr<tests::RawConnection>> callers;
        for (int number = 0; number < 3; ++number) {
            callers.push_back(std::make_unique<tests::RawConnection>(server.port()));
            callers.back()->send("POST / HTTP/1.1\r\ncontent-length: 300000\r\n\r\n"
                                 + std::string(300'000, 'b'));
        }
        std::size_t refusedCount = 0;
        for (const auto &caller : callers) {
            const std::string answer = caller->readSome(milliseconds(500)).value_or("");
            refusedCount += answer.rfind("HTTP/1.1 503", 0) == 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), refusedCount);
        {
            const std::lock_guard lock(mutex);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), open.size());
            open.front()->respond(200, {}, "ok");
            open.clear();
        }
        server.stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.inputBytes());
    }

    /// Guards against a connection that stays open and is never read again (rule CONFIG).
    void aConnectionRefusedDuringAResponseClosesAfterIt()
    {
        std::promise<ExchangePtr> opened;
        Server server(anyPort, settings::CallerLimits {}, 1,
                      [&](const ServerRequest &, const ExchangePtr &exchange) {
                          opened.set_value(exchange);
                      });
        CPPUNIT_ASSERT(!server.start());
        const tests::RawConnection caller(server.port());
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        const ExchangePtr exchange = opened.get_future().get();
        const std::size_t idleBytes = server.inputBytes();
        caller.send("POST / HTTP/1.1\r\ncontent-length: 300000\r\n\r\n"
                    + std::string(300'000, 'b'));
        const Instant begin = monotonicNow();
        while (server.inputBytes() > idleBytes || monotonicNow() - begin < milliseconds(100)) {
            CPPUNIT_ASSERT(monotonicNow() - begin < receiveTimeout);
            std::this_thread::sleep_for(milliseconds(5));
        }
        exchange->respond(200, {}, "ok");
        const std::string answer = caller.readAll(receiveTimeout);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.rfind("HTTP/1.1 200", 0) == 0);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("connection: close") != std::string::npos);
        CPPUNIT_ASSERT(caller.closedWithin(receiveTimeout));
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
