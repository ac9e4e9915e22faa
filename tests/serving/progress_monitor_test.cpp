#include "serving/progress_monitor.h"

#include "support/suite.h"

#include <deque>

namespace azurespindle::serving {
namespace {

/// A stage whose thread runs when the test says so.
struct FakeStage
{
    std::deque<std::function<void()>> probes;
    std::size_t probesSent = 0;
    std::uint64_t completed = 0;

    void run()
    {
        while (!this->probes.empty()) {
            this->probes.front()();
            this->probes.pop_front();
        }
    }
};

} // namespace

class ProgressMonitorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProgressMonitorTest);
    CPPUNIT_TEST(aPathThatAnswersIsNeverStalled);
    CPPUNIT_TEST(oneStuckStageIsNoticedAfterTwoSeconds);
    CPPUNIT_TEST(aStalledPathRecoversByItself);
    CPPUNIT_TEST(aSlowStageWithMuchWorkIsNotStalled);
    CPPUNIT_TEST(aSuspendedProcessIsNotStalled);
    CPPUNIT_TEST(aProcessThatHardlyRunsIsNotStalled);
    CPPUNIT_TEST(aStuckStageGetsNoPileOfProbes);
    CPPUNIT_TEST(aProbeMayOutliveTheMonitor);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->callers = {};
        this->upstreams = {};
        this->now = Instant(seconds(100));
        this->events.clear();
        this->monitor = std::make_unique<ProgressMonitor>(
            std::vector<MonitoredStage> {this->stage("callers", this->callers),
                                         this->stage("upstreams", this->upstreams)},
            ProgressMonitorHooks {
                [this](const std::string &name, milliseconds) { this->events.push_back(name); },
                [this] { this->events.emplace_back("recovered"); }});
    }

    void aPathThatAnswersIsNeverStalled()
    {
        this->pass(seconds(60), [this] {
            this->callers.run();
            this->upstreams.run();
        });
        CPPUNIT_ASSERT(this->events.empty());
        CPPUNIT_ASSERT(!this->monitor->stalled());
    }

    void oneStuckStageIsNoticedAfterTwoSeconds()
    {
        this->pass(seconds(10), [this] {
            this->callers.run();
            this->upstreams.run();
        });
        this->pass(milliseconds(1'750), [this] { this->callers.run(); });
        CPPUNIT_ASSERT(!this->monitor->stalled());
        this->pass(milliseconds(750), [this] { this->callers.run(); });
        CPPUNIT_ASSERT(this->monitor->stalled());
        this->pass(seconds(10), [this] { this->callers.run(); });
        CPPUNIT_ASSERT(std::vector<std::string> {"upstreams"} == this->events);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->monitor->stallCount());
    }

    void aStalledPathRecoversByItself()
    {
        this->pass(seconds(5), [] {});
        CPPUNIT_ASSERT(this->monitor->stalled());
        this->pass(milliseconds(500), [this] {
            this->callers.run();
            this->upstreams.run();
        });
        CPPUNIT_ASSERT(!this->monitor->stalled());
        CPPUNIT_ASSERT_EQUAL(std::string("recovered"), this->events.back());
    }

    void aSlowStageWithMuchWorkIsNotStalled()
    {
        // Its probe waits behind other work for ten seconds.
        this->pass(seconds(10), [this] {
            this->callers.run();
            this->upstreams.completed += 1;
        });
        CPPUNIT_ASSERT(this->events.empty());
    }

    void aSuspendedProcessIsNotStalled()
    {
        for (int pause = 0; pause < 5; ++pause) {
            this->now += seconds(30);
            this->monitor->tick(this->now);
            this->callers.run();
            this->upstreams.run();
            this->pass(milliseconds(250), [] {});
        }
        CPPUNIT_ASSERT(this->events.empty());
    }

    void aProcessThatHardlyRunsIsNotStalled()
    {
        // The stages' threads run after every third tick, of which each is late.
        for (int tick = 0; tick < 300; ++tick) {
            this->now += milliseconds(1'100);
            this->monitor->tick(this->now);
            if (tick % 3 == 0) {
                this->callers.run();
                this->upstreams.run();
            }
        }
        CPPUNIT_ASSERT(this->events.empty());
    }

    void aStuckStageGetsNoPileOfProbes()
    {
        this->pass(seconds(60), [this] { this->callers.run(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->upstreams.probesSent);
    }

    void aProbeMayOutliveTheMonitor()
    {
        this->pass(seconds(1), [] {});
        this->monitor.reset();
        this->callers.run();
        this->upstreams.run();
    }

private:
    static MonitoredStage stage(const std::string &name, FakeStage &fake)
    {
        return {name,
                [&fake](std::function<void()> done) {
                    fake.probes.push_back(std::move(done));
                    fake.probesSent += 1;
                },
                [&fake] { return fake.completed; }};
    }

    /// Ticks for a while; after each tick the threads do \a work.
    void pass(milliseconds time, const std::function<void()> &work)
    {
        const Instant until = this->now + time;
        while (this->now < until) {
            this->now += ProgressMonitor::tickInterval;
            this->monitor->tick(this->now);
            work();
        }
    }

    FakeStage callers;
    FakeStage upstreams;
    Instant now;
    std::vector<std::string> events;
    std::unique_ptr<ProgressMonitor> monitor;
};

REGISTER_SUITE(ProgressMonitorTest, "progress_monitor");

} // namespace azurespindle::serving
