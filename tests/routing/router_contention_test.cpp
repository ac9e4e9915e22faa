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

constexpr std::size_t processCount = 12;
constexpr std::size_t engineCount = 8;
constexpr Tokens engineMemory = 34'000;
constexpr double promptTokensPerMs = 14.0;
constexpr milliseconds step = Router::tickInterval;
constexpr int stepsPerReport = 5;
constexpr int stepsPerCompleteReport = 50;
constexpr milliseconds eventInterval {500};
constexpr milliseconds urgentObjective {1'500};

/// One kind of requests.
struct Kind
{
    const char *key;
    Tokens prompt = 0;
    Tokens output = 0;
    milliseconds stay {0}; ///< From the first event to the end.
    double perSecond = 0.0;
};

const Kind urgentKind {"k2", 2'200, 12, milliseconds(450), 8.0};
const Kind longKind {"k1", 3'000, 750, milliseconds(6'800), 8.5};

struct Outcomes
{
    std::size_t sent = 0;
    std::size_t rejected = 0;
    std::size_t late = 0; ///< First events after urgentObjective.
};

/// Several processes that send streams of two kinds to the same engines, in bursts of twice the
/// load that the engines bear.
class ContendedFleet
{
public:
    ContendedFleet()
    {
        for (std::size_t index = 0; index < processCount; ++index) {
            auto process
                = std::make_unique<RouterHarness>("north", "entry-" + std::to_string(index));
            process->configure();
            for (std::size_t engine = 0; engine < engineCount; ++engine) {
                process->addEngine("e" + std::to_string(engine));
            }
            process->handle(ProcessesChanged {processCount});
            this->processes.push_back(std::move(process));
        }
    }

    void run(seconds duration)
    {
        const int steps = static_cast<int>(milliseconds(duration) / step);
        for (int number = 0; number < steps; ++number) {
            const double time = number * 0.02;
            const bool isBurst = (time >= 6.0 && time < 11.0) || (time >= 19.0 && time < 24.0);
            this->send(urgentKind, isBurst ? 2.0 : 0.9);
            this->send(longKind, isBurst ? 2.0 : 0.9);
            for (const auto &process : this->processes) {
                process->advanceTime(step);
            }
            this->now += step;
            this->takeEffects();
            this->runEngines();
            if (number % stepsPerReport == 0) {
                this->exchangeReports(number % stepsPerCompleteReport == 0);
            }
        }
    }

    const Outcomes &outcomes(const Kind &kind) { return this->outcomesByKey[kind.key]; }

private:
    struct Stream
    {
        std::size_t process = 0;
        RequestId id = 0;
        const Kind *kind = nullptr;
        milliseconds sentAt {0};
        bool started = false;
        milliseconds firstEventAt {0};
        milliseconds nextEventAt {0};
        bool ended = false;
    };
    struct Engine
    {
        std::deque<Stream> waiting;
        std::vector<Stream> running;
        milliseconds prefillFreeAt {0};
    };

    void send(const Kind &kind, double load)
    {
        std::poisson_distribution<int> arrivals(kind.perSecond * load * 0.02);
        for (int count = arrivals(this->random); count > 0; --count) {
            const std::size_t process = this->random() % processCount;
            const std::string path = "/long/1";
            RouterHarness &harness = *this->processes[process];
            const RequestId id = kind.prompt == urgentKind.prompt
                ? harness.sendRequest(path, kind.key, kind.prompt)
                : harness.sendRequest(path, kind.key);
            Stream stream;
            stream.process = process;
            stream.id = id;
            stream.kind = &kind;
            stream.sentAt = this->now;
            this->streams[{process, id}] = stream;
            this->outcomesByKey[kind.key].sent += 1;
        }
    }

    void takeEffects()
    {
        for (std::size_t index = 0; index < processCount; ++index) {
            RouterHarness &process = *this->processes[index];
            for (const StartAttempt &each : process.allEffects<StartAttempt>()) {
                Engine &engine = this->engines[each.plan.upstream.id];
                engine.waiting.push_back(this->streams.at({index, each.attempt.request}));
            }
            for (const SendLocalReply &each : process.allEffects<SendLocalReply>()) {
                this->outcomesByKey[this->streams.at({index, each.request}).kind->key].rejected
                    += 1;
            }
            process.clearEffects();
        }
    }

    static bool fits(const Engine &engine, const Stream &stream)
    {
        Tokens used = stream.kind->prompt + stream.kind->output;
        for (const Stream &each : engine.running) {
            used += each.kind->prompt + each.kind->output;
        }
        return used <= engineMemory;
    }

    void runEngines()
    {
        for (auto &[id, engine] : this->engines) {
            while (!engine.waiting.empty() && fits(engine, engine.waiting.front())) {
                Stream stream = engine.waiting.front();
                engine.waiting.pop_front();
                const auto prefill
                    = milliseconds(static_cast<int>(stream.kind->prompt / promptTokensPerMs));
                engine.prefillFreeAt = std::max(engine.prefillFreeAt, this->now) + prefill;
                stream.firstEventAt = engine.prefillFreeAt;
                engine.running.push_back(stream);
            }
            for (Stream &each : engine.running) {
                this->advance(each);
            }
            std::erase_if(engine.running, [](const Stream &each) { return each.ended; });
        }
    }

    void advance(Stream &stream)
    {
        RouterHarness &process = *this->processes[stream.process];
        if (this->now < stream.firstEventAt) {
            return;
        }
        if (!std::exchange(stream.started, true)) {
            process.receiveStreamHead(stream.id);
            const bool late = this->now - stream.sentAt > urgentObjective;
            this->outcomesByKey[stream.kind->key].late += late ? 1 : 0;
        }
        if (this->now >= stream.firstEventAt + stream.kind->stay) {
            process.endAttempt(stream.id, AttemptEnd::Complete);
            stream.ended = true;
        } else if (this->now >= stream.nextEventAt) {
            process.receiveEvents(stream.id, 1);
            stream.nextEventAt = this->now + eventInterval;
        }
    }

    void exchangeReports(bool complete)
    {
        for (std::size_t from = 0; from < processCount; ++from) {
            RouterHarness &sender = *this->processes[from];
            PeerReportArrived report {"entry-" + std::to_string(from), false, {}, {}, {}};
            report.claims = sender.router.takeChangedClaims();
            report.demand = sender.router.ownDemand(complete, sender.now());
            for (std::size_t to = 0; to < processCount; ++to) {
                if (to != from) {
                    this->processes[to]->handle(report);
                }
            }
        }
    }

    std::mt19937 random {7};
    milliseconds now {0};
    std::vector<std::unique_ptr<RouterHarness>> processes;
    std::map<std::string, Engine> engines;
    std::map<std::pair<std::size_t, RequestId>, Stream> streams;
    std::map<std::string, Outcomes> outcomesByKey;
};

std::string describe(const char *name, const Outcomes &outcomes)
{
    return std::string(name) + ": " + std::to_string(outcomes.sent) + " sent, "
        + std::to_string(outcomes.rejected) + " rejected, " + std::to_string(outcomes.late)
        + " late; ";
}

} // namespace

class RouterContentionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterContentionTest);
    CPPUNIT_TEST(urgentStreamsFindRoomInABurstOfLongOnes);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Of the urgent streams, 15 % were rejected and 15 % were late while less urgent ones, which
    /// stay for seven seconds, filled the engines.
    void urgentStreamsFindRoomInABurstOfLongOnes()
    {
        ContendedFleet fleet;
        fleet.run(seconds(30));
        const Outcomes &urgent = fleet.outcomes(urgentKind);
        const Outcomes &longer = fleet.outcomes(longKind);
        const std::string seen = describe("urgent", urgent) + describe("long", longer);
        if (std::getenv("SHOW_OUTCOMES") != nullptr) {
            std::cout << seen << std::endl;
        }
        CPPUNIT_ASSERT_MESSAGE(seen, urgent.sent > 200 && longer.rejected > 0);
        CPPUNIT_ASSERT_MESSAGE(seen, (urgent.rejected + urgent.late) * 20 <= urgent.sent);
        CPPUNIT_ASSERT_MESSAGE(seen, longer.rejected * 2 < longer.sent);
    }
};

REGISTER_SUITE(RouterContentionTest, "router_contention");

} // namespace azurespindle::routing
