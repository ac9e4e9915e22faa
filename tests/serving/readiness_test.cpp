#include "platform/adapter.h"
#include "platform/fake_platform.h"
#include "serving/progress_monitor.h"
#include "serving/routing_process.h"
#include "support/raw_server.h"
#include "support/serve_process.h"
#include "support/suite.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <csignal>
#include <thread>

namespace azurespindle::serving {
namespace {

constexpr std::uint16_t storePort = 22'440;
constexpr std::uint16_t processPort = 22'450;
constexpr std::uint16_t separateProcessPort = 22'460;
constexpr milliseconds patience {20'000};
constexpr milliseconds shortPause {600};

settings::Address address(int port)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

bool eventually(const std::function<bool()> &condition)
{
    const Instant until = monotonicNow() + patience;
    while (monotonicNow() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

std::string fetchText(int port, const std::string &path, int &status)
{
    http::ClientRequest request;
    request.url = "http://" + address(port).text() + path;
    request.totalTimeout = milliseconds(3'000);
    std::string body;
    status = http::fetch(request, body).status;
    return body;
}

/// A gate that holds up the threads that come to it while it is closed.
class Gate
{
public:
    void set(bool open)
    {
        const std::lock_guard lock(this->mutex);
        this->isOpen = open;
        this->changed.notify_all();
    }
    void pass()
    {
        std::unique_lock lock(this->mutex);
        this->waiting += 1;
        this->changed.notify_all();
        this->changed.wait(lock, [this] { return this->isOpen; });
        this->waiting -= 1;
    }
    bool holdsSomebody()
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, patience, [this] { return this->waiting > 0; });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool isOpen = true;
    int waiting = 0;
};

} // namespace

/// Holds up the threads of a process that serve requests, and watches what it says of itself.
class ReadinessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReadinessTest);
    CPPUNIT_TEST(aProcessWhoseRequestsStandStillIsNotReadyUntilTheyGoOn);
    CPPUNIT_TEST(aProcessWhoseCallersStandStillIsNotReadyUntilTheyGoOn);
    CPPUNIT_TEST(aShortPauseIsNoStandstill);
    CPPUNIT_TEST(aSuspendedProcessIsReadyWhenItGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->store = std::make_unique<tests::FakeStore>(storePort);
        this->store->put("op/config", tests::platformConfiguration(1));
        this->desk = std::make_unique<tests::RawServer>([](const std::string &) {
            return tests::RawAnswer {
                "HTTP/1.1 200 OK\r\nAzurespindle-Server-Seal: seal\r\n\r\nsmall",
                tests::RawEnd::Close};
        });
        const nlohmann::json record {{"service", "desk"}, {"address", this->desk->address()},
                                     {"zone", "north"},   {"slots", 100},
                                     {"state", "ready"},  {"cold_left_ms", 0},
                                     {"born", 100},       {"sequence", 1}};
        this->store->put("servers/desk0", record.dump());
        this->client = std::make_unique<http::Client>();
    }

    void tearDown() override
    {
        this->heads.set(true);
        this->requests.set(true);
        this->process.reset();
        this->client.reset();
        this->desk.reset();
        this->store.reset();
    }

    void aProcessWhoseRequestsStandStillIsNotReadyUntilTheyGoOn()
    {
        this->startProcess();
        this->heads.set(false); // A head is read with the lock held that all requests need.
        this->sendRequest();
        CPPUNIT_ASSERT(this->heads.holdsSomebody());
        this->assertNotReadyUntil([this] { this->heads.set(true); });
    }

    void aProcessWhoseCallersStandStillIsNotReadyUntilTheyGoOn()
    {
        this->startProcess();
        this->requests.set(false);
        this->sendRequest();
        CPPUNIT_ASSERT(this->requests.holdsSomebody());
        this->assertNotReadyUntil([this] { this->requests.set(true); });
    }

    void aShortPauseIsNoStandstill()
    {
        this->startProcess();
        for (int pause = 0; pause < 5; ++pause) {
            this->heads.set(false);
            this->sendRequest();
            CPPUNIT_ASSERT(this->heads.holdsSomebody());
            std::this_thread::sleep_for(shortPause);
            this->heads.set(true);
            CPPUNIT_ASSERT(eventually([this] { return this->process->ready(); }));
        }
        CPPUNIT_ASSERT(this->metrics().find("request_path_stalls_total 0\n") != std::string::npos);
    }

    void aSuspendedProcessIsReadyWhenItGoesOn()
    {
        const tests::ServeProcess separate(separateProcessPort, storePort);
        CPPUNIT_ASSERT(eventually([&] { return separate.readiness() == 200; }));
        for (int pause = 0; pause < 2; ++pause) {
            separate.signal(SIGSTOP);
            std::this_thread::sleep_for(ProgressMonitor::stallTimeout + seconds(1));
            separate.signal(SIGCONT);
            for (int check = 0; check < 20; ++check) {
                const int status = separate.readiness();
                CPPUNIT_ASSERT_MESSAGE(std::to_string(status), status != 503);
                std::this_thread::sleep_for(milliseconds(50));
            }
        }
        CPPUNIT_ASSERT(eventually([&] {
            return separate.metrics().find("request_path_stalls_total 0\n") != std::string::npos;
        }));
    }

private:
    void startProcess()
    {
        settings::RoutingSettings settings;
        settings.name = "entry-0";
        settings.zone = "north";
        settings.callerAddress = address(processPort);
        settings.readyAddress = address(processPort + 1);
        settings.memberAddress = address(processPort + 2);
        settings.metricsAddress = address(processPort + 3);
        settings.publisherAddress = address(storePort);
        settings.seeds = {address(processPort + 2)};
        this->process = std::make_unique<RoutingProcess>(
            settings, [this](const auto &given, http::Client &own, metrics::Registry &registry) {
                routing::PlatformAdapter adapter
                    = platform::makePlatformAdapter(given, own, registry);
                adapter.readHead = [this, inner = adapter.readHead](const auto &request, int status,
                                                                    const auto &fields) {
                    this->heads.pass();
                    return inner(request, status, fields);
                };
                adapter.readRequest = [this, inner = adapter.readRequest](const auto &request) {
                    this->requests.pass();
                    return inner(request);
                };
                return adapter;
            });
        CPPUNIT_ASSERT(!this->process->start());
        CPPUNIT_ASSERT(eventually([this] { return this->readiness() == 200; }));
    }

    void sendRequest()
    {
        http::ClientRequest request;
        request.method = "POST";
        request.url = "http://" + address(processPort).text() + "/look/1";
        request.headers = {{"Host", "shop.example"},
                           {"Azurespindle-Attempt-Id", "r1"},
                           {"Azurespindle-Key", "k1"}};
        request.body = "x";
        this->client->start(std::move(request), {});
    }

    void assertNotReadyUntil(const std::function<void()> &release)
    {
        CPPUNIT_ASSERT(eventually([this] { return this->readiness() == 503; }));
        const std::string stalled = this->metrics();
        CPPUNIT_ASSERT_MESSAGE(stalled,
                               stalled.find("request_path_stalled 1\n") != std::string::npos);
        CPPUNIT_ASSERT(stalled.find("azurespindle_ready 0\n") != std::string::npos);
        release();
        CPPUNIT_ASSERT(eventually([this] { return this->readiness() == 200; }));
        const std::string recovered = this->metrics();
        CPPUNIT_ASSERT(recovered.find("request_path_stalled 0\n") != std::string::npos);
        CPPUNIT_ASSERT(recovered.find("request_path_stalls_total 1\n") != std::string::npos);
    }

    int readiness() const
    {
        int status = 0;
        fetchText(processPort + 1, "/readyz", status);
        return status;
    }

    std::string metrics() const
    {
        int status = 0;
        return fetchText(processPort + 3, "/metrics", status);
    }

    Gate heads;
    Gate requests;
    std::unique_ptr<tests::FakeStore> store;
    std::unique_ptr<tests::RawServer> desk;
    std::unique_ptr<http::Client> client;
    std::unique_ptr<RoutingProcess> process;
};

REGISTER_SUITE(ReadinessTest, "readiness");

} // namespace azurespindle::serving
