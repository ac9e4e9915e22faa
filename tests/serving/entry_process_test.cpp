#include "serving/entry_process.h"

#include "base/text.h"
#include "support/fleet.h"
#include "support/suite.h"

#include <condition_variable>
#include <future>
#include <thread>

namespace azurespindle::serving {

using tests::Answer;
using tests::completionBody;
using tests::Fleet;
using tests::streamFault;

/// Tests one entry process end to end, with fake engines and a fake service that fail on request.
class EntryProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryProcessTest);
    CPPUNIT_TEST(aStreamOfTwentyThousandTokensArrivesCompletely);
    CPPUNIT_TEST(fiveHundredStreamsAtOnceAreNotMixed);
    CPPUNIT_TEST(aNonStreamedResponseHasAllTokens);
    CPPUNIT_TEST(aLostConnectionIsResumedWithoutGapOrDuplicate);
    CPPUNIT_TEST(aStreamThatEndsInsideAnEventIsResumed);
    CPPUNIT_TEST(aStreamOfEndlessGarbageIsClosedAndResumed);
    CPPUNIT_TEST(aCallWhoseAnswerIsTooLongIsNotAnsweredWithAPartOfIt);
    CPPUNIT_TEST(aStalledConnectionIsReplaced);
    CPPUNIT_TEST(anEngineCrashAfterTheFirstTokenEndsTheStreamWithAnError);
    CPPUNIT_TEST(aCallerDisconnectCancelsItsGeneration);
    CPPUNIT_TEST(aLostNonIdempotentCallRunsOnceWithAnUnknownOutcome);
    CPPUNIT_TEST(aLostReusedConnectionDoesNotRepeatTheCall);
    CPPUNIT_TEST(aRequestThatCrashesEnginesCrashesTwoAtMost);
    CPPUNIT_TEST(aGracefulStopAbortsNoRequest);
    CPPUNIT_TEST(malformedRequestsAreRefusedWithAnExplanation);
    CPPUNIT_TEST(statusExplanationsAndMetricsAreServed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Tests that leave the fleet unchanged share one, because a start waits seconds for leases.
    void setUp() override
    {
        if (shared == nullptr) {
            shared = std::make_unique<Fleet>(18'000, 1, 2);
        }
    }

    void tearDown() override
    {
        testsRun += 1;
        if (testsRun == testCount) {
            shared.reset();
        }
    }

    void aStreamOfTwentyThousandTokensArrivesCompletely()
    {
        Fleet &fleet = *shared;
        const std::string mismatch = streamFault(fleet.generate(0, 20'000).body, 20'000);
        CPPUNIT_ASSERT_MESSAGE(mismatch, mismatch.empty());
    }

    void fiveHundredStreamsAtOnceAreNotMixed()
    {
        constexpr std::size_t streams = 500;
        constexpr std::size_t tokens = 60;
        Fleet &fleet = *shared;
        http::Client client;
        std::mutex mutex;
        std::condition_variable changed;
        std::vector<std::string> bodies(streams);
        std::vector<std::string> ends(streams, "not ended");
        std::size_t ended = 0;
        for (std::size_t index = 0; index < streams; ++index) {
            http::TransferCallbacks callbacks;
            callbacks.onData = [&, index](std::string_view bytes) {
                const std::lock_guard lock(mutex);
                bodies[index] += bytes;
                return true;
            };
            callbacks.onDone = [&, index, begun = monotonicNow()](const auto &result) {
                const std::lock_guard lock(mutex);
                ends[index] = describe(result, monotonicNow() - begun);
                ended += 1;
                changed.notify_all();
            };
            client.start({"POST", fleet.url(0) + "/v1/completions", {}, completionBody(tokens)},
                         callbacks);
        }
        std::unique_lock lock(mutex);
        changed.wait_for(lock, seconds(30), [&] { return ended == streams; });
        std::string faults;
        for (std::size_t index = 0; index < streams; ++index) {
            const std::string mismatch = streamFault(bodies[index], tokens);
            if (!mismatch.empty()) {
                faults += "\nstream " + std::to_string(index) + ": " + mismatch + "; " + ends[index]
                    + "; received: " + bodies[index].substr(0, shownBytes);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }

    void aNonStreamedResponseHasAllTokens()
    {
        Fleet &fleet = *shared;
        const Answer answer = fleet.call(0, "/v1/chat/completions",
                                         R"({"model":"m","max_tokens":9,"messages":[
                                         {"role":"user","content":"[tokens=3]"}]})");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_MESSAGE(answer.body, answer.body.find("t0 t1 t2 ") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(answer.body,
                               answer.body.find("\"completion_tokens\":3") != std::string::npos);
    }

    void aLostConnectionIsResumedWithoutGapOrDuplicate()
    {
        Fleet &fleet = *shared;
        const double before = metric(fleet, "azurespindle_resumes_total");
        tests::Streaming streaming(fleet, 0, 3'000);
        for (int cut = 0; cut < 5; ++cut) {
            std::this_thread::sleep_for(milliseconds(100));
            fleet.fault(0, "cut");
            fleet.fault(1, "cut");
        }
        const std::string mismatch = streamFault(streaming.wait(), 3'000);
        CPPUNIT_ASSERT_MESSAGE(mismatch, mismatch.empty());
        CPPUNIT_ASSERT(metric(fleet, "azurespindle_resumes_total") >= before + 3);
    }

    void aStreamThatEndsInsideAnEventIsResumed()
    {
        Fleet &fleet = *shared;
        tests::Streaming streaming(fleet, 0, 3'000);
        fleet.fault(0, "end-inside");
        fleet.fault(1, "end-inside");
        const std::string mismatch = streamFault(streaming.wait(), 3'000);
        CPPUNIT_ASSERT_MESSAGE(mismatch, mismatch.empty());
    }

    void aStreamOfEndlessGarbageIsClosedAndResumed()
    {
        Fleet &fleet = *shared;
        tests::Streaming streaming(fleet, 0, 3'000);
        fleet.fault(0, "garbage");
        fleet.fault(1, "garbage");
        const std::string mismatch = streamFault(streaming.wait(), 3'000);
        CPPUNIT_ASSERT_MESSAGE(mismatch, mismatch.empty());
        CPPUNIT_ASSERT(Fleet::eventually([&] {
            const std::string counts = fleet.engineCounts(0) + fleet.engineCounts(1);
            return counts.find("\"garbageReaders\":1") == std::string::npos;
        }));
    }

    void aCallWhoseAnswerIsTooLongIsNotAnsweredWithAPartOfIt()
    {
        const Answer answer
            = shared->call(0, "/services/orders/new", "long", {{"x-standin", "long"}});
        CPPUNIT_ASSERT_EQUAL(502, answer.status);
    }

    void aStalledConnectionIsReplaced()
    {
        Fleet &fleet = *shared;
        const double before = metric(fleet, "azurespindle_resumes_total");
        tests::Streaming streaming(fleet, 0, 1'000);
        fleet.fault(0, "stall", 1'500);
        fleet.fault(1, "stall", 1'500);
        const std::string mismatch = streamFault(streaming.wait(), 1'000);
        CPPUNIT_ASSERT_MESSAGE(mismatch, mismatch.empty());
        CPPUNIT_ASSERT(metric(fleet, "azurespindle_resumes_total") >= before + 1);
    }

    void anEngineCrashAfterTheFirstTokenEndsTheStreamWithAnError()
    {
        Fleet &fleet = *shared;
        tests::Streaming streaming(fleet, 0, 20'000);
        fleet.fault(0, "crash", 400);
        fleet.fault(1, "crash", 400);
        const std::string body = streaming.wait();
        CPPUNIT_ASSERT_MESSAGE(body.substr(body.size() - std::min<std::size_t>(400, body.size())),
                               body.find("event: error") != std::string::npos);
        CPPUNIT_ASSERT(body.find("\"outcome\":\"ran\"") != std::string::npos);
        CPPUNIT_ASSERT(body.find("[DONE]") == std::string::npos);
        const std::string mismatch = streamFault(body, 20'000);
        CPPUNIT_ASSERT_MESSAGE(mismatch, mismatch.find("expected 20000 tokens") == 0);
    }

    void aCallerDisconnectCancelsItsGeneration()
    {
        Fleet &fleet = *shared;
        tests::Streaming streaming(fleet, 0, 90'000);
        CPPUNIT_ASSERT(fleet.get(0, "/status").body.find("\"outstanding\": 1")
                       != std::string::npos);
        streaming.hangUp();
        CPPUNIT_ASSERT(Fleet::eventually([&] {
            return fleet.get(0, "/status").body.find("\"outstanding\": 1") == std::string::npos;
        }));
    }

    void aLostNonIdempotentCallRunsOnceWithAnUnknownOutcome()
    {
        Fleet &fleet = *shared;
        const Answer answer
            = fleet.call(0, "/services/orders/new", "lost order", {{"x-standin", "lose"}});
        CPPUNIT_ASSERT_EQUAL(502, answer.status);
        CPPUNIT_ASSERT_MESSAGE(answer.body,
                               answer.body.find("\"outcome\":\"unknown\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.serviceRuns("lost order"));
    }

    /// Guards against a call that runs twice: the HTTP library repeats a request by itself when a
    /// reused connection turns out dead.
    void aLostReusedConnectionDoesNotRepeatTheCall()
    {
        Fleet &fleet = *shared;
        CPPUNIT_ASSERT_EQUAL(200, fleet.call(0, "/services/orders/new", "first").status);
        fleet.call(0, "/services/orders/new", "second", {{"x-standin", "lose"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.serviceRuns("second"));
    }

    void aRequestThatCrashesEnginesCrashesTwoAtMost()
    {
        Fleet fleet(18'100, 1, 4);
        const std::string poison = completionBody(50, false, "[poison]");
        for (int attempt = 0; attempt < 4; ++attempt) {
            fleet.call(0, "/v1/completions", poison);
        }
        std::size_t deaths = 0;
        for (std::size_t engine = 0; engine < 4; ++engine) {
            const std::string counts = fleet.engineCounts(engine);
            deaths += counts.find("\"deaths\":0") == std::string::npos ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), deaths);
        const Answer last = fleet.call(0, "/v1/completions", poison);
        CPPUNIT_ASSERT_EQUAL(422, last.status);
        CPPUNIT_ASSERT(last.body.find("crash-suspect") != std::string::npos);
    }

    void aGracefulStopAbortsNoRequest()
    {
        Fleet fleet(18'100, 1, 1);
        std::vector<std::unique_ptr<tests::Streaming>> open;
        open.reserve(20);
        for (int index = 0; index < 20; ++index) {
            open.push_back(std::make_unique<tests::Streaming>(fleet, 0, 4'000));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.entry(0).stopGracefully());
        for (const auto &streaming : open) {
            const std::string mismatch = streamFault(streaming->wait(), 4'000);
            CPPUNIT_ASSERT_MESSAGE(mismatch, mismatch.empty());
        }
    }

    void malformedRequestsAreRefusedWithAnExplanation()
    {
        Fleet &fleet = *shared;
        const std::vector<std::pair<std::string, std::string>> cases {
            {"", "$: found"},
            {"{", "$: found"},
            {"[]", "an object"},
            {"7", "an object"},
            {"{}", "$.model: found nothing"},
            {R"({"model":"m"})", "$.prompt: found nothing"},
            {R"({"model":"","prompt":"x"})", "$.model"},
            {R"({"model":7,"prompt":"x"})", "$.model: found 7"},
            {R"({"model":"m","prompt":7})", "$.prompt: found 7"},
            {R"({"model":"m","prompt":""})", "$.prompt"},
            {R"({"model":"m","prompt":"x","stream":"yes"})", "true or false"},
            {R"({"model":"m","prompt":"x","max_tokens":0})", "$.max_tokens: found 0"},
            {R"({"model":"m","prompt":"x","max_tokens":-1})", "$.max_tokens"},
            {R"({"model":"m","prompt":"x","max_tokens":1.5})", "a whole number"},
            {R"({"model":"m","prompt":"x","max_tokens":999999999})", "131072"},
            {R"({"model":"m","prompt":"x","n":2})", "$.n: found 2"},
            {R"({"model":"m","prompt":"x","promt":"y"})", "$.promt"},
            {R"({"model":"nobody","prompt":"x"})", "unknown-model"},
        };
        for (const auto &[body, expected] : cases) {
            const Answer answer = fleet.call(0, "/v1/completions", body);
            const bool found = answer.status >= 400 && answer.status < 500
                && answer.body.find(expected) != std::string::npos
                && answer.body.find("\"outcome\":\"not-run\"") != std::string::npos;
            std::string context = body;
            context.append(" -> expected ").append(expected).append(", got ").append(answer.body);
            CPPUNIT_ASSERT_MESSAGE(context, found);
        }
        checkHeadersAndPaths(fleet);
    }

    void statusExplanationsAndMetricsAreServed()
    {
        Fleet &fleet = *shared;
        fleet.generate(0, 5, {{"x-workspace", "gates"}, {"x-class", "spec"}});
        const std::string explained = fleet.get(0, "/explain?id=gates").body;
        CPPUNIT_ASSERT_MESSAGE(explained, explained.find("request-placed") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(explained, explained.find("passedOver") != std::string::npos);
        const std::string metrics = fleet.get(0, "/metrics").body;
        const std::string series
            = "azurespindle_output_tokens_count{workspace=\"gates\",class=\"spec\"} 1";
        CPPUNIT_ASSERT_MESSAGE(metrics, metrics.find(series) != std::string::npos);
        for (const char *measure : {"first_token_seconds", "gap_seconds", "stall_seconds",
                                    "queue_seconds", "output_tokens"}) {
            const std::string counted = std::string("azurespindle_") + measure
                + "_count{workspace=\"gates\",class=\"spec\"}";
            const std::size_t at = metrics.find(counted);
            CPPUNIT_ASSERT_MESSAGE(counted, at != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(counted, metrics[at + counted.size() + 1] != '0');
        }
        const std::string policy = fleet.get(0, "/configuration?workspace=gates").body;
        CPPUNIT_ASSERT_MESSAGE(policy, policy.find("\"defaults\"") != std::string::npos);
    }

private:
    static constexpr std::size_t shownBytes = 300; ///< Of a body, in the message of a failure.
    static constexpr int testCount = 16;
    static inline int testsRun = 0;
    static inline std::unique_ptr<Fleet> shared;

    static std::string describe(const http::TransferResult &result, microseconds took)
    {
        static const char *const ends[]
            = {"complete", "not sent", "connection refused", "connection lost", "timed out"};
        return std::string(ends[static_cast<int>(result.end)]) + ", status "
            + std::to_string(result.status) + ", after " + millisecondsText(took) + " ms, "
            + result.detail;
    }

    static double metric(Fleet &fleet, const std::string &name)
    {
        const std::string text = fleet.get(0, "/metrics").body;
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1.0 : std::stod(text.substr(at + name.size() + 2));
    }

    static void checkHeadersAndPaths(Fleet &fleet)
    {
        const std::string good = completionBody(1);
        const std::vector<std::tuple<std::string, http::Headers, int>> cases {
            {"/v1/completions", {{"x-workspace", "a b"}}, 400},
            {"/v1/completions", {{"x-class", "\"quoted\""}}, 400},
            {"/v1/completions", {{"x-priority", "urgent"}}, 400},
            {"/v1/completions", {{"last-event-id", "nonsense"}}, 400},
            {"/v1/completions", {{"last-event-id", "e0/g/x"}}, 400},
            {"/v1/completions", {{"last-event-id", "e0//3"}}, 400},
            {"/v1/completions", {{"last-event-id", "e0/foreign-generation/3"}}, 404},
            {"/v1/chat/completions", {}, 400},
            {"/services/nobody/x", {}, 404},
            {"/services/orders/x", {{"idempotency-key", "my own key"}}, 400},
            {"/services/orders/x", {{"idempotency-key", "gone.1.2.3"}}, 410},
            {"/services/orders/x", {{"x-workspace", "a/b"}}, 400},
            {"/nothing/here", {}, 404},
        };
        for (const auto &[path, headers, status] : cases) {
            const Answer answer = fleet.call(0, path, good, headers);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path + ": " + answer.body, status, answer.status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.serviceRuns(good));
    }
};

REGISTER_SUITE(EntryProcessTest, "entry_process");

} // namespace azurespindle::serving
