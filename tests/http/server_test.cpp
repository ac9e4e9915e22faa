#include "http/server.h"

#include "http/client.h"
#include "support/raw_connection.h"
#include "support/suite.h"

#include <condition_variable>
#include <random>
#include <thread>

namespace azurespindle::http {
namespace {

constexpr int eventsPerStream = 30;
constexpr milliseconds patience {3'000};

/// Streams numbered events of one generation from a thread that owns no connection.
void streamGeneration(const ExchangePtr &exchange, int generation)
{
    exchange->beginStream(200, {{"content-type", "text/event-stream"}});
    for (int event = 0; event < eventsPerStream; ++event) {
        exchange->send("g" + std::to_string(generation) + ":" + std::to_string(event) + "\n");
        std::this_thread::sleep_for(milliseconds(3));
    }
    exchange->finish();
}

/// Returns what is wrong with a response, or an empty text.
std::string fault(const std::string &body, bool whole)
{
    std::string generation;
    int next = 0;
    std::size_t begin = 0;
    while (begin < body.size()) {
        const std::size_t end = body.find('\n', begin);
        const std::size_t colon = body.find(':', begin);
        if (end == std::string::npos || colon == std::string::npos) {
            break;
        }
        const std::string name = body.substr(begin, colon - begin);
        generation = generation.empty() ? name : generation;
        if (name != generation) {
            return std::string("events of ").append(generation).append(" and of ").append(name);
        }
        if (std::stoi(body.substr(colon + 1, end - colon - 1)) != next) {
            return "event " + std::to_string(next) + " is missing or doubled";
        }
        next += 1;
        begin = end + 1;
    }
    const bool missing = whole && next != eventsPerStream;
    return missing ? "only " + std::to_string(next) + " events" : "";
}

settings::CallerLimits quickLimits()
{
    settings::CallerLimits limits;
    limits.requestTimeout = milliseconds(300);
    limits.writeTimeout = milliseconds(500);
    limits.headerAndBodyBytes = 4'096;
    limits.connections = 8;
    limits.unsentBytes = 65'536;
    return limits;
}

const settings::Address anyPort {"127.0.0.1", 0};

} // namespace

class ServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerTest);
    CPPUNIT_TEST(responseHoldsOneGenerationThoughCallersHangUpAndComeBack);
    CPPUNIT_TEST(halfSentRequestIsDisconnected);
    CPPUNIT_TEST(oversizedRequestIsRefused);
    CPPUNIT_TEST(connectionBeyondTheLimitIsRefused);
    CPPUNIT_TEST(slowReaderIsBoundedAndDisconnected);
    CPPUNIT_TEST(keptConnectionServesOneRequestAfterTheOther);
    CPPUNIT_TEST(malformedRequestsGetAnErrorAndHarmNobody);
    CPPUNIT_TEST(hangUpIsToldOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The check of a fault of the library: writes are keyed by file descriptor there, and the
    /// number is reused as soon as a caller is gone.
    void responseHoldsOneGenerationThoughCallersHangUpAndComeBack()
    {
        constexpr int rounds = 3;
        constexpr int callers = 60;
        std::atomic<int> generations {0};
        std::mutex mutex;
        std::vector<std::thread> streams;
        Server server(anyPort, {}, 4, [&](const ServerRequest &, const ExchangePtr &exchange) {
            const std::lock_guard lock(mutex);
            streams.emplace_back(streamGeneration, exchange, generations++);
        });
        CPPUNIT_ASSERT(!server.start());
        std::mt19937 random(7);
        for (int round = 0; round < rounds; ++round) {
            this->runRound(server.port(), callers, random);
        }
        for (std::thread &stream : streams) {
            stream.join();
        }
        CPPUNIT_ASSERT_EQUAL(rounds * callers * 2, generations.load());
    }

    void halfSentRequestIsDisconnected()
    {
        Server server(anyPort, quickLimits(), 1, answerOk);
        CPPUNIT_ASSERT(!server.start());
        const tests::RawConnection slow(server.port());
        slow.send("POST /v1/completions HTTP/1.1\r\ncontent-length: 100\r\n\r\nhalf");
        const Instant sent = monotonicNow();
        bool closed = false;
        while (!closed && monotonicNow() - sent < patience) {
            server.enforceTimeouts();
            closed = slow.closedWithin(milliseconds(100));
        }
        CPPUNIT_ASSERT(closed);
        CPPUNIT_ASSERT(monotonicNow() - sent >= quickLimits().requestTimeout);
    }

    void oversizedRequestIsRefused()
    {
        Server server(anyPort, quickLimits(), 1, answerOk);
        CPPUNIT_ASSERT(!server.start());
        const tests::RawConnection large(server.port());
        large.send("POST / HTTP/1.1\r\ncontent-length: 9000\r\n\r\n" + std::string(9'000, 'x'));
        const std::string answer = large.readUntil("}", patience);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("413") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("not-run") != std::string::npos);
    }

    void connectionBeyondTheLimitIsRefused()
    {
        Server server(anyPort, quickLimits(), 2, answerOk);
        CPPUNIT_ASSERT(!server.start());
        std::vector<std::unique_ptr<tests::RawConnection>> open;
        for (std::size_t index = 0; index < quickLimits().connections; ++index) {
            open.push_back(std::make_unique<tests::RawConnection>(server.port()));
            open.back()->send("GET / HTTP/1.1\r\n\r\n");
            CPPUNIT_ASSERT(open.back()->readUntil("ok", patience).find("200") != std::string::npos);
        }
        const tests::RawConnection extra(server.port());
        const std::string answer = extra.readUntil("}", patience);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("503") != std::string::npos);
    }

    void slowReaderIsBoundedAndDisconnected()
    {
        std::atomic<bool> gone {false};
        std::atomic<std::size_t> mostUnsent {0};
        ExchangePtr kept;
        Server server(anyPort, quickLimits(), 1,
                      [&](const ServerRequest &, const ExchangePtr &exchange) {
                          kept = exchange;
                          exchange->onDisconnected([&] { gone = true; });
                          exchange->beginStream(200, {});
                      });
        CPPUNIT_ASSERT(!server.start());
        const tests::RawConnection reader(server.port());
        reader.send("GET / HTTP/1.1\r\n\r\n");
        CPPUNIT_ASSERT(!reader.readUntil("\r\n\r\n", patience).empty());
        const Instant begin = monotonicNow();
        const std::string part(8'192, 'x');
        while (!gone && monotonicNow() - begin < patience * 2) {
            if (!kept->congested()) {
                kept->send(part);
            }
            mostUnsent = std::max(mostUnsent.load(), kept->unsentBytes());
            server.enforceTimeouts();
            std::this_thread::sleep_for(milliseconds(1));
        }
        CPPUNIT_ASSERT_MESSAGE("a reader that reads nothing is disconnected", gone.load());
        CPPUNIT_ASSERT(mostUnsent <= quickLimits().unsentBytes + part.size() + 64);
    }

    void keptConnectionServesOneRequestAfterTheOther()
    {
        Server server(anyPort, quickLimits(), 1, answerOk);
        CPPUNIT_ASSERT(!server.start());
        const tests::RawConnection connection(server.port());
        for (int request = 0; request < 3; ++request) {
            connection.send("GET /a?x=1 HTTP/1.1\r\nhost: here\r\n\r\n");
            const std::string answer = connection.readUntil("ok", patience);
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find("200 OK") != std::string::npos);
        }
    }

    void malformedRequestsGetAnErrorAndHarmNobody()
    {
        Server server(anyPort, quickLimits(), 1, answerOk);
        CPPUNIT_ASSERT(!server.start());
        const std::vector<std::string> malformed {
            "GARBAGE\r\n\r\n",
            "GET\r\n\r\n",
            "GET / HTTP/9.9\r\n\r\n",
            "POST / HTTP/1.1\r\ncontent-length: abc\r\n\r\n",
            std::string("\0\1\2\3\r\n\r\n", 8),
            "GET / HTTP/1.1\r\nno colon here\r\n\r\n",
        };
        for (const std::string &bytes : malformed) {
            const tests::RawConnection connection(server.port());
            connection.send(bytes);
            const std::string answer = connection.readUntil("}", milliseconds(600));
            const bool refused = answer.empty() || answer.find("HTTP/1.1 4") == 0
                || answer.find("HTTP/1.1 5") == 0;
            CPPUNIT_ASSERT_MESSAGE(std::string(bytes).append(" -> ").append(answer), refused);
        }
        const tests::RawConnection good(server.port());
        good.send("GET / HTTP/1.1\r\n\r\n");
        CPPUNIT_ASSERT(good.readUntil("ok", patience).find("200 OK") != std::string::npos);
    }

    void hangUpIsToldOnce()
    {
        std::atomic<int> told {0};
        std::atomic<bool> arrived {false};
        Server server(anyPort, {}, 1, [&](const ServerRequest &, const ExchangePtr &exchange) {
            exchange->onDisconnected([&] { told += 1; });
            exchange->beginStream(200, {});
            arrived = true;
        });
        CPPUNIT_ASSERT(!server.start());
        {
            const tests::RawConnection connection(server.port());
            connection.send("GET / HTTP/1.1\r\n\r\n");
            CPPUNIT_ASSERT(!connection.readUntil("\r\n\r\n", patience).empty());
        }
        const Instant begin = monotonicNow();
        while (told == 0 && monotonicNow() - begin < patience) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        CPPUNIT_ASSERT_EQUAL(1, told.load());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.openConnections());
    }

private:
    static void answerOk(const ServerRequest &, const ExchangePtr &exchange)
    {
        exchange->respond(200, {}, "ok");
    }

