#include "serving/order_service.h"

#include "support/fleet.h"
#include "support/suite.h"

#include <atomic>
#include <thread>

namespace azurespindle::serving {

using tests::Fleet;
using tests::streamFault;

/// Tests the rollout of a new version to three engines by two entry processes under load.
class OrderServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderServiceTest);
    CPPUNIT_TEST(aVersionIsRolledOutWithoutAbortingAStream);
    CPPUNIT_TEST_SUITE_END();

public:
    void aVersionIsRolledOutWithoutAbortingAStream()
    {
        standins::EngineOptions options = Fleet::quickEngine();
        options.baseStep = milliseconds(5);
        Fleet fleet(18'400, 2, engines, options);
        std::atomic<bool> stop {false};
        std::vector<std::string> faults(callers);
        std::vector<std::thread> threads;
        for (std::size_t caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&, caller] {
                while (!stop && faults[caller].empty()) {
                    faults[caller] = streamFault(fleet.generate(caller % 2, 100).body, 100);
                }
            });
        }
        fleet.configure(R"("exceptions":[)" + versionException("north") + ","
                        + versionException("south") + "," + versionException("east") + "]");
        const Instant deadline = monotonicNow() + seconds(90);
        while (!(rolledOut(fleet) && allAccepted(fleet)) && monotonicNow() < deadline) {
            std::this_thread::sleep_for(milliseconds(100));
        }
        stop = true;
        for (std::thread &thread : threads) {
            thread.join();
        }
        for (std::size_t engine = 0; engine < engines; ++engine) {
            const std::string counts = fleet.engineCounts(engine);
            CPPUNIT_ASSERT_MESSAGE(counts, counts.find("\"version\":\"v2\"") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(counts, counts.find("\"ordersTaken\":1") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(counts, counts.find("\"cutByLoads\":0") != std::string::npos);
        }
        for (const std::string &fault : faults) {
            CPPUNIT_ASSERT_EQUAL(std::string(), fault);
        }
        for (std::size_t engine = 0; engine < engines; ++engine) {
            const std::string explained = explain(fleet, engine);
            CPPUNIT_ASSERT_MESSAGE(explained,
                                   explained.find("order-accepted") != std::string::npos);
        }
        const std::string status = fleet.get(0, "/status").body + fleet.get(1, "/status").body;
        CPPUNIT_ASSERT_MESSAGE(status, status.find("\"wanted\": \":v2\"") != std::string::npos);
    }

private:
    static constexpr std::size_t engines = 3;
    static constexpr std::size_t callers = 24;

    static std::string versionException(const std::string &zone)
    {
        return R"({"zone":")" + zone + R"(","reason":"test","set":{"version":"v2"}})";
    }

    static std::string explain(Fleet &fleet, std::size_t engine)
    {
        const std::string path = "/explain?id=e" + std::to_string(engine);
        return fleet.get(0, path).body + fleet.get(1, path).body;
    }

    /// The members see an engine's version some time after the engine has it.
    static bool allAccepted(Fleet &fleet)
    {
        bool all = true;
        for (std::size_t engine = 0; engine < engines; ++engine) {
            all = all && explain(fleet, engine).find("order-accepted") != std::string::npos;
        }
        return all;
    }

    static bool rolledOut(const Fleet &fleet)
    {
        bool all = true;
        for (std::size_t engine = 0; engine < engines; ++engine) {
            const std::string counts = fleet.engineCounts(engine);
            all = all && counts.find("\"version\":\"v2\"") != std::string::npos;
        }
        return all;
    }
};

REGISTER_SUITE(OrderServiceTest, "order_service");

} // namespace azurespindle::serving
