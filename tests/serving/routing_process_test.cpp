#include "serving/routing_process.h"

#include "platform/adapter.h"
#include "platform/fake_platform.h"
#include "support/raw_connection.h"
#include "support/suite.h"

#include <future>
#include <thread>

namespace azurespindle::serving {
namespace {

using tests::FakeEngine;
using tests::FakeService;
using tests::FakeStore;

constexpr std::uint16_t storePort = 21'900;
constexpr std::uint16_t firstUpstreamPort = 21'910;
constexpr std::uint16_t firstProcessPort = 21'950;
constexpr std::uint16_t portsPerProcess = 4;
constexpr milliseconds testTimeout {10'000};
constexpr std::size_t generationCount = 6;

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

settings::RoutingSettings makeSettings(std::uint16_t index, std::uint16_t store = storePort)
{
    const auto base = static_cast<std::uint16_t>(firstProcessPort + index * portsPerProcess);
    settings::RoutingSettings settings;
    settings.name = "entry-" + std::to_string(index);
    settings.zone = "north";
    settings.callerAddress = address(base);
    settings.readyAddress = address(static_cast<std::uint16_t>(base + 1));
    settings.memberAddress = address(static_cast<std::uint16_t>(base + 2));
    settings.metricsAddress = address(static_cast<std::uint16_t>(base + 3));
    settings.publisherAddress = address(store);
    settings.seeds = {address(firstProcessPort + 2)};
    settings.bounds.retryBurst = 58.0;
    settings.bounds.stopTimeout = milliseconds(6'000);
    return settings;
}

std::unique_ptr<RoutingProcess> startProcess(std::uint16_t index, std::uint16_t store = storePort)
{
    auto process = std::make_unique<RoutingProcess>(makeSettings(index, store),
                                                    platform::makePlatformAdapter);
    CPPUNIT_ASSERT(!process->start());
    return process;
}

/// A response as the caller received it.
struct Response
{
    int status = 0;
    http::Headers headers;
    std::string body;
    http::TransferEnd end = http::TransferEnd::ConnectionLost;
};

std::atomic<int> lastCallerNumber {0};

std::future<Response> send(http::Client &client, std::uint16_t process, const std::string &path,
                           const std::string &body, const std::string &requestId,
                           const std::string &method = "POST")
{
    auto response = std::make_shared<Response>();
    auto done = std::make_shared<std::promise<Response>>();
    http::ClientRequest request;
    request.method = method;
    request.url
        = "http://127.0.0.1:" + std::to_string(firstProcessPort + process * portsPerProcess) + path;
    request.headers = {{"Host", "shop.example"},
                       {"Azurespindle-Attempt-Id", requestId},
                       {"Azurespindle-Key", "k1"}};
    if (path.rfind("/draft/", 0) == 0 || path.rfind("/check/", 0) == 0) {
        request.headers["Azurespindle-Token-Usage"] = "3000,2000";
    }
    request.body = body;
    request.totalTimeout = testTimeout;
    http::TransferCallbacks callbacks;
    callbacks.onStatus = [response](int status, const http::Headers &headers) {
        response->status = status;
        response->headers = headers;
    };
    callbacks.onData = [response](std::string_view bytes) {
        response->body += bytes;
        return true;
    };
    callbacks.onDone = [response, done](const http::TransferResult &result) {
        response->end = result.end;
        response->status = result.status;
        done->set_value(*response);
    };
    client.start(std::move(request), std::move(callbacks));
    return done->get_future();
}

Response call(http::Client &client, std::uint16_t process, const std::string &path,
              const std::string &body = "", const std::string &method = "POST")
{
    const std::string id = "c" + std::to_string(lastCallerNumber += 1);
    return send(client, process, path, body, id, method).get();
}

/// Returns how \a response differs from a complete stream of \a events events of the request; empty
/// if it does not.
std::string streamError(const Response &response, const std::string &requestId,
                        std::uint64_t events)
{
    if (response.end != http::TransferEnd::Complete) {
        return "the stream does not end as complete";
    }
    std::string expected;
    for (std::uint64_t number = 1; number <= events; ++number) {
        expected += "id: " + std::to_string(number) + "\ndata: " + requestId + ":"
            + std::to_string(number) + "\n\n";
    }
    return response.body == expected ? "" : "expected\n" + expected + "but got\n" + response.body;
}

} // namespace

class RoutingProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingProcessTest);
    CPPUNIT_TEST(requestsOfEveryRouteKindAreServed);
    CPPUNIT_TEST(requestsAreRefusedUntilTheStoreIsAvailable);
    CPPUNIT_TEST(generationsOnALeavingEngineArriveCompletely);
    CPPUNIT_TEST(generationsOnACrashedEngineArriveCompletely);
    CPPUNIT_TEST(aNonIdempotentCallRunsAtMostOnceWhateverItsUpstreamDoes);
    CPPUNIT_TEST(aCallerDisconnectCancelsTheUpstreamRequest);
    CPPUNIT_TEST(changesAreFetchedFromAPeerWhenTheStoreRefuses);
    CPPUNIT_TEST(noChangeIsLostWhenTheStoreHistoryIsCompacted);
    CPPUNIT_TEST(aGracefulStopAbortsNoRequest);
    CPPUNIT_TEST(requestsTakenDuringAStopAreAnsweredBeforeItEnds);
    CPPUNIT_TEST(requestsOpenAtTheEndOfAStopAreAnswered);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(metricsAndReadinessAreServed);
    CPPUNIT_TEST(reportingACrashDoesNotDeadlock);
    CPPUNIT_TEST(aNamedLimitHoldsSummedOverAllProcesses);
    CPPUNIT_TEST(aLimitThatIsNoLongerNamedEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->store = std::make_unique<FakeStore>(storePort);
        this->client = std::make_unique<http::Client>();
        this->store->put("op/config", tests::platformConfiguration(1));
        for (std::uint16_t index = 0; index < 3; ++index) {
            const std::string id = "e" + std::to_string(index);
            this->engines.push_back(std::make_unique<FakeEngine>(
                id, static_cast<std::uint16_t>(firstUpstreamPort + index)));
            this->store->put("servers/" + id, this->engines.back()->registration());
        }
        for (std::uint16_t index = 0; index < 2; ++index) {
            const std::string id = "p" + std::to_string(index);
            this->services.push_back(std::make_unique<FakeService>(
                id, static_cast<std::uint16_t>(firstUpstreamPort + 10 + index)));
            this->store->put("servers/" + id, this->services.back()->registration());
        }
    }

