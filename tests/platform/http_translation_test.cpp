#include "platform/http_translation.h"

#include "support/suite.h"

#include <algorithm>

namespace azurespindle::platform {
namespace {

http::ServerRequest callerRequest()
{
    http::ServerRequest request;
    request.method = "POST";
    request.target = "/a/2f?x=%41";
    request.path = "/a/2f";
    request.body = "body";
    request.fields = {{"Host", "shop.example"},
                      {"Azurespindle-Attempt-Id", "9c41"},
                      {"Azurespindle-Model", "m"},
                      {"Azurespindle-Token-Usage", "1460,80"},
                      {"Azurespindle-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
                      {"azurespindle-deadline-ms", "39000"},
                      {"Azurespindle-Key", "secret"},
                      {"X-Own", "kept"},
                      {"X-Own", "twice"}};
    return request;
}

routing::RoutedRequest readValid(const http::ServerRequest &request)
{
    const routing::RequestOrReply read = readRequest(request);
    CPPUNIT_ASSERT(std::holds_alternative<routing::RoutedRequest>(read));
    return std::get<routing::RoutedRequest>(read);
}

std::string valueOf(const http::HeaderFields &fields, const std::string &name)
{
    std::string values;
    for (const auto &[field, value] : fields) {
        values += field == name ? (values.empty() ? "" : "|") + value : "";
    }
    return values;
}

routing::AttemptPlan plainPlan()
{
    routing::AttemptPlan plan;
    plan.upstream.id = "i-1";
    plan.upstream.address = "10.0.0.1:80";
    plan.timeLeft = milliseconds(700);
    plan.workspace = "gates";
    return plan;
}

} // namespace

class HttpTranslationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpTranslationTest);
    CPPUNIT_TEST(theFieldsForRoutingAreRead);
    CPPUNIT_TEST(aRequestWithoutAnIdIsRefused);
    CPPUNIT_TEST(reservedFieldsOfCallersAreNotForwarded);
    CPPUNIT_TEST(hopByHopFieldsAreNotForwarded);
    CPPUNIT_TEST(theUpstreamGetsTheCallersRequestAndTheReservedFields);
    CPPUNIT_TEST(aTakeoverNamesTheEventAndTheCopyToResumeFrom);
    CPPUNIT_TEST(responseHeadsTellWhetherTheResponseIsAuthentic);
    CPPUNIT_TEST(aNamedLimitIsRead);
    CPPUNIT_TEST(localRepliesGiveRetryAfterInFractionsOfSeconds);
    CPPUNIT_TEST(whetherAnUpstreamLeavesIsRead);
    CPPUNIT_TEST(theTimeForWhichAnUpstreamWantsNothingIsRead);
    CPPUNIT_TEST(aResponseWithoutARequestIdIsMarked);
    CPPUNIT_TEST_SUITE_END();

public:
    void theFieldsForRoutingAreRead()
    {
        const routing::RoutedRequest read = readValid(callerRequest());
        CPPUNIT_ASSERT_EQUAL(std::string("9c41"), read.callerRequestId);
        CPPUNIT_ASSERT_EQUAL(std::string("shop.example"), read.host);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), read.key);
        CPPUNIT_ASSERT(read.deadline == milliseconds(39'000));
        CPPUNIT_ASSERT_EQUAL(1'460U, read.promptTokens);
        CPPUNIT_ASSERT_EQUAL(80U, read.maxOutputTokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read.promptParts.size());
        CPPUNIT_ASSERT((routing::PromptPart {0x91bd3f06, 410}) == read.promptParts[1]);
    }

    void aRequestWithoutAnIdIsRefused()
    {
        http::ServerRequest request = callerRequest();
        request.fields.erase(request.fields.begin() + 1);
        const routing::RequestOrReply read = readRequest(request);
        CPPUNIT_ASSERT(std::holds_alternative<routing::LocalReply>(read));
        CPPUNIT_ASSERT_EQUAL(400, std::get<routing::LocalReply>(read).status);
    }

    void reservedFieldsOfCallersAreNotForwarded()
    {
        http::ServerRequest request = callerRequest();
        for (const char *name :
             {"Azurespindle-Retain", "azurespindle-pin-ms", "AZURESPINDLE-KV-BACKUP", "Kv-From",
              "Kv-Fetch", "Azurespindle-Tenant", "Azurespindle-Expected-Instance",
              "Azurespindle-Request-Priority", "Azurespindle-Expected-Version",
              "Azurespindle-Server-Seal", "Azurespindle-Not-Executed"}) {
            request.fields.emplace_back(name, "forged");
        }
        const http::ClientRequest out = writeAttempt(readValid(request), plainPlan());
        for (const auto &[name, value] : out.fields) {
            CPPUNIT_ASSERT_MESSAGE(name, value != "forged");
            CPPUNIT_ASSERT_MESSAGE(name, value != "secret");
        }
    }

    void hopByHopFieldsAreNotForwarded()
    {
        http::ServerRequest request = callerRequest();
        request.fields.insert(request.fields.end(),
                              {{"Connection", "keep-alive, X-Hop"},
                               {"X-Hop", "1"},
                               {"Keep-Alive", "timeout=5"},
                               {"Transfer-Encoding", "chunked"},
                               {"TE", "trailers"},
                               {"Content-Length", "4"}});
        const routing::RoutedRequest read = readValid(request);
        for (const char *name :
             {"Connection", "X-Hop", "Keep-Alive", "Transfer-Encoding", "TE", "Content-Length"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(), valueOf(read.forwarded, name));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("kept|twice"), valueOf(read.forwarded, "X-Own"));
    }

    void theUpstreamGetsTheCallersRequestAndTheReservedFields()
    {
        const http::ClientRequest out = writeAttempt(readValid(callerRequest()), plainPlan());
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), out.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/2f?x=%41"), out.target);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), out.body);
        CPPUNIT_ASSERT_MESSAGE("the library repeats requests on kept connections",
                               out.freshConnection);
        CPPUNIT_ASSERT_EQUAL(std::string("9c41"), valueOf(out.fields, "Azurespindle-Attempt-Id"));
        CPPUNIT_ASSERT_EQUAL(std::string("700"), valueOf(out.fields, "Azurespindle-Deadline-Ms"));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                             valueOf(out.fields, "Azurespindle-Expected-Instance"));
        CPPUNIT_ASSERT_EQUAL(std::string("gates"), valueOf(out.fields, "Azurespindle-Tenant"));
        CPPUNIT_ASSERT_EQUAL(std::string(), valueOf(out.fields, "Azurespindle-Request-Priority"));
    }

    void aTakeoverNamesTheEventAndTheCopyToResumeFrom()
    {
        routing::AttemptPlan plan = plainPlan();
        plan.toEngine = true;
        plan.priority = 1;
        plan.resumeAfterEvent = 17;
        plan.takeover = routing::Takeover {"10.0.0.2:80/h"};
        plan.backupAddress = "10.0.0.3:80";
        plan.reservation = "r7";
        const http::ClientRequest out = writeAttempt(readValid(callerRequest()), plan);
        CPPUNIT_ASSERT_EQUAL(std::string("17"), valueOf(out.fields, "Last-Event-Id"));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:80/h"), valueOf(out.fields, "Kv-From"));
        CPPUNIT_ASSERT_EQUAL(std::string("r7"), valueOf(out.fields, "Azurespindle-Retain"));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.3:80"),
                             valueOf(out.fields, "Azurespindle-Kv-Backup"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"),
                             valueOf(out.fields, "Azurespindle-Request-Priority"));
    }

    void responseHeadsTellWhetherTheResponseIsAuthentic()
    {
        const routing::RoutedRequest request = readValid(callerRequest());
        const http::HeaderFields valid {{"Azurespindle-Attempt-Id", "9c41"},
                                        {"Azurespindle-Server-Seal", "s"},
                                        {"content-type", "text/event-stream; charset=utf-8"},
                                        {"Connection", "close"}};
        const routing::ResponseHead head = readHead(request, 200, valid);
        CPPUNIT_ASSERT(head.authentic && head.eventStream && !head.requestIdMismatch
                       && !head.notRun);
        CPPUNIT_ASSERT_EQUAL(std::string("s"), valueOf(head.fields, "Azurespindle-Server-Seal"));
        CPPUNIT_ASSERT_EQUAL(std::string(), valueOf(head.fields, "Connection"));
        CPPUNIT_ASSERT(head.endsWithConnection);
        CPPUNIT_ASSERT(!readHead(request, 200, {{"content-length", "1"}}).endsWithConnection);
        CPPUNIT_ASSERT(
            !readHead(request, 200, {{"transfer-encoding", "chunked"}}).endsWithConnection);
        http::HeaderFields mismatched = valid;
        mismatched[0].second = "another";
        CPPUNIT_ASSERT(readHead(request, 200, mismatched).requestIdMismatch);
        CPPUNIT_ASSERT(!readHead(request, 200, mismatched).authentic);
        http::HeaderFields encoded = valid;
        encoded.emplace_back("Content-Encoding", "gzip");
        CPPUNIT_ASSERT(!readHead(request, 200, encoded).authentic);
        CPPUNIT_ASSERT(!readHead(request, 200, {}).authentic);
        CPPUNIT_ASSERT(readHead(request, 503, {{"azurespindle-not-executed", "1"}}).notRun);
        CPPUNIT_ASSERT(readHead(request, 421, {}).wrongInstance);
    }

    void aNamedLimitIsRead()
    {
        const auto limitIn = [](const std::string &value) {
            return readHead({}, 200, {{"server-limit", value}}).requestsPerSecond;
        };
        CPPUNIT_ASSERT_EQUAL(2.5, limitIn("2.5").value());
        CPPUNIT_ASSERT_EQUAL(0.0, limitIn("0").value());
        for (const char *malformed : {"", "-1", "nan", "inf", "2 ", "2,5", "many", "1e999"}) {
            CPPUNIT_ASSERT_MESSAGE(malformed, !limitIn(malformed));
        }
        CPPUNIT_ASSERT(!readHead({}, 200, {}).requestsPerSecond);
    }

    void localRepliesGiveRetryAfterInFractionsOfSeconds()
    {
        const http::HeaderFields fields
            = writeLocalReplyHead("9c41", {503, milliseconds(1'250), "no room"});
        CPPUNIT_ASSERT_EQUAL(std::string("1.250"), valueOf(fields, "Retry-After"));
        CPPUNIT_ASSERT_EQUAL(std::string("9c41"), valueOf(fields, "Azurespindle-Attempt-Id"));
        CPPUNIT_ASSERT_EQUAL(
            std::string(),
            valueOf(writeLocalReplyHead("", {504, milliseconds(0), ""}), "Retry-After"));
    }

    void whetherAnUpstreamLeavesIsRead()
    {
        CPPUNIT_ASSERT(readHead({}, 200, {{"server-leaving", "1"}}).leaving);
        CPPUNIT_ASSERT(readHead({}, 503, {{"Server-Leaving", "1"}}).leaving);
        for (const std::string value : {"0", "", "yes", "11"}) {
            CPPUNIT_ASSERT(!readHead({}, 200, {{"Server-Leaving", value}}).leaving);
        }
        CPPUNIT_ASSERT(!readHead({}, 200, {}).leaving);
    }

    void theTimeForWhichAnUpstreamWantsNothingIsRead()
    {
        const auto read = [](int status, const std::vector<std::string> &values) {
            http::HeaderFields fields;
            for (const std::string &value : values) {
                fields.emplace_back("Retry-After", value);
            }
            return readHead({}, status, fields);
        };
        CPPUNIT_ASSERT(milliseconds(2'000) == read(503, {"2"}).retryAfter);
        CPPUNIT_ASSERT(milliseconds(1'251) == read(503, {"1.2501"}).retryAfter);
        CPPUNIT_ASSERT_MESSAGE("the longest of several",
                               milliseconds(3'000) == read(503, {"1", "3", "2"}).retryAfter);
        CPPUNIT_ASSERT_MESSAGE("bounded",
                               milliseconds(86'400'000) == read(503, {"1e300"}).retryAfter);
        CPPUNIT_ASSERT(!read(503, {"0"}).retryAfter);
        CPPUNIT_ASSERT_EQUAL(0U, read(503, {"0"}).invalidRetryAfters);
        for (const std::string value :
             {"-1", "", "soon", "nan", "inf", "1 s", "Sat, 05 Dec 2026 00:00:00 GMT"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !read(503, {value}).retryAfter);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, 1U, read(503, {value}).invalidRetryAfters);
        }
        CPPUNIT_ASSERT_MESSAGE("another status", !read(429, {"2"}).retryAfter);
        CPPUNIT_ASSERT(milliseconds(2'000) == read(503, {"soon", "2"}).retryAfter);
    }

    void aResponseWithoutARequestIdIsMarked()
    {
        routing::RoutedRequest request;
        request.callerRequestId = "r1";
        CPPUNIT_ASSERT(readHead(request, 503, {}).requestIdMissing);
        CPPUNIT_ASSERT(
            !readHead(request, 503, {{"Azurespindle-Attempt-Id", "r1"}}).requestIdMissing);
        CPPUNIT_ASSERT(
            readHead(request, 503, {{"Azurespindle-Attempt-Id", "r2"}}).requestIdMismatch);
    }
};

REGISTER_SUITE(HttpTranslationTest, "http_translation");

} // namespace azurespindle::platform
