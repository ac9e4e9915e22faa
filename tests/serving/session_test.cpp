#include "serving/session.h"

#include "support/suite.h"

namespace azurespindle::serving {
namespace {

/// An exchange that calls the test when the response ends.
class EndingExchange : public http::Exchange
{
public:
    explicit EndingExchange(std::function<void()> onEnd) : onEnd(std::move(onEnd)) { }

    void respond(int, const http::Headers &, const std::string &) override { this->onEnd(); }
    void respondWithFields(int, const http::HeaderFields &, const std::string &) override { }
    void beginStream(int, const http::Headers &) override { }
    void beginStreamWithFields(int, const http::HeaderFields &) override { }
    void send(const std::string &) override { }
    void finish() override { this->onEnd(); }
    void abort() override { }
    void onDisconnected(std::function<void()>) override { }
    void onDrained(std::function<void()>) override { }
    std::size_t unsentBytes() const override { return 0; }
    bool congested() const override { return false; }

private:
    const std::function<void()> onEnd;
};

} // namespace

class SessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SessionTest);
    CPPUNIT_TEST(aGenerationIsCountedBeforeItsCallerHasTheEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void aGenerationIsCountedBeforeItsCallerHasTheEnd()
    {
        for (const bool streamed : {true, false}) {
            metrics::Registry registry;
            std::string metricsAtEnd;
            auto exchange
                = std::make_shared<EndingExchange>([&] { metricsAtEnd = registry.exposition(); });
            decision::Request request;
            request.id = 1;
            request.workspace = "gates";
            request.trafficClass = "spec";
            request.streamed = streamed;
            Session session(request, exchange, registry);
            session.beginAttempt("g");
            session.deliver({1, "e", "g", 0, 2, 0, true}, {"a", "b"});
            const std::string counted
                = "azurespindle_output_tokens_count{workspace=\"gates\",class=\"spec\"} 1";
            CPPUNIT_ASSERT(metricsAtEnd.find(counted) != std::string::npos);
        }
    }
};

REGISTER_SUITE(SessionTest, "session");

} // namespace azurespindle::serving
