#include "serving/request_forwarder.h"

#include "platform/adapter.h"
#include "platform/fake_platform.h"
#include "serving/routing_process.h"
#include "support/raw_server.h"
#include "support/serve_process.h"
#include "support/suite.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>
#include <map>
#include <optional>
#include <regex>
#include <thread>

namespace azurespindle::serving {
namespace {

using tests::FakeStore;
using tests::RawAnswer;
using tests::RawEnd;
using tests::RawServer;
using tests::ServeProcess;

constexpr std::uint16_t storePort = 22'400;
constexpr std::uint16_t processPort = 22'410;
constexpr std::uint16_t separateProcessPort = 22'420;
constexpr milliseconds testTimeout {40'000};
/// Timeout of every route: long, so that a busy machine does not let it pass.
constexpr milliseconds routeTimeout {30'000};
/// Below the timeout of a route: what takes less was not ended by it.
constexpr milliseconds soon {25'000};

const std::string sealedHead = "HTTP/1.1 200 OK\r\nAzurespindle-Server-Seal: seal\r\n";
const std::string streamHead = sealedHead + "Content-Type: text/event-stream\r\n";
constexpr std::size_t okHeadBytes = 12; ///< Of "HTTP/1.1 200".
const std::string chunkedField = "Transfer-Encoding: chunked\r\n";

bool eventually(const std::function<bool()> &condition)
{
    const Instant until = monotonicNow() + testTimeout;
    while (monotonicNow() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

settings::Address address(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: d" + std::to_string(number) + "\n\n";
}

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

constexpr std::size_t keptBodyBytes = 1'024;

/// A response as the caller received it.
struct Response
{
    int status = 0;
    http::Headers headers;
    std::string body; ///< Its first keptBodyBytes.
    std::size_t bodyBytes = 0;
    http::TransferEnd end = http::TransferEnd::ConnectionLost;
    microseconds took {0};
};

std::atomic<int> lastCallerNumber {0};

std::future<Response> send(http::Client &client, const std::string &path,
                           std::uint16_t port = processPort)
{
    auto response = std::make_shared<Response>();
    auto done = std::make_shared<std::promise<Response>>();
    http::ClientRequest request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(port) + path;
    request.headers = {{"Host", "shop.example"},
                       {"Azurespindle-Attempt-Id", "f" + std::to_string(lastCallerNumber += 1)},
                       {"Azurespindle-Token-Usage", "300,200"},
                       {"Azurespindle-Key", "k1"}};
    request.body = "x";
    request.totalTimeout = testTimeout;
    http::TransferCallbacks callbacks;
    callbacks.onStatus
        = [response](int, const http::Headers &headers) { response->headers = headers; };
    callbacks.onData = [response](std::string_view bytes) {
        response->bodyBytes += bytes.size();
        response->body
            += bytes.substr(0, keptBodyBytes - std::min(keptBodyBytes, response->body.size()));
        return true;
    };
    const Instant begin = monotonicNow();
    callbacks.onDone = [response, done, begin](const http::TransferResult &result) {
        response->end = result.end;
        response->status = result.status;
        response->took = monotonicNow() - begin;
        done->set_value(*response);
    };
    client.start(std::move(request), std::move(callbacks));
    return done->get_future();
}

} // namespace

/// Forwards requests to raw servers, whose answers may be anything.
class RequestForwarderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestForwarderTest);
    CPPUNIT_TEST(anAnswerWithoutLengthReachesTheCallerWhole);
    CPPUNIT_TEST(anAnswerWithoutLengthThatIsResetIsNoSuccess);
    CPPUNIT_TEST(anAnswerWithoutLengthThatIsResetIsRetriedIfItMay);
    CPPUNIT_TEST(anAnswerWithAnInvalidStatusIsNotPassedOn);
    CPPUNIT_TEST(anAnswerWhoseLengthIsUnsoundIsNotPassedOn);
    CPPUNIT_TEST(aStreamWithoutChunksEndsAfterItsLastEvent);
    CPPUNIT_TEST(aStreamThatEndsInsideAnEventIsNotComplete);
    CPPUNIT_TEST(aStreamThatEndsInsideItsFirstEventIsNotComplete);
    CPPUNIT_TEST(aStreamThatEndsInsideAnEventIsResumed);
    CPPUNIT_TEST(bytesOfASecondAnswerInsideAnEventAreNotPassedOn);
    CPPUNIT_TEST(anEventWhoseDataLooksLikeAHeadIsPassedOn);
    CPPUNIT_TEST(endlessBytesInAHeadOrBodyAreAnsweredWith502);
    CPPUNIT_TEST(endlessBytesAreRetriedElsewhereIfTheRequestMay);
    CPPUNIT_TEST(anEventWithoutEndBreaksItsStreamOff);
    CPPUNIT_TEST(manyLongAnswersAtOnceAreBoundedInMemory);
    CPPUNIT_TEST(aResponseGivenUpWhileNoOtherUpstreamMayTakeItHoldsUpNobody);
    CPPUNIT_TEST(aThousandResponsesAtOnceFitIntoTheMemoryOfTheVm);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->store = std::make_unique<FakeStore>(storePort);
        this->store->put("op/config", configuration());
        this->client = std::make_unique<http::Client>();
        for (std::size_t index = 0; index < 2; ++index) {
            for (const std::string service : {"models", "desk"}) {
                this->servers.push_back(std::make_unique<RawServer>(
                    [this](const std::string &request) { return this->nextAnswer(request); }));
                const nlohmann::json record {
                    {"service", service}, {"address", this->servers.back()->address()},
                    {"zone", "north"},    {"slots", 100},
                    {"state", "ready"},   {"cold_left_ms", 0},
                    {"born", 100},        {"sequence", 1}};
                this->store->put("servers/" + service + std::to_string(index), record.dump());
            }
        }
        settings::RoutingSettings settings;
        settings.name = "entry-0";
        settings.zone = "north";
        settings.callerAddress = address(processPort);
        settings.readyAddress = address(processPort + 1);
        settings.memberAddress = address(processPort + 2);
        settings.metricsAddress = address(processPort + 3);
        settings.publisherAddress = address(storePort);
        settings.seeds = {address(processPort + 2)};
        settings.bounds.retryBurst = 1'000.0; // These tests are not about the retry budget.
        this->process = std::make_unique<RoutingProcess>(settings, platform::makePlatformAdapter);
        CPPUNIT_ASSERT(!this->process->start());
        CPPUNIT_ASSERT(eventually([this] { return this->process->ready(); }));
    }

    void tearDown() override
    {
        this->process.reset();
        this->client.reset();
        this->servers.clear();
        this->store.reset();
        this->answers.clear();
        this->lookups.reset();
        this->resumed.reset();
    }

    void anAnswerWithoutLengthReachesTheCallerWhole()
    {
        this->answers = {{sealedHead + "\r\nthe body", RawEnd::Close}};
        for (const char *path : {"/order/1", "/look/1"}) {
            const Response response = this->call(path);
            CPPUNIT_ASSERT_EQUAL(200, response.status);
            CPPUNIT_ASSERT(response.end == http::TransferEnd::Complete);
            CPPUNIT_ASSERT_EQUAL(std::string("the body"), response.body);
            CPPUNIT_ASSERT_EQUAL(std::string("8"), response.headers.at("content-length"));
        }
    }

    void anAnswerWithoutLengthThatIsResetIsNoSuccess()
    {
        this->answers = {{sealedHead + "\r\nthe bo", RawEnd::Reset}};
        CPPUNIT_ASSERT_EQUAL(502, this->call("/order/1").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->requests());
    }

    void anAnswerWithoutLengthThatIsResetIsRetriedIfItMay()
    {
        this->answers = {{sealedHead + "\r\nthe bo", RawEnd::Reset},
                         {sealedHead + "\r\nthe body", RawEnd::Close}};
        const Response response = this->call("/look/1");
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("the body"), response.body);
    }

    /// Guards against a caller that gets a status which no server may send (rule MIXED).
    void anAnswerWithAnInvalidStatusIsNotPassedOn()
    {
        for (const std::string status : {"000", "099", "600", "999"}) {
            const std::string head = "HTTP/1.1 " + status + streamHead.substr(okHeadBytes);
            this->answers = {{head + "\r\n" + event(1), RawEnd::Close}};
            for (const char *path : {"/order/1", "/draft/1"}) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 502, this->call(path).status);
            }
            this->answers = {{head + "\r\nno body", RawEnd::Close},
                             {sealedHead + "\r\nthe body", RawEnd::Close}};
            const Response response = this->call("/look/1");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 200, response.status);
            CPPUNIT_ASSERT_EQUAL(std::string("the body"), response.body);
        }
    }

    /// Guards against a caller that gets a part of an answer as the whole (rule MIXED).
    void anAnswerWhoseLengthIsUnsoundIsNotPassedOn()
    {
        for (const std::string length : {"3~0", "3\r\nContent-Length: 8", "3, 8"}) {
            std::string bytes = sealedHead + "Content-Length: ";
            bytes += length + "\r\n\r\nthe body";
            const RawAnswer unsound {bytes, RawEnd::Close};
            this->answers = {unsound};
            CPPUNIT_ASSERT_EQUAL_MESSAGE(length, 502, this->call("/order/1").status);
            this->answers = {unsound, {sealedHead + "\r\nthe body", RawEnd::Close}};
            const Response response = this->call("/look/1");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(length, 200, response.status);
            CPPUNIT_ASSERT_EQUAL(std::string("the body"), response.body);
        }
    }

    void aStreamWithoutChunksEndsAfterItsLastEvent()
    {
        this->answers = {{streamHead + "\r\n" + event(1) + event(2), RawEnd::Close}};
        for (const char *path : {"/draft/1", "/check/1"}) {
            const Response response = this->call(path);
            CPPUNIT_ASSERT(response.end == http::TransferEnd::Complete);
            CPPUNIT_ASSERT_EQUAL(event(1) + event(2), response.body);
            CPPUNIT_ASSERT_EQUAL(std::string("chunked"), response.headers.at("transfer-encoding"));
        }
    }

    void aStreamThatEndsInsideAnEventIsNotComplete()
    {
        const std::string begun = event(1) + "id: 2\ndata: d";
        const std::string closed = streamHead + "\r\n" + begun;
        const std::string chunked = streamHead + chunkedField + "\r\n" + chunk(begun) + chunk("");
        for (const std::string &framed : {closed, chunked}) {
            this->answers = {{framed, RawEnd::Close}};
            const Response response = this->call("/draft/1");
            CPPUNIT_ASSERT_MESSAGE(described(response),
                                   response.end == http::TransferEnd::ConnectionLost);
            CPPUNIT_ASSERT_EQUAL(event(1), response.body);
        }
    }

    void aStreamThatEndsInsideItsFirstEventIsNotComplete()
    {
        this->answers = {{streamHead + "\r\nid: 1\ndata: d", RawEnd::Close}};
        const Response response = this->call("/draft/1");
        const bool success = response.end == http::TransferEnd::Complete && response.status == 200;
        CPPUNIT_ASSERT(!success);
    }

    void aStreamThatEndsInsideAnEventIsResumed()
    {
        const std::string begun = event(1) + "id: 2\ndata: d";
        const std::string closed = streamHead + "\r\n" + begun;
        const std::string chunked = streamHead + chunkedField + "\r\n" + chunk(begun) + chunk("");
        for (const std::string &framed : {closed, chunked}) {
            this->answers = {{framed, RawEnd::Close}};
            this->resumed = {streamHead + "\r\n" + event(2) + event(3), RawEnd::Close};
            const Response response = this->call("/check/1");
            CPPUNIT_ASSERT(response.end == http::TransferEnd::Complete);
            CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), response.body);
        }
    }

    /// Guards against a stream that breaks off inside an event, goes on with the bytes of another
    /// answer, and reaches the caller with them as complete (rule MIXED).
    void bytesOfASecondAnswerInsideAnEventAreNotPassedOn()
    {
        const std::string broken = event(2);
        for (const std::string &second : secondAnswers()) {
            for (std::size_t cut = 0; cut < broken.size(); ++cut) {
                const std::string name = broken.substr(0, cut) + second;
                std::string answer = streamHead + "\r\n" + event(1);
                answer += name;
                this->answers = {{answer, RawEnd::Close}};
                const Response aborted = this->call("/draft/1");
                CPPUNIT_ASSERT_MESSAGE(name, aborted.end == http::TransferEnd::ConnectionLost);
                CPPUNIT_ASSERT_MESSAGE(name, event(1).rfind(aborted.body, 0) == 0);
                this->resumed = {streamHead + "\r\n" + event(2) + event(3), RawEnd::Close};
                const Response resumed = this->call("/check/1");
                CPPUNIT_ASSERT_MESSAGE(name, resumed.end == http::TransferEnd::Complete);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, event(1) + event(2) + event(3), resumed.body);
            }
        }
    }

    /// Guards against a generation that is broken off because its text speaks of HTTP.
    void anEventWhoseDataLooksLikeAHeadIsPassedOn()
    {
        const std::string events
            = "id: 1\ndata: HTTP/1.1 500 Status\ndata: Content-Type: text/plain\n\n"
              "id: 2\ndata: pieHTTP/1.1 200 OK\ndata:\ndata:\n\n";
        this->answers = {{streamHead + "\r\n" + events, RawEnd::Close}};
        for (const char *path : {"/draft/1", "/check/1"}) {
            const Response response = this->call(path);
            CPPUNIT_ASSERT(response.end == http::TransferEnd::Complete);
            CPPUNIT_ASSERT_EQUAL(events, response.body);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->requests());
    }

    void endlessBytesInAHeadOrBodyAreAnsweredWith502()
    {
        for (const RawAnswer &endless : endlessAnswers()) {
            this->answers = {endless};
            const Response response = this->call("/order/1");
            const std::string name = endless.bytes + endless.repeated.substr(0, 20);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 502, response.status);
            CPPUNIT_ASSERT_MESSAGE(name, response.took < soon);
            this->assertConnectionsClose(name);
        }
    }

    void endlessBytesAreRetriedElsewhereIfTheRequestMay()
    {
        for (const RawAnswer &endless : endlessAnswers()) {
            this->answers = {endless, {sealedHead + "\r\nthe body", RawEnd::Close}};
            const Response response = this->call("/look/1");
            const std::string name = endless.bytes + endless.repeated.substr(0, 20);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name + response.body, 200, response.status);
            this->assertConnectionsClose(name);
        }
    }

    void anEventWithoutEndBreaksItsStreamOff()
    {
        const RawAnswer endless {streamHead + "\r\n" + event(1) + "data: ", RawEnd::Endless, "x"};
        this->answers = {endless};
        const Response broken = this->call("/draft/1");
        CPPUNIT_ASSERT_MESSAGE(described(broken), broken.end == http::TransferEnd::ConnectionLost);
        CPPUNIT_ASSERT_EQUAL(event(1), broken.body);
        CPPUNIT_ASSERT(broken.took < soon);
        this->assertConnectionsClose("draft");
        this->resumed = {streamHead + "\r\n" + event(2), RawEnd::Close};
        const Response resumed = this->call("/check/1");
        CPPUNIT_ASSERT(resumed.end == http::TransferEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), resumed.body);
        this->assertConnectionsClose("check");
    }

    void manyLongAnswersAtOnceAreBoundedInMemory()
    {
        constexpr std::size_t answerBytes = 2'097'152;
        constexpr std::size_t callers = 40;
        this->answers
            = {{sealedHead + "Content-Length: 9999999\r\n\r\n" + std::string(answerBytes, 'x'),
                RawEnd::Hold}};
        std::vector<std::future<Response>> responses;
        for (std::size_t caller = 0; caller < callers; ++caller) {
            responses.push_back(send(*this->client, "/order/1"));
        }
        std::size_t failed = 0;
        for (std::future<Response> &response : responses) {
            failed += response.wait_for(soon) == std::future_status::ready
                    && response.get().status == 502
                ? 1
                : 0;
        }
        const std::size_t held = callers - failed;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(held) + " are held",
                               held * answerBytes <= RequestForwarder::maxTotalBufferedBytes);
    }

    void aResponseGivenUpWhileNoOtherUpstreamMayTakeItHoldsUpNobody()
    {
        // The process hung for ever in a loop that gave up the same response again and again.
        constexpr std::size_t callers = 40;
        ServeProcess separate(separateProcessPort, storePort);
        this->putDesk(1, "draining", 100);
        this->answerLookups({sealedHead + "\r\n", RawEnd::Endless, "x", 2'097'152});
        CPPUNIT_ASSERT(eventually([&] { return separate.readiness() == 200; }));
        CPPUNIT_ASSERT(eventually([&] { return this->smallLookup(separate) == 200; }));
        std::vector<std::future<Response>> responses;
        for (std::size_t caller = 0; caller < callers; ++caller) {
            responses.push_back(this->sendTo(separate, "/look/large"));
        }
        for (std::future<Response> &response : responses) {
            CPPUNIT_ASSERT(response.wait_for(testTimeout) == std::future_status::ready);
        }
        CPPUNIT_ASSERT(eventually([&] { return this->smallLookup(separate) == 200; }));
    }

    void aThousandResponsesAtOnceFitIntoTheMemoryOfTheVm()
    {
        constexpr std::size_t responseBytes = 622'592;
        constexpr std::size_t vmBytes = 110'000'000;
        ServeProcess separate(separateProcessPort, storePort);
        this->putDesk(0, "ready", 1'000);
        this->putDesk(1, "ready", 1'000);
        CPPUNIT_ASSERT(eventually([&] { return separate.readiness() == 200; }));
        const std::string length = "Content-Length: " + std::to_string(responseBytes) + "\r\n";
        for (const std::string &framing : {length, std::string()}) {
            this->answerLookups(
                {sealedHead + framing + "\r\n", RawEnd::Endless, "x", responseBytes});
            for (const std::size_t callers : {24, 240, 1'000}) {
                std::vector<std::future<Response>> responses;
                for (std::size_t caller = 0; caller < callers; ++caller) {
                    responses.push_back(this->sendTo(separate, "/look/large"));
                }
                CPPUNIT_ASSERT_MESSAGE("a small request beside them is answered",
                                       this->smallLookup(separate) != 0);
                std::map<int, std::size_t> statuses;
                for (std::future<Response> &response : responses) {
                    CPPUNIT_ASSERT(response.wait_for(testTimeout) == std::future_status::ready);
                    statuses[response.get().status] += 1;
                }
                const std::string seen = describeStatuses(statuses) + "; "
                    + std::to_string(separate.peakMemoryBytes()) + " bytes";
                if (std::getenv("SHOW_MEMORY")) {
                    std::fprintf(stderr, "%zu: %s\n", callers, seen.c_str());
                }
                CPPUNIT_ASSERT_MESSAGE(seen, separate.running());
                CPPUNIT_ASSERT_MESSAGE(seen, separate.peakMemoryBytes() <= vmBytes);
                CPPUNIT_ASSERT(eventually([&] { return this->smallLookup(separate) == 200; }));
            }
        }
    }

private:
    /// Returns the usual configuration with routeTimeout, and with room for many requests at once.
    static std::string configuration()
    {
        const std::string timeout = "\"timeout_ms\":" + std::to_string(routeTimeout.count());
        const std::string text = std::regex_replace(tests::platformConfiguration(1),
                                                    std::regex("\"timeout_ms\":[0-9]+"), timeout);
        return std::regex_replace(text, std::regex("\"max_conns\":110"), "\"max_conns\":2000");
    }

    static std::string describeStatuses(const std::map<int, std::size_t> &statuses)
    {
        std::string text;
        for (const auto &[status, count] : statuses) {
            text += std::to_string(count) + " with status " + std::to_string(status) + ", ";
        }
        return text;
    }

    /// Returns what may follow where a stream without length breaks off.
    static std::vector<std::string> secondAnswers()
    {
        const std::string error = "HTTP/1.1 500 Status\r\n";
        const std::string oldError = "HTTP/1.0 503 Status\nContent-Length: 14\n\n";
        const std::string type = "Content-Type: text/plain\r\n";
        return {error + type + "Content-Length: 12\r\n\r\nserver error",
                error + "Content-Length: 14\r\n\r\nserver error\n\n",
                error + "\r\nserver error\n\n", oldError + "server error\n\n",
                streamHead + "\r\n" + event(1) + event(2) + event(3)};
    }

    static std::vector<RawAnswer> endlessAnswers()
    {
        return {{sealedHead, RawEnd::Endless, "X-Field: value\r\n"},
                {sealedHead + "X-Field: ", RawEnd::Endless, "value"},
                {"", RawEnd::Endless, "no answer "},
                {sealedHead + "\r\n", RawEnd::Endless, "x"},
                {sealedHead + chunkedField + "\r\n", RawEnd::Endless, "4\r\nbody\r\n"},
                {sealedHead + chunkedField + "\r\n", RawEnd::Endless,
                 "400\r\n" + std::string(1'024, 'x') + "\r\n"}};
    }

    /// Returns the first of the answers and removes it, unless it is the last.
    RawAnswer nextAnswer(const std::string &request)
    {
        const std::lock_guard lock(this->mutex);
        if (this->resumed && request.find("\r\nLast-Event-Id: ") != std::string::npos) {
            return *this->resumed;
        }
        if (this->lookups) {
            return request.find(" /look/small ") == std::string::npos
                ? *this->lookups
                : RawAnswer {sealedHead + "\r\nsmall", RawEnd::Close};
        }
        RawAnswer answer = this->answers.front();
        if (this->answers.size() > 1) {
            this->answers.erase(this->answers.begin());
        }
        return answer;
    }

    static std::string described(const Response &response)
    {
        return std::to_string(response.status) + " after " + std::to_string(response.took.count())
            + " us: " + response.body;
    }

    Response call(const std::string &path) { return send(*this->client, path).get(); }

    void assertConnectionsClose(const std::string &name) const
    {
        const Instant begin = monotonicNow();
        CPPUNIT_ASSERT_MESSAGE(name, eventually([this] {
                                   std::size_t open = 0;
                                   for (const auto &server : this->servers) {
                                       open += server->openConnections();
                                   }
                                   return open == 0;
                               }));
        CPPUNIT_ASSERT_MESSAGE(name, monotonicNow() - begin < soon);
    }

    /// Publishes a server of `desk`.
    void putDesk(std::size_t index, const std::string &state, unsigned slots)
    {
        const nlohmann::json record {
            {"service", "desk"}, {"address", this->servers[2 * index + 1]->address()},
            {"zone", "north"},   {"slots", slots},
            {"state", state},    {"cold_left_ms", 0},
            {"born", 100},       {"sequence", 2}};
        this->store->put("servers/desk" + std::to_string(index), record.dump());
    }

    /// Answers lookups of `/look/small` with a few bytes, and others with \a large.
    void answerLookups(const RawAnswer &large)
    {
        const std::lock_guard lock(this->mutex);
        this->lookups = large;
    }

    std::future<Response> sendTo(const ServeProcess &process, const std::string &path)
    {
        return send(*this->client, path, process.callerPort());
    }

    /// Returns the status of a small lookup; 0 if there is no answer for long.
    int smallLookup(const ServeProcess &process)
    {
        std::future<Response> response = this->sendTo(process, "/look/small");
        const bool answered = response.wait_for(testTimeout) == std::future_status::ready;
        return answered ? response.get().status : 0;
    }

    std::size_t requests() const
    {
        std::size_t sum = 0;
        for (const auto &server : this->servers) {
            sum += server->requests();
        }
        return sum;
    }

    std::mutex mutex; ///< Guards the next three while a process runs.
    std::vector<RawAnswer> answers;
    std::optional<RawAnswer> lookups;
    std::optional<RawAnswer> resumed; ///< The answer to a request for the rest of a stream.
    std::unique_ptr<FakeStore> store;
    std::unique_ptr<http::Client> client;
    std::vector<std::unique_ptr<RawServer>> servers;
    std::unique_ptr<RoutingProcess> process;
};

REGISTER_SUITE(RequestForwarderTest, "request_forwarder");

} // namespace azurespindle::serving