    void tearDown() override
    {
        this->processes.clear();
        this->client.reset();
        this->engines.clear();
        this->services.clear();
        this->store.reset();
    }

    void requestsOfEveryRouteKindAreServed()
    {
        this->startReady(1);
        const Response order = call(*this->client, 0, "/order/a%2fb?x=%41&y", "two hinges");
        CPPUNIT_ASSERT_EQUAL(200, order.status);
        CPPUNIT_ASSERT_EQUAL(std::string("ran POST /order/a%2fb?x=%41&y two hinges"), order.body);
        CPPUNIT_ASSERT(order.headers.at("azurespindle-server-seal").rfind("seal-of-p", 0) == 0);
        CPPUNIT_ASSERT_EQUAL(200, call(*this->client, 0, "/look/1", "", "GET").status);
        const Response generation = send(*this->client, 0, "/draft/1", "events=40", "d1").get();
        CPPUNIT_ASSERT_EQUAL(std::string(), streamError(generation, "d1", 40));
        CPPUNIT_ASSERT_EQUAL(404, call(*this->client, 0, "/none/1").status);
    }

    void requestsAreRefusedUntilTheStoreIsAvailable()
    {
        this->store->failWith(503);
        this->processes.push_back(startProcess(0));
        const Response response = call(*this->client, 0, "/order/1");
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(response.headers.count("retry-after") > 0);
        CPPUNIT_ASSERT(!this->processes[0]->ready());
        this->store->failWith(0);
        CPPUNIT_ASSERT(eventually([&] { return this->processes[0]->ready(); }));
    }

