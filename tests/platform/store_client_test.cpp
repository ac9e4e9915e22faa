#include "platform/store_client.h"

#include "http/server.h"
#include "support/raw_server.h"
#include "support/suite.h"

#include <future>

namespace azurespindle::platform {
namespace {

using routing::StoreCallStatus;

http::TransferResult completed(int status)
{
    return {http::TransferEnd::Complete, status, ""};
}

/// The calls to a store, and what they need.
struct StoreCaller
{
    explicit StoreCaller(std::uint16_t port)
        : calls(makeStoreCalls({"127.0.0.1", port}, client, registry))
    { }

    /// Begins to list all items.
    std::future<routing::StoreResponse> list()
    {
        calls.list("", [this](const routing::StoreResponse &page) { listed.set_value(page); });
        return listed.get_future();
    }

    /// Begins to watch for changes.
    std::future<routing::StoreResponse> watch(milliseconds wait)
    {
        calls.watch(1, wait,
                    [this](const routing::StoreResponse &changes) { watched.set_value(changes); });
        return watched.get_future();
    }

    std::promise<routing::StoreResponse> listed;
    std::promise<routing::StoreResponse> watched;
    metrics::Registry registry;
    http::Client client;
    routing::StoreCalls calls;
};

} // namespace

class StoreClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreClientTest);
    CPPUNIT_TEST(listingsAndChangesAreParsed);
    CPPUNIT_TEST(refusalsFailuresAndCompactionAreDistinguished);
    CPPUNIT_TEST(anUnreadableResponseIsAFailure);
    CPPUNIT_TEST(callsSendTheirParameters);
    CPPUNIT_TEST(anEndlessPageIsGivenUp);
    CPPUNIT_TEST(aLargeResponseOnANarrowLinkIsReadToItsEnd);
    CPPUNIT_TEST(aResponseThatFallsSilentIsGivenUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void listingsAndChangesAreParsed()
    {
        const auto page
            = parseStoreResponse(completed(200),
                                 R"({"items":[{"key":"op/x","value":"bm9kZS0x","revision":412,)"
                                 R"("created":412,"lease":0}],"has_more":true,"at":530})");
        CPPUNIT_ASSERT(page.status == StoreCallStatus::Ok && page.hasMore);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(530), page.revision);
        CPPUNIT_ASSERT((routing::PublishedItem {"op/x", "node-1", 412, false}) == page.items.at(0));
        const auto changes
            = parseStoreResponse(completed(200),
                                 R"({"events":[{"key":"a","value":"eA==","revision":5},)"
                                 R"({"key":"b","revision":6,"deleted":true},)"
                                 R"({"key":"c","value":"","revision":7}],"at":7})");
        CPPUNIT_ASSERT_EQUAL(std::string("x"), changes.items.at(0).value);
        CPPUNIT_ASSERT(changes.items.at(1).deleted);
        CPPUNIT_ASSERT_EQUAL(std::string(), changes.items.at(2).value);
    }

    void refusalsFailuresAndCompactionAreDistinguished()
    {
        CPPUNIT_ASSERT(parseStoreResponse(completed(410), "").status == StoreCallStatus::Compacted);
        CPPUNIT_ASSERT(parseStoreResponse(completed(429), "").status == StoreCallStatus::Refused);
        CPPUNIT_ASSERT(parseStoreResponse(completed(503), "").status == StoreCallStatus::Refused);
        CPPUNIT_ASSERT(parseStoreResponse(completed(500), "").status == StoreCallStatus::Failed);
        CPPUNIT_ASSERT(parseStoreResponse({http::TransferEnd::TimedOut, 0, "t"}, "").status
                       == StoreCallStatus::Failed);
    }

    void anUnreadableResponseIsAFailure()
    {
        for (const char *body : {"", "{", "[]", R"({"at":1})", R"({"items":[],"at":"x"})",
                                 R"({"items":[{"key":"a"}],"at":1})",
                                 R"({"items":[{"key":"a","value":"#","revision":1}],"at":1})"}) {
            CPPUNIT_ASSERT_MESSAGE(
                body, parseStoreResponse(completed(200), body).status == StoreCallStatus::Failed);
        }
    }

    void anEndlessPageIsGivenUp()
    {
        constexpr std::size_t maxTakenBytes = 25'165'824; // The kernel's buffers hold some of it.
        const tests::RawServer store([](const std::string &) {
            return tests::RawAnswer {"HTTP/1.1 200 OK\r\n\r\n", tests::RawEnd::Endless, "x"};
        });
        StoreCaller caller(store.port());
        CPPUNIT_ASSERT(caller.list().get().status == StoreCallStatus::Failed);
        CPPUNIT_ASSERT(store.endlessBytes() < maxTakenBytes);
        CPPUNIT_ASSERT(caller.watch(milliseconds(5'000)).get().status == StoreCallStatus::Failed);
        CPPUNIT_ASSERT(store.endlessBytes() < 2 * maxTakenBytes);
    }

    void callsSendTheirParameters()
    {
        std::promise<http::ServerRequest> listed;
        std::promise<http::ServerRequest> watched;
        http::Server server(
            {"127.0.0.1", 0}, {}, 1,
            [&](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
                (request.path == "/v1/kv-range" ? listed : watched).set_value(request);
                exchange->respond(200, {}, R"({"items":[],"at":1})");
            });
        CPPUNIT_ASSERT(!server.start());
        http::Client client;
        metrics::Registry registry;
        const auto calls = makeStoreCalls({"127.0.0.1", server.port()}, client, registry);
        calls.list("servers/a b", [](const routing::StoreResponse &) {});
        const http::ServerRequest list = listed.get_future().get();
        CPPUNIT_ASSERT_EQUAL(std::string("servers/a b"), list.queryField("after"));
        calls.watch(41, milliseconds(1'500), [](const routing::StoreResponse &) {});
        const http::ServerRequest watch = watched.get_future().get();
        CPPUNIT_ASSERT_EQUAL(std::string("41"), watch.queryField("after"));
        CPPUNIT_ASSERT_EQUAL(std::string("1500"), watch.queryField("wait_ms"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                             registry.value(metrics::Counter::ConfigurationReads));
        client.stop();
    }

    void aLargeResponseOnANarrowLinkIsReadToItsEnd()
    {
        const std::string body = R"({"items":[{"key":"op/config","value":")"
            + std::string(800'000, 'A') + R"(","revision":4}],"events":[],"at":4})";
        const std::string head
            = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        tests::RawAnswer answer {head + body};
        answer.pieceBytes = 40'000;
        answer.piecePause = milliseconds(150); // 2 Mbit/s
        const tests::RawServer store([answer](const std::string &) { return answer; });
        StoreCaller caller(store.port());
        auto listed = caller.list();
        auto watched = caller.watch(milliseconds(1'500));
        const routing::StoreResponse page = listed.get();
        CPPUNIT_ASSERT_MESSAGE(page.detail, page.status == StoreCallStatus::Ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t(600'000), page.items.at(0).value.size());
        const routing::StoreResponse changes = watched.get();
        CPPUNIT_ASSERT_MESSAGE(changes.detail, changes.status == StoreCallStatus::Ok);
    }

    void aResponseThatFallsSilentIsGivenUp()
    {
        const tests::RawServer store([](const std::string &request) {
            const bool isListing = request.find("kv-range") != std::string::npos;
            return tests::RawAnswer {isListing ? "HTTP/1.1 200 OK\r\n\r\n{\"items\":[" : "",
                                     tests::RawEnd::Hold};
        });
        StoreCaller caller(store.port());
        const Instant began = monotonicNow();
        auto listed = caller.list();
        auto watched = caller.watch(milliseconds(500));
        CPPUNIT_ASSERT(listed.get().status == StoreCallStatus::Failed);
        CPPUNIT_ASSERT(watched.get().status == StoreCallStatus::Failed);
        CPPUNIT_ASSERT(monotonicNow() - began < milliseconds(3'000));
    }
};

REGISTER_SUITE(StoreClientTest, "store_client");

} // namespace azurespindle::platform
