#include "platform/engine_client.h"

#include "http/server.h"
#include "support/suite.h"

#include <future>

namespace azurespindle::platform {
namespace {

using routing::MigrationStatus;

routing::MigrationResponse answerOf(int status, const std::string &body)
{
    return parseMigrationResponse({http::TransferEnd::Complete, status, ""}, body);
}

} // namespace

class EngineClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineClientTest);
    CPPUNIT_TEST(answersToCopiesAreRead);
    CPPUNIT_TEST(reportsAreRead);
    CPPUNIT_TEST(aCopyIsAskedForByItsRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersToCopiesAreRead()
    {
        const auto copied = answerOf(200, R"({"kv_handle":"h","created":17})");
        CPPUNIT_ASSERT((routing::MigrationResponse {MigrationStatus::Copied, "h", 17}) == copied);
        CPPUNIT_ASSERT(answerOf(200, "{}").status == MigrationStatus::Failed);
        CPPUNIT_ASSERT(answerOf(200, "not json").status == MigrationStatus::Failed);
        CPPUNIT_ASSERT(answerOf(404, "").status == MigrationStatus::NotRunning);
        CPPUNIT_ASSERT(answerOf(409, "").status == MigrationStatus::InProgress);
        const auto full = answerOf(503, R"({"kv_handle":"kept"})");
        CPPUNIT_ASSERT(full.status == MigrationStatus::NoCapacity);
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), full.handle);
        CPPUNIT_ASSERT(answerOf(500, "").status == MigrationStatus::Failed);
        CPPUNIT_ASSERT(parseMigrationResponse({http::TransferEnd::TimedOut, 0, ""}, "").status
                       == MigrationStatus::Failed);
    }

    void reportsAreRead()
    {
        CPPUNIT_ASSERT((routing::EngineReport {true, milliseconds(1'200)})
                       == parseReport(R"({"state":"draining","leaves_ms":1200,"active":3})"));
        CPPUNIT_ASSERT((routing::EngineReport {}) == parseReport(R"({"state":"ready"})"));
        CPPUNIT_ASSERT((routing::EngineReport {}) == parseReport(R"({"leaves_ms":"soon"})"));
        CPPUNIT_ASSERT((routing::EngineReport {}) == parseReport("garbage"));
    }

    void aCopyIsAskedForByItsRun()
    {
        std::promise<http::ServerRequest> asked;
        http::Server engine({"127.0.0.1", 0}, {}, 1,
                            [&](const http::ServerRequest &request, const http::ExchangePtr &out) {
                                out->respond(200, {}, R"({"kv_handle":"h","created":3})");
                                asked.set_value(request);
                            });
        CPPUNIT_ASSERT(!engine.start());
        http::Client client;
        std::promise<routing::MigrationResponse> answered;
        requestMigration(
            client,
            {{1, 1}, "127.0.0.1:" + std::to_string(engine.port()), "10.0.0.2:80", "9c41", true},
            [&](const routing::MigrationResponse &answer) { answered.set_value(answer); });
        const http::ServerRequest request = asked.get_future().get();
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/kv-move"), request.path);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"final":true,"id":"9c41","to":"10.0.0.2:80"})"),
                             request.body);
        CPPUNIT_ASSERT(answered.get_future().get().status == MigrationStatus::Copied);
        client.stop();
    }
};

REGISTER_SUITE(EngineClientTest, "engine_client");

} // namespace azurespindle::platform