    void generationsOnALeavingEngineArriveCompletely()
    {
        this->startReady(1);
        std::vector<std::future<Response>> responses;
        responses.reserve(generationCount);
        for (std::size_t generation = 0; generation < generationCount; ++generation) {
            responses.push_back(
                send(*this->client, 0, "/draft/1", "events=500", "l" + std::to_string(generation)));
        }
        CPPUNIT_ASSERT(eventually([&] { return this->runningGenerations() == generationCount; }));
        std::this_thread::sleep_for(milliseconds(700));
        FakeEngine &leaving = this->busiest();
        leaving.setTimeToShutdown(milliseconds(1'000));
        this->store->put("servers/" + this->idOf(leaving), leaving.registration(true));
        CPPUNIT_ASSERT_MESSAGE("all generations leave the engine before it shuts down",
                               eventually([&] { return leaving.running() == 0; }));
        leaving.crash();
        for (std::size_t generation = 0; generation < generationCount; ++generation) {
            const Response response = responses[generation].get();
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 streamError(response, "l" + std::to_string(generation), 500));
            CPPUNIT_ASSERT(response.headers.count("azurespindle-server-seal") > 0);
        }
        CPPUNIT_ASSERT(this->totalTakeovers() > 0);
    }

    void generationsOnACrashedEngineArriveCompletely()
    {
        this->startReady(1);
        std::vector<std::future<Response>> responses;
        responses.reserve(generationCount);
        for (std::size_t generation = 0; generation < generationCount; ++generation) {
            responses.push_back(
                send(*this->client, 0, "/draft/1", "events=400", "x" + std::to_string(generation)));
        }
        CPPUNIT_ASSERT(eventually([&] { return this->runningGenerations() == generationCount; }));
        std::this_thread::sleep_for(milliseconds(800));
        this->busiest().crash();
        for (std::size_t generation = 0; generation < generationCount; ++generation) {
            const Response response = responses[generation].get();
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 streamError(response, "x" + std::to_string(generation), 400));
        }
    }