    struct Caller
    {
        std::string body;
        bool ended = false;
        TransferId transfer = 0;
        int hangUpAfter = 0; ///< Events; 0: stays to the end.
        bool again = false;
    };

    /// Each caller calls twice: half of the first calls hang up at random and call again at once.
    void runRound(std::uint16_t port, int count, std::mt19937 &random)
    {
        Client client;
        std::mutex mutex;
        std::condition_variable changed;
        std::vector<std::shared_ptr<Caller>> callers;
        int open = 0;
        ClientRequest request;
        request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
        std::function<void(int)> call = [&](int hangUpAfter) {
            auto caller = std::make_shared<Caller>();
            caller->hangUpAfter = hangUpAfter;
            callers.push_back(caller);
            open += 1;
            TransferCallbacks callbacks;
            callbacks.onData = [&, caller](std::string_view bytes) {
                const std::lock_guard lock(mutex);
                caller->body += bytes;
                const auto events = std::count(caller->body.begin(), caller->body.end(), '\n');
                const bool hangsUp = caller->hangUpAfter > 0 && events >= caller->hangUpAfter;
                if (hangsUp && !std::exchange(caller->again, true)) {
                    client.cancel(caller->transfer);
                    open -= 1;
                    call(0);
                    changed.notify_all();
                }
                return true;
            };
            callbacks.onDone = [&, caller](const TransferResult &) {
                const std::lock_guard lock(mutex);
                caller->ended = true;
                open -= 1;
                changed.notify_all();
            };
            caller->transfer = client.start(request, callbacks);
        };
        std::unique_lock lock(mutex);
        std::uniform_int_distribution<int> any(1, eventsPerStream - 5);
        for (int index = 0; index < count; ++index) {
            call(any(random));
        }
        const bool done = changed.wait_for(lock, seconds(20), [&] { return open == 0; });
        CPPUNIT_ASSERT_MESSAGE("all callers end", done);
        for (const auto &caller : callers) {
            const std::string wrong = fault(caller->body, caller->hangUpAfter == 0);
            CPPUNIT_ASSERT_MESSAGE(wrong, wrong.empty());
        }
    }
};

REGISTER_SUITE(ServerTest, "server");

} // namespace azurespindle::http
