#include "http/server.h"

#include "support/raw_connection.h"
#include "support/suite.h"

#include <memory>
#include <thread>

namespace azurespindle::http {
namespace {

constexpr milliseconds patience {20'000};
constexpr std::size_t bodyBytes = 8'388'608; ///< More than the system takes from a process.
const settings::Address anyPort {"127.0.0.1", 0};

bool eventually(const std::function<bool()> &condition)
{
    const Instant until = monotonicNow() + patience;
    while (monotonicNow() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

} // namespace

/// Tests the count of response bytes that callers have not read yet.
class UnsentBytesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnsentBytesTest);
    CPPUNIT_TEST(bytesCountUntilTheyAreRead);
    CPPUNIT_TEST(bytesOfACallerThatLeftAreFreed);
    CPPUNIT_TEST(aCallerThatReadsNothingIsDisconnectedEarlyWhileMemoryIsShort);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->server = std::make_unique<Server>(
            anyPort, settings::CallerLimits {}, 1,
            [](const ServerRequest &, const ExchangePtr &exchange) {
                exchange->respond(200, Headers {}, std::string(bodyBytes, 'x'));
            });
        CPPUNIT_ASSERT(!this->server->start());
        this->caller = std::make_unique<tests::RawConnection>(this->server->port());
        this->caller->send("GET / HTTP/1.1\r\n\r\n");
        CPPUNIT_ASSERT(eventually([this] { return this->server->unsentBytes() > 0; }));
    }

    void tearDown() override
    {
        this->caller.reset();
        this->server.reset();
    }

    void bytesCountUntilTheyAreRead()
    {
        CPPUNIT_ASSERT_MESSAGE("the buffer counts, not what is left in it",
                               this->server->unsentBytes() >= bodyBytes);
        std::size_t received = 0;
        while (received < bodyBytes) {
            const auto bytes = this->caller->readSome(patience);
            CPPUNIT_ASSERT(bytes && !bytes->empty());
            received += bytes->size();
        }
        CPPUNIT_ASSERT(eventually([this] { return this->server->unsentBytes() == 0; }));
    }

    void bytesOfACallerThatLeftAreFreed()
    {
        // The buffer, the exchange and the connection kept one another.
        this->caller.reset();
        CPPUNIT_ASSERT(eventually([this] { return this->server->unsentBytes() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->server->openExchanges());
    }

    void aCallerThatReadsNothingIsDisconnectedEarlyWhileMemoryIsShort()
    {
        std::this_thread::sleep_for(milliseconds(2'500));
        this->server->enforceTimeouts(false);
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->server->openConnections());
        this->server->enforceTimeouts(true);
        CPPUNIT_ASSERT(eventually([this] { return this->server->openConnections() == 0; }));
        CPPUNIT_ASSERT(eventually([this] { return this->server->unsentBytes() == 0; }));
    }

private:
    std::unique_ptr<Server> server;
    std::unique_ptr<tests::RawConnection> caller;
};

REGISTER_SUITE(UnsentBytesTest, "unsent_bytes");

} // namespace azurespindle::http
