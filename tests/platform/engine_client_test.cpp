#include "platform/engine_client.h"

#include "http/server.h"
#include "support/raw_server.h"
#include "support/suite.h"

#include <future>
#include <map>
#include <thread>

namespace azurespindle::platform {
namespace {

using routing::MigrationStatus;
using tests::RawAnswer;
using tests::RawEnd;
using tests::RawServer;

/// What an engine may send of an endless answer: the kernel's buffers hold some of it.
constexpr std::size_t maxTakenBytes = 16'777'216;
const RawAnswer endless {"HTTP/1.1 200 OK\r\n\r\n", RawEnd::Endless, "x"};

void waitUntilClosed(const RawServer &engine)
{
    while (engine.requests() == 0 || engine.openConnections() > 0) {
        std::this_thread::sleep_for(milliseconds(5));
    }
}

routing::MigrationResponse responseOf(int status, const std::string &body)
{
    return parseMigrationResponse({http::TransferEnd::Complete, status, ""}, body);
}

} // namespace

class EngineClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineClientTest);
    CPPUNIT_TEST(migrationResponsesAreParsed);
    CPPUNIT_TEST(reservationResponsesAreParsed);
    CPPUNIT_TEST(reservationsAreRequestedAndReleased);
    CPPUNIT_TEST(reportsAreParsed);
    CPPUNIT_TEST(aMigrationRequestNamesTheRunningRequest);
    CPPUNIT_TEST(aMigrationRequestNamesAnIdOfAnyBytes);
    CPPUNIT_TEST(aRefusedConnectionTellsThatTheEngineIsGone);
    CPPUNIT_TEST(absurdNumbersInReportsAreIgnored);
    CPPUNIT_TEST(anEndlessMigrationResponseIsGivenUp);
    CPPUNIT_TEST(anEndlessReportIsGivenUp);
    CPPUNIT_TEST(anEndlessResponseToAReleaseIsGivenUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void migrationResponsesAreParsed()
    {
        const auto copied = responseOf(200, R"({"kv_handle":"h","created":17})");
        CPPUNIT_ASSERT((routing::MigrationResponse {MigrationStatus::Copied, "h", 17}) == copied);
        CPPUNIT_ASSERT(responseOf(200, "{}").status == MigrationStatus::Failed);
        CPPUNIT_ASSERT(responseOf(200, "not json").status == MigrationStatus::Failed);
        CPPUNIT_ASSERT(responseOf(404, "").status == MigrationStatus::NotRunning);
        CPPUNIT_ASSERT(responseOf(409, "").status == MigrationStatus::InProgress);
        const auto noCapacity = responseOf(503, R"({"kv_handle":"kept"})");
        CPPUNIT_ASSERT(noCapacity.status == MigrationStatus::NoCapacity);
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), noCapacity.handle);
        CPPUNIT_ASSERT(responseOf(500, "").status == MigrationStatus::Failed);
        CPPUNIT_ASSERT(parseMigrationResponse({http::TransferEnd::TimedOut, 0, ""}, "").status
                       == MigrationStatus::Failed);
    }

    void reportsAreParsed()
    {
        CPPUNIT_ASSERT((routing::EngineReport {true, milliseconds(1'200)})
                       == parseReport(R"({"state":"draining","leaves_ms":1200,"active":3})"));
        CPPUNIT_ASSERT((routing::EngineReport {}) == parseReport(R"({"state":"ready"})"));
        CPPUNIT_ASSERT((routing::EngineReport {}) == parseReport(R"({"leaves_ms":"soon"})"));
        CPPUNIT_ASSERT((routing::EngineReport {}) == parseReport("garbage"));
    }

    void aMigrationRequestNamesTheRunningRequest()
    {
        std::promise<http::ServerRequest> received;
        http::Server engine(
            {"127.0.0.1", 0}, {}, 1,
            [&](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
                exchange->respond(200, {}, R"({"kv_handle":"h","created":3})");
                received.set_value(request);
            });
        CPPUNIT_ASSERT(!engine.start());
        http::Client client;
        std::promise<routing::MigrationResponse> response;
        requestMigration(
            client,
            {{1, 1}, "127.0.0.1:" + std::to_string(engine.port()), "10.0.0.2:80", "9c41", true},
            [&](const routing::MigrationResponse &parsed) { response.set_value(parsed); });
        const http::ServerRequest request = received.get_future().get();
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/kv-move"), request.path);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"final":true,"id":"9c41","to":"10.0.0.2:80"})"),
                             request.body);
        CPPUNIT_ASSERT(response.get_future().get().status == MigrationStatus::Copied);
        client.stop();
    }

    /// Guards against a process that ends because a caller's id has bytes that are not UTF-8.
    void aMigrationRequestNamesAnIdOfAnyBytes()
    {
        const std::map<std::string, std::string> bodies {
            {"b\xFCro", "{\"final\":true,\"id\":\"b\xC3\xBCro\",\"to\":\"10.0.0.2:80\"}"},
            {"b\xC3\xBCro", "{\"final\":true,\"id\":\"b\xC3\xBCro\",\"to\":\"10.0.0.2:80\"}"},
            {"\x80\"", "{\"final\":true,\"id\":\"\xC2\x80\\\"\",\"to\":\"10.0.0.2:80\"}"}};
        for (const auto &[id, body] : bodies) {
            std::promise<std::string> received;
            const RawServer engine([&](const std::string &request) {
                received.set_value(request.substr(request.find("\r\n\r\n") + 4));
                return RawAnswer {"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"};
            });
            http::Client client;
            requestMigration(client, {{1, 1}, engine.address(), "10.0.0.2:80", id, true},
                             [](const routing::MigrationResponse &) {});
            CPPUNIT_ASSERT_EQUAL(body, received.get_future().get());
            client.stop();
        }
    }

    void aRefusedConnectionTellsThatTheEngineIsGone()
    {
        CPPUNIT_ASSERT(
            parseMigrationResponse({http::TransferEnd::ConnectionRefused, 0, ""}, "").status
            == MigrationStatus::EngineGone);
    }

    /// Guards against durations that overflow when they are added to a time.
    void absurdNumbersInReportsAreIgnored()
    {
        for (const char *number : {"1e300", "-1e300", "-1", "1e18", "9223372036854775808"}) {
            const std::string body
                = R"({"state":"draining","leaves_ms":)" + std::string(number) + "}";
            CPPUNIT_ASSERT_MESSAGE(body, (routing::EngineReport {true, {}}) == parseReport(body));
        }
        CPPUNIT_ASSERT((routing::EngineReport {}) == parseReport(R"({"leaves_ms":1e999})"));
    }

    void anEndlessMigrationResponseIsGivenUp()
    {
        const RawServer engine([](const std::string &) { return endless; });
        http::Client client;
        std::promise<routing::MigrationResponse> response;
        requestMigration(
            client, {{1, 1}, engine.address(), "10.0.0.2:80", "9c41", true},
            [&](const routing::MigrationResponse &parsed) { response.set_value(parsed); });
        CPPUNIT_ASSERT(response.get_future().get().status == MigrationStatus::Failed);
        waitUntilClosed(engine);
        CPPUNIT_ASSERT(engine.endlessBytes() < maxTakenBytes);
    }

    void anEndlessReportIsGivenUp()
    {
        const RawServer engine([](const std::string &) { return endless; });
        http::Client client;
        requestReport(client, {"e0", engine.address()},
                      [](const routing::EngineReport &) { CPPUNIT_FAIL("no report came"); });
        waitUntilClosed(engine);
        CPPUNIT_ASSERT(engine.endlessBytes() < maxTakenBytes);
    }

    void reservationResponsesAreParsed()
    {
        using routing::ReservationStatus;
        const auto parsed = [](int status, const std::string &body) {
            return parseReservationResponse({http::TransferEnd::Complete, status, ""}, body);
        };
        CPPUNIT_ASSERT((routing::ReservationResponse {ReservationStatus::Taken, "a-7"})
                       == parsed(200, R"({"retain":"a-7"})"));
        CPPUNIT_ASSERT(parsed(503, "{}").status == ReservationStatus::Refused);
        const std::string longHandle = R"({"retain":")" + std::string(129, 'a') + R"("})";
        for (const std::string &body :
             {std::string("garbage"), std::string("{}"), std::string(R"({"retain":7})"),
              std::string(R"({"retain":""})"), std::string(R"({"retain":"../x"})"),
              std::string(R"({"retain":"a\r\nB: c"})"), longHandle}) {
            CPPUNIT_ASSERT_MESSAGE(body, parsed(200, body) == routing::ReservationResponse {});
        }
        CPPUNIT_ASSERT(parsed(404, "{}").status == ReservationStatus::Failed);
        CPPUNIT_ASSERT(parseReservationResponse({http::TransferEnd::TimedOut, 0, ""}, "").status
                       == ReservationStatus::Failed);
    }

    void reservationsAreRequestedAndReleased()
    {
        std::promise<std::string> taken;
        std::promise<std::string> dropped;
        const RawServer engine([&](const std::string &request) {
            (request.rfind("POST", 0) == 0 ? taken : dropped).set_value(request);
            return RawAnswer {"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"retain\":\"a-7\"}"};
        });
        http::Client client;
        std::promise<routing::ReservationResponse> response;
        requestReservation(
            client, {{1, 1, "e0", engine.address()}, 3'400, milliseconds(500)},
            [&](const routing::ReservationResponse &parsed) { response.set_value(parsed); });
        CPPUNIT_ASSERT_EQUAL(std::string("a-7"), response.get_future().get().handle);
        const std::string request = taken.get_future().get();
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, request.find("POST /v1/hold-take "));
        CPPUNIT_ASSERT(request.find(R"({"token_count":3400,"ttl_ms":500})") != std::string::npos);
        releaseReservation(client, {engine.address(), "a-7"});
        CPPUNIT_ASSERT_EQUAL(std::size_t {0},
                             dropped.get_future().get().find("DELETE /v1/hold-drop/a-7 "));
    }

    void anEndlessResponseToAReleaseIsGivenUp()
    {
        const RawServer engine([](const std::string &) { return endless; });
        http::Client client;
        releaseCopy(client, {engine.address(), "h"});
        waitUntilClosed(engine);
        CPPUNIT_ASSERT(engine.endlessBytes() < maxTakenBytes);
    }
};

REGISTER_SUITE(EngineClientTest, "engine_client");

} // namespace azurespindle::platform
