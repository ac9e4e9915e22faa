#include "serving/request_forwarder.h"

#include "support/raw_fleet.h"
#include "support/suite.h"

#include <thread>

namespace azurespindle::serving {
namespace {

constexpr std::uint16_t firstPort = 22'480;
constexpr std::size_t responseBytes = 2'097'152;
constexpr std::size_t callers = 40;
constexpr milliseconds patience {20'000};
const std::string sealedHead = "HTTP/1.1 200 OK\r\nAzurespindle-Server-Seal: seal\r\n";

/// Returns the value of a metric, or nothing if it is not served.
std::optional<std::size_t> readMetric(std::uint16_t port, const std::string &name)
{
    http::ClientRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(port) + "/metrics";
    request.totalTimeout = milliseconds(3'000);
    std::string body;
    http::fetch(request, body);
    const std::size_t at = body.find("\n" + name + " ");
    return at == std::string::npos ? std::nullopt
                                   : std::optional(std::stoull(body.substr(at + name.size() + 2)));
}

} // namespace

/// Upstreams begin many long responses and never end them.
class HeldResponsesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeldResponsesTest);
    CPPUNIT_TEST(responsesWithoutLengthKeepWithinTheMemory);
    CPPUNIT_TEST(responsesWithLengthKeepWithinTheMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    void responsesWithoutLengthKeepWithinTheMemory() { check(""); }
    void responsesWithLengthKeepWithinTheMemory() { check("Content-Length: 3000000\r\n"); }

private:
    static void check(const std::string &framing)
    {
        tests::RawFleet fleet(firstPort, [framing](std::size_t, const std::string &request) {
            return request.find(" /order/large ") == std::string::npos
                ? tests::RawAnswer {sealedHead + "\r\nsmall", tests::RawEnd::Close}
                : tests::RawAnswer {sealedHead + framing + "\r\n" + std::string(responseBytes, 'x'),
                                    tests::RawEnd::Hold};
        });
        CPPUNIT_ASSERT(fleet.ready());
        std::vector<std::future<tests::CallerResponse>> responses;
        for (std::size_t caller = 0; caller < callers; ++caller) {
            responses.push_back(fleet.send("/order/large"));
        }
        std::size_t most = 0;
        int smallStatus = 0;
        const Instant until = monotonicNow() + patience;
        while (monotonicNow() < until && (most == 0 || smallStatus != 200)) {
            most = std::max(
                most, readMetric(fleet.metricsPort(), "azurespindle_response_bytes").value_or(0));
            smallStatus = fleet.send("/look/small").get().status;
        }
        for (std::future<tests::CallerResponse> &response : responses) {
            while (response.wait_for(milliseconds(20)) != std::future_status::ready) {
                const auto bytes = readMetric(fleet.metricsPort(), "azurespindle_response_bytes");
                most = std::max(most, bytes.value_or(0));
                CPPUNIT_ASSERT(monotonicNow() < until);
            }
        }
        CPPUNIT_ASSERT_EQUAL(200, smallStatus);
        CPPUNIT_ASSERT_MESSAGE("some were being received", most > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most),
                               most <= RequestForwarder::maxTotalBufferedBytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "all is freed", std::size_t(0),
            readMetric(fleet.metricsPort(), "azurespindle_response_bytes").value_or(1));
    }
};

REGISTER_SUITE(HeldResponsesTest, "held_responses");

} // namespace azurespindle::serving
