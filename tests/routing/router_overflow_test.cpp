#include "routing/router_harness.h"
#include "support/suite.h"

#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <random>

namespace azurespindle::routing {
namespace {

using tests::RouterHarness;

constexpr std::size_t processCount = 24;
constexpr std::size_t slotCount = 6;
/// Calls that an upstream queues before it refuses further ones.
constexpr std::size_t upstreamQueue = 3;
constexpr milliseconds step {4};
constexpr int stepsPerReport = 25;
constexpr milliseconds meanWork {30};
constexpr milliseconds objective {150};

struct Outcomes
{
    std::size_t sent = 0;
    std::size_t refusals = 0; ///< Attempts that an upstream refused.
    std::size_t rejected = 0;
    std::size_t late = 0;
};

/// Several processes that send calls to three plain upstreams, of which one is in a zone that is
/// evacuated for a while. Claims of other processes arrive up to 100 ms late.
class CallingFleet
{
public:
    explicit CallingFleet(double callsPerSecond) : callsPerSecond(callsPerSecond)
    {
        for (std::size_t index = 0; index < processCount; ++index) {
            auto process
                = std::make_unique<RouterHarness>("north", "entry-" + std::to_string(index));
            process->configure();
            process->addPlainUpstream("p1");
            process->addPlainUpstream("p2");
            process->addPlainUpstream("p3", "south");
            process->handle(ProcessesChanged {processCount});
            this->processes.push_back(std::move(process));
        }
    }

    void evacuate()
    {
        for (const auto &process : this->processes) {
            process->evacuateZone("south");
        }
    }

    void run(seconds duration)
    {
        const int steps = static_cast<int>(milliseconds(duration) / step);
        for (int number = 0; number < steps; ++number) {
            this->send();
            for (const auto &process : this->processes) {
                process->advanceTime(step);
            }
            this->now += step;
            this->takeEffects();
            this->runUpstreams();
            // Each process reports at a time of its own.
            this->report(static_cast<std::size_t>(number) % stepsPerReport);
        }
    }

    const Outcomes &outcomes() const { return this->counted; }

private:
    struct Call
    {
        std::size_t process = 0;
        RequestId id = 0;
        milliseconds endsAt {0};
    };
    struct Upstream
    {
        std::deque<Call> waiting;
        std::vector<Call> running;
    };

    void send()
    {
        std::poisson_distribution<int> arrivals(this->callsPerSecond * inSeconds(step));
        for (int count = arrivals(this->random); count > 0; --count) {
            const std::size_t process = this->random() % processCount;
            const RequestId id = this->processes[process]->sendRequest(
                this->random() % 2 == 0 ? "/order/1" : "/look/1");
            this->sentAt[{process, id}] = this->now;
            this->counted.sent += 1;
        }
    }

    void takeEffects()
    {
        for (std::size_t index = 0; index < processCount; ++index) {
            RouterHarness &process = *this->processes[index];
            const auto started = process.allEffects<StartAttempt>();
            this->counted.rejected += process.countEffects<SendLocalReply>();
            process.clearEffects();
            for (const StartAttempt &each : started) {
                Upstream &upstream = this->upstreams[each.plan.upstream.id];
                if (upstream.running.size() + upstream.waiting.size() < slotCount + upstreamQueue) {
                    upstream.waiting.push_back({index, each.attempt.request, {}});
                } else {
                    this->counted.refusals += 1;
                    this->refused.push_back({index, each.attempt.request, {}});
                }
            }
        }
        for (const Call &each : std::exchange(this->refused, {})) {
            this->processes[each.process]->endAttempt(each.id, AttemptEnd::Complete, 503, true);
        }
    }

    void runUpstreams()
    {
        std::exponential_distribution<double> work(1.0 / static_cast<double>(meanWork.count()));
        for (auto &[id, upstream] : this->upstreams) {
            for (const Call &each : upstream.running) {
                if (this->now >= each.endsAt) {
                    this->processes[each.process]->endAttempt(each.id, AttemptEnd::Complete, 200);
                    const milliseconds took = this->now - this->sentAt.at({each.process, each.id});
                    this->counted.late += took > objective ? 1 : 0;
                }
            }
            std::erase_if(upstream.running,
                          [this](const Call &each) { return this->now >= each.endsAt; });
            while (!upstream.waiting.empty() && upstream.running.size() < slotCount) {
                Call call = upstream.waiting.front();
                upstream.waiting.pop_front();
                call.endsAt = this->now + milliseconds(1 + static_cast<int>(work(this->random)));
                upstream.running.push_back(call);
            }
        }
    }

    void report(std::size_t from)
    {
        if (from >= processCount) {
            return;
        }
        RouterHarness &sender = *this->processes[from];
        PeerReportArrived report {"entry-" + std::to_string(from), false, {}, {}, {}};
        report.claims = sender.router.takeChangedClaims();
        report.demand = sender.router.ownDemand(false, sender.now());
        for (std::size_t to = 0; to < processCount; ++to) {
            if (to != from) {
                this->processes[to]->handle(report);
            }
        }
    }

    const double callsPerSecond;
    std::mt19937 random {5};
    milliseconds now {0};
    std::vector<std::unique_ptr<RouterHarness>> processes;
    std::map<std::string, Upstream> upstreams;
    std::map<std::pair<std::size_t, RequestId>, milliseconds> sentAt;
    std::vector<Call> refused;
    Outcomes counted;
};

std::string describe(const Outcomes &outcomes)
{
    return std::to_string(outcomes.sent) + " sent, " + std::to_string(outcomes.refusals)
        + " refusals, " + std::to_string(outcomes.rejected) + " rejected, "
        + std::to_string(outcomes.late) + " late";
}

} // namespace

class RouterOverflowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterOverflowTest);
    CPPUNIT_TEST(callsAreServedWhileAnUpstreamIsEvacuated);
    CPPUNIT_TEST(nothingWaitsWithoutOverflow);
    CPPUNIT_TEST_SUITE_END();

public:
    /// 343 calls were rejected, and 977 attempts refused, when one of three upstreams was
    /// evacuated.
    void callsAreServedWhileAnUpstreamIsEvacuated()
    {
        CallingFleet fleet(300.0);
        fleet.run(seconds(4));
        fleet.evacuate();
        fleet.run(seconds(12));
        const std::string seen = describe(fleet.outcomes());
        if (std::getenv("SHOW_OUTCOMES") != nullptr) {
            std::cout << seen << std::endl;
        }
        CPPUNIT_ASSERT_MESSAGE(seen, fleet.outcomes().rejected * 50 <= fleet.outcomes().sent);
        CPPUNIT_ASSERT_MESSAGE(seen, fleet.outcomes().late * 100 <= fleet.outcomes().sent);
    }

    void nothingWaitsWithoutOverflow()
    {
        CallingFleet fleet(200.0);
        fleet.run(seconds(8));
        const std::string seen = describe(fleet.outcomes());
        if (std::getenv("SHOW_OUTCOMES") != nullptr) {
            std::cout << seen << std::endl;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, std::size_t(0), fleet.outcomes().rejected);
        CPPUNIT_ASSERT_MESSAGE(seen, fleet.outcomes().late * 100 <= fleet.outcomes().sent);
    }
};

REGISTER_SUITE(RouterOverflowTest, "router_overflow");

} // namespace azurespindle::routing