    void aNonIdempotentCallRunsAtMostOnceWhateverItsUpstreamDoes()
    {
        using Behaviour = FakeService::Behaviour;
        this->startReady(1);
        for (const Behaviour first : {Behaviour::Answers, Behaviour::Fails, Behaviour::DropsAnswer,
                                      Behaviour::RejectsAsFull, Behaviour::RejectsAsMisdirected}) {
            for (const auto &service : this->services) {
                service->setBehaviour(first);
            }
            const std::string id = "o" + std::to_string(lastCallerNumber += 1);
            const Response response = send(*this->client, 0, "/order/1", "", id).get();
            const std::size_t runs = this->services[0]->runs(id) + this->services[1]->runs(id);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(response.status), runs <= 1);
            const bool saysNotRun = response.status == 503;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(response.status), saysNotRun, runs == 0);
            std::this_thread::sleep_for(milliseconds(600));
        }
    }

    void aCallerDisconnectCancelsTheUpstreamRequest()
    {
        this->startReady(1);
        for (const auto &service : this->services) {
            service->setBehaviour(FakeService::Behaviour::Hangs);
        }
        Instant disconnectTime;
        {
            const tests::RawConnection caller(firstProcessPort);
            caller.send("POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n"
                        "Azurespindle-Attempt-Id: gone\r\nAzurespindle-Key: k1\r\n\r\n");
            CPPUNIT_ASSERT(eventually([&] {
                return this->services[0]->runs("gone") + this->services[1]->runs("gone") == 1;
            }));
            disconnectTime = monotonicNow();
        }
        CPPUNIT_ASSERT(eventually([&] {
            return this->services[0]->disconnects() + this->services[1]->disconnects() == 1;
        }));
        CPPUNIT_ASSERT(monotonicNow() - disconnectTime < milliseconds(500));
    }

    /// The store refuses one process and serves the others.
    void changesAreFetchedFromAPeerWhenTheStoreRefuses()
    {
        FakeStore refusingStore(storePort + 1);
        refusingStore.failWith(503);
        this->startReady(1);
        this->processes.push_back(startProcess(1, storePort + 1));
        CPPUNIT_ASSERT(eventually([&] { return this->processes[1]->ready(); }));
        CPPUNIT_ASSERT_EQUAL(200, call(*this->client, 1, "/order/1").status);
        this->store->put("op/config",
                         tests::platformConfiguration(
                             2,
                             R"(,{"name":"new","host":"shop.example","path_prefix":"/new/",)"
                             R"("route_kind":"idempotent","service":"desk","timeout_ms":1000,)"
                             R"("target_latency_ms":150,"priority":0,"max_attempts":2})"));
        const Instant published = monotonicNow();
        CPPUNIT_ASSERT(eventually([&] { return call(*this->client, 1, "/new/1").status == 200; }));
        CPPUNIT_ASSERT(monotonicNow() - published < milliseconds(2'000));
    }

    void noChangeIsLostWhenTheStoreHistoryIsCompacted()
    {
        this->startReady(1);
        this->store->compactHistory();
        this->store->remove("servers/p0");
        const Instant removalTime = monotonicNow();
        CPPUNIT_ASSERT(eventually([&] {
            const std::size_t before = this->services[0]->totalRuns();
            for (int round = 0; round < 8; ++round) {
                call(*this->client, 0, "/look/1", "", "GET");
            }
            return this->services[0]->totalRuns() == before;
        }));
        CPPUNIT_ASSERT(monotonicNow() - removalTime < milliseconds(2'000));
    }

    void aGracefulStopAbortsNoRequest()
    {
        this->startReady(1);
        auto generation = send(*this->client, 0, "/draft/1", "events=300", "stop");
        CPPUNIT_ASSERT(eventually([&] { return this->runningGenerations() == 1; }));
        std::size_t aborted = 1;
        std::thread stopping([&] { aborted = this->processes[0]->stopGracefully(); });
        CPPUNIT_ASSERT(eventually([&] { return !this->processes[0]->ready(); }));
        CPPUNIT_ASSERT_EQUAL(200, call(*this->client, 0, "/order/1").status);
        CPPUNIT_ASSERT_EQUAL(503, call(*this->client, 0, "/draft/1", "events=3").status);
        CPPUNIT_ASSERT_EQUAL(std::string(), streamError(generation.get(), "stop", 300));
        stopping.join();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), aborted);
    }

    /// A long generation keeps the process open until its stop time is over.
    void requestsTakenDuringAStopAreAnsweredBeforeItEnds()
    {
        this->startReady(1);
        for (const auto &service : this->services) {
            service->setBehaviour(FakeService::Behaviour::Hangs);
        }
        auto generation = send(*this->client, 0, "/draft/1", "events=3000", "long");
        CPPUNIT_ASSERT(eventually([&] { return this->runningGenerations() == 1; }));
        std::atomic<bool> ended {false};
        std::thread stopping([&] {
            this->processes[0]->stopGracefully();
            ended = true;
        });
        CPPUNIT_ASSERT(eventually([&] { return !this->processes[0]->ready(); }));
        const Instant stopStarted = monotonicNow();
        std::vector<std::pair<std::string, std::future<Response>>> sent;
        while (!ended) {
            for (const std::string kind : {"check", "order"}) {
                const std::string id = kind + "-" + std::to_string(sent.size());
                std::string name = id;
                name += " at " + std::to_string((monotonicNow() - stopStarted).count() / 1'000);
                std::string path = "/" + kind + "/";
                path += id;
                sent.emplace_back(name, send(*this->client, 0, path, "events=150", id));
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        stopping.join();
        std::string unanswered;
        std::map<int, std::size_t> statuses;
        for (auto &[name, response] : sent) {
            const Response seen = response.get();
            statuses[seen.status] += 1;
            const bool notTaken = seen.end == http::TransferEnd::ConnectionRefused
                || seen.end == http::TransferEnd::NotSent;
            if (seen.end != http::TransferEnd::Complete && !notTaken) {
                unanswered += name + " ms, status " + std::to_string(seen.status) + "\n";
            }
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(unanswered, std::string(), unanswered);
        CPPUNIT_ASSERT_MESSAGE("orders that can end in time are taken", statuses[504] > 10);
        CPPUNIT_ASSERT_MESSAGE("what can't is refused", statuses[503] > 10);
        CPPUNIT_ASSERT(generation.get().end != http::TransferEnd::Complete);
    }

    void requestsOpenAtTheEndOfAStopAreAnswered()
    {
        this->startReady(1);
        for (const auto &engine : this->engines) {
            engine->setMute(true);
        }
        auto unanswered = send(*this->client, 0, "/draft/1", "events=10", "mute");
        CPPUNIT_ASSERT(eventually([&] { return this->runningGenerations() == 1; }));
        this->processes[0]->stopGracefully();
        const Response response = unanswered.get();
        CPPUNIT_ASSERT(response.end == http::TransferEnd::Complete);
        CPPUNIT_ASSERT_EQUAL(504, response.status);
    }

    /// Guards against a pipelined request that is never answered, because it arrived while an
    /// earlier one of its connection was still being handled.
    void pipelinedRequestsAreAnsweredInOrder()
    {
        this->startReady(1);
        const tests::RawConnection caller(firstProcessPort);
        const std::string head = " HTTP/1.1\r\nHost: shop.example\r\nAzurespindle-Key: k1\r\n"
                                 "Azurespindle-Attempt-Id: ";
        caller.send("POST /order/1" + head + "w1\r\nContent-Length: 2\r\n\r\nab" + "POST /order/2"
                    + head + "w2\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\n\r\n"
                    + "GET /look/3" + head + "w3\r\n\r\n");
        const std::string responses = caller.readUntil("/look/3 ", testTimeout);
        const std::size_t first = responses.find("ran POST /order/1 ab");
        const std::size_t second = responses.find("ran POST /order/2 c");
        CPPUNIT_ASSERT_MESSAGE(responses, first < second && second != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(responses, responses.find("ran GET /look/3") > second);
    }

    void metricsAndReadinessAreServed()
    {
        this->startReady(1);
        call(*this->client, 0, "/order/1");
        http::ClientRequest request;
        std::string body;
        request.url = "http://127.0.0.1:" + std::to_string(firstProcessPort + 3) + "/metrics";
        CPPUNIT_ASSERT_EQUAL(200, http::fetch(request, body).status);
        CPPUNIT_ASSERT_MESSAGE(body,
                               body.find("azurespindle_requests_total 1\n") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(body, body.find("workspace=\"gates\"") != std::string::npos);
        request.url = "http://127.0.0.1:" + std::to_string(firstProcessPort + 1) + "/readyz";
        CPPUNIT_ASSERT_EQUAL(200, http::fetch(request, body).status);
        request.url = "http://127.0.0.1:" + std::to_string(firstProcessPort + 1) + "/other";
        CPPUNIT_ASSERT_EQUAL(404, http::fetch(request, body).status);
    }

    /// Guards against a ready process that serves nobody: reporting a crash to the peers calls the
    /// router again, which deadlocks if the router's lock is still held. Found on a hunted day.
    void reportingACrashDoesNotDeadlock()
    {
        this->startReady(1);
        for (const auto &service : this->services) {
            service->setBehaviour(FakeService::Behaviour::DropsAnswer);
        }
        CPPUNIT_ASSERT_EQUAL(502, call(*this->client, 0, "/order/1").status);
        this->store->remove("servers/p0");
        this->store->remove("servers/p1");
        std::this_thread::sleep_for(milliseconds(300));
        auto later = send(*this->client, 0, "/order/2", "", "later");
        CPPUNIT_ASSERT(later.wait_for(seconds(4)) == std::future_status::ready);
    }

    void aNamedLimitHoldsSummedOverAllProcesses()
    {
        constexpr double limit = 2.0;
        constexpr milliseconds noticeTime {3'000};
        constexpr milliseconds window {4'000};
        constexpr double allowed = 1.5 * limit * 4.0 + 5.0; // In a window, from the notice time on.
        this->startReady(3);
        this->services[0]->setNamedLimit(limit);
        const Instant named = monotonicNow();
        const std::size_t failed = this->callForAWhile(milliseconds(9'000));
        const std::size_t most = this->services[0]->mostArrivalsWithin(window, named + noticeTime);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s",
                               static_cast<double>(most) <= allowed);
        CPPUNIT_ASSERT_MESSAGE("the other upstream has room for all", failed == 0);
    }

    void aLimitThatIsNoLongerNamedEnds()
    {
        this->startReady(3);
        this->services[0]->setNamedLimit(2.0);
        this->callForAWhile(milliseconds(3'000));
        this->services[0]->setNamedLimit(0.0);
        this->callForAWhile(milliseconds(2'000));
        const Instant ended = monotonicNow();
        this->callForAWhile(milliseconds(2'000));
        CPPUNIT_ASSERT(this->services[0]->mostArrivalsWithin(milliseconds(2'000), ended) > 15);
    }

private:
    /// Sends 24 requests a second to the processes in turn. \return the number of those that were
    /// not answered with 200.
    std::size_t callForAWhile(milliseconds duration)
    {
        constexpr milliseconds pause {42};
        std::vector<std::future<Response>> responses;
        const Instant until = monotonicNow() + duration;
        for (std::uint16_t process = 0; monotonicNow() < until; process = (process + 1) % 3) {
            const std::string id = "n" + std::to_string(lastCallerNumber += 1);
            responses.push_back(send(*this->client, process, "/look/1", "", id, "GET"));
            std::this_thread::sleep_for(pause);
        }
        std::size_t failed = 0;
        for (std::future<Response> &response : responses) {
            failed += response.get().status == 200 ? 0 : 1;
        }
        return failed;
    }

    void startReady(std::uint16_t count)
    {
        for (std::uint16_t index = 0; index < count; ++index) {
            this->processes.push_back(startProcess(index));
        }
        for (const auto &process : this->processes) {
            CPPUNIT_ASSERT(eventually([&] { return process->ready(); }));
        }
    }

    std::size_t runningGenerations() const
    {
        std::size_t running = 0;
        for (const auto &engine : this->engines) {
            running += engine->running();
        }
        return running;
    }

    std::size_t totalTakeovers() const
    {
        std::size_t sum = 0;
        for (const auto &engine : this->engines) {
            sum += engine->takeovers();
        }
        return sum;
    }

    FakeEngine &busiest()
    {
        return **std::max_element(
            this->engines.begin(), this->engines.end(),
            [](const auto &a, const auto &b) { return a->running() < b->running(); });
    }

    std::string idOf(const FakeEngine &engineToFind) const
    {
        for (std::size_t index = 0; index < this->engines.size(); ++index) {
            if (this->engines[index].get() == &engineToFind) {
                return "e" + std::to_string(index);
            }
        }
        return "none";
    }

    std::unique_ptr<FakeStore> store;
    std::unique_ptr<http::Client> client;
    std::vector<std::unique_ptr<FakeEngine>> engines;
    std::vector<std::unique_ptr<FakeService>> services;
    std::vector<std::unique_ptr<RoutingProcess>> processes;
};

REGISTER_SUITE(RoutingProcessTest, "routing_process");

} // namespace azurespindle::serving
