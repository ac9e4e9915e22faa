#include "decision/upstream_speeds.h"

#include "support/suite.h"

#include <cmath>
#include <functional>
#include <random>
#include <vector>

namespace azurespindle::decision {
namespace {

const Instant start(seconds(100));

/// Reports of one kind, as a fleet with one relay sends them.
constexpr std::size_t reportedByProcess = 4;
constexpr std::size_t reportedByRelay = 48;

/// Simulates processes that use engines of different speeds, without a network.
class SimulatedFleet
{
public:
    /// \param speeds relative speeds of the engines.
    SimulatedFleet(std::size_t processes, std::vector<double> speeds)
        : processes(processes), engineSpeeds(std::move(speeds)),
          incarnations(this->engineSpeeds.size(), 1)
    {
        this->publish();
    }

    static std::string name(std::size_t engine) { return "e" + std::to_string(engine); }

    void replace(std::size_t engine, double speed)
    {
        this->engineSpeeds[engine] = speed;
        this->incarnations[engine] += 1;
        this->publish();
    }

    /// Lets each process take \a samplesEachSecond samples of engines chosen at random. In
    /// \a slowShare of the intervals of 600 ms an engine takes 2.5 times as long.
    void run(milliseconds time, double samplesEachSecond, double slowShare = 0.15)
    {
        constexpr milliseconds step {100};
        const Instant end = this->now + time;
        for (; this->now < end; this->now += step) {
            for (UpstreamSpeeds &process : this->processes) {
                if (this->random() < samplesEachSecond * inSeconds(step)) {
                    this->sample(process, slowShare);
                }
                process.update(this->now);
            }
            this->relay.update(this->now);
            this->exchange();
        }
    }

    double speed(std::size_t process, std::size_t engine) const
    {
        return this->processes[process].speed(name(engine), this->incarnations[engine]);
    }

    /// Returns how many pairs of a process and an engine satisfy a condition, as a share.
    double share(const std::function<bool(double speed, double actual)> &condition) const
    {
        double count = 0.0;
        for (std::size_t process = 0; process < this->processes.size(); ++process) {
            for (std::size_t engine = 0; engine < this->engineSpeeds.size(); ++engine) {
                const bool satisfied
                    = condition(this->speed(process, engine), this->engineSpeeds[engine]);
                count += satisfied ? 1.0 : 0.0;
            }
        }
        return count / static_cast<double>(this->processes.size() * this->engineSpeeds.size());
    }

    std::vector<UpstreamSpeeds> processes;
    UpstreamSpeeds relay;
    Instant now = start;
    std::size_t reportedSums = 0; ///< Sums that processes reported to the relay.

private:
    double random() { return std::uniform_real_distribution<double>(0.0, 1.0)(this->generator); }

    bool isSlow(std::size_t engine, double slowShare) const
    {
        const auto interval = this->now.time_since_epoch() / milliseconds(600);
        std::mt19937 period(static_cast<unsigned>(interval) * 7'919U
                            + static_cast<unsigned>(engine));
        return std::uniform_real_distribution<double>(0.0, 1.0)(period) < slowShare;
    }

    void sample(UpstreamSpeeds &process, double slowShare)
    {
        const auto engine = static_cast<std::size_t>(
            this->random() * static_cast<double>(this->engineSpeeds.size()));
        const WorkLoad load {std::floor(1.0 + this->random() * 20.0),
                             this->random() < 0.3 ? 1.0 : 0.0};
        const double noise = 0.9 + 0.2 * this->random();
        const double stepMs = 7.0 + 0.12 * load.attempts + 8.0 * load.prefill;
        const double slow = this->isSlow(engine, slowShare) ? 2.5 : 1.0;
        const double eventMs = 4.0 * stepMs * slow * noise / this->engineSpeeds[engine];
        process.recordSample({"chat", name(engine), this->incarnations[engine], load,
                              microseconds(static_cast<std::int64_t>(eventMs * 1'000.0))},
                             this->now);
    }

    void exchange()
    {
        const bool second = (this->now - start) % seconds(1) == microseconds(0);
        for (std::size_t index = 0; second && index < this->processes.size(); ++index) {
            const auto sums = this->processes[index].takeChanged(SpeedScope::Process,
                                                                 reportedByProcess, this->now);
            this->reportedSums += sums.size();
            this->relay.updatePeer("p" + std::to_string(index), sums, this->now);
        }
        if ((this->now - start) % milliseconds(500) == microseconds(0)) {
            const auto sums
                = this->relay.takeChanged(SpeedScope::Fleet, reportedByRelay, this->now);
            for (UpstreamSpeeds &process : this->processes) {
                process.updateFleet(sums, this->now);
            }
        }
    }

    void publish()
    {
        std::vector<SpeedUpstream> upstreams;
        for (std::size_t engine = 0; engine < this->engineSpeeds.size(); ++engine) {
            upstreams.push_back({name(engine), this->incarnations[engine], "chat"});
        }
        this->relay.setUpstreams(upstreams);
        for (UpstreamSpeeds &process : this->processes) {
            process.setUpstreams(upstreams);
        }
    }

    std::vector<double> engineSpeeds;
    std::vector<std::uint64_t> incarnations;
    std::mt19937 generator {42};
};

/// Returns the speeds 0.6, 1.0 and 1.6 in turn.
std::vector<double> uneven(std::size_t count)
{
    std::vector<double> speeds;
    for (std::size_t engine = 0; engine < count; ++engine) {
        speeds.push_back(std::vector<double> {0.6, 1.0, 1.6}[engine % 3]);
    }
    return speeds;
}

bool isClose(double speed, double actual)
{
    return std::abs(std::log(speed / actual)) < 0.25;
}

/// Records samples of three upstreams that took equally long.
void recordAlike(UpstreamSpeeds &speeds, int rounds, Instant &now)
{
    for (int round = 0; round < rounds; ++round) {
        for (const char *upstream : {"a", "b", "c"}) {
            speeds.recordSample({"plain", upstream, 1, {}, milliseconds(30)}, now);
        }
        now += milliseconds(600);
        speeds.update(now);
    }
}

} // namespace

class UpstreamSpeedsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamSpeedsTest);
    CPPUNIT_TEST(unevenSpeedsAreLearnedDespiteSlowPeriods);
    CPPUNIT_TEST(processesWithFewSamplesShareWhatTheyObserve);
    CPPUNIT_TEST(equalUpstreamsAreNeutralDespiteSlowPeriods);
    CPPUNIT_TEST(aModerateDifferenceAmongEqualUpstreamsChangesNothing);
    CPPUNIT_TEST(oneWildSampleChangesNothing);
    CPPUNIT_TEST(oneSlowPeriodSeenByAllProcessesChangesLittle);
    CPPUNIT_TEST(observationsOfOneSlowPeriodAloneAreNotTrusted);
    CPPUNIT_TEST(aReplacedUpstreamIsLearnedAnew);
    CPPUNIT_TEST(ownObservationsDoNotCountTwice);
    CPPUNIT_TEST(sumsOutOfRangeAreRejected);
    CPPUNIT_TEST(sumsOfASilentSourceAreDropped);
    CPPUNIT_TEST(unchangedSumsAreNotRepeatedAtOnce);
    CPPUNIT_TEST(kindsOfDifferentSizeAreComparedEachWithItself);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Engines at 0.6, 1.0 and 1.6 of the usual speed, each 2.5 times slower for 15 % of the time.
    void unevenSpeedsAreLearnedDespiteSlowPeriods()
    {
        SimulatedFleet fleet(12, uneven(9));
        fleet.run(seconds(12), 4.0);
        const double close = fleet.share(isClose);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(close), close > 0.95);
    }

    /// Each of 73 processes sees two stretches of a stream a second at 44 engines.
    void processesWithFewSamplesShareWhatTheyObserve()
    {
        SimulatedFleet fleet(73, uneven(44));
        fleet.run(seconds(10), 2.0);
        const double known = fleet.share([](double speed, double actual) {
            return actual < 0.9 ? speed < 0.85 : actual < 1.1 || speed > 1.15;
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(known), known > 0.95);
        fleet.run(seconds(10), 2.0);
        const double close = fleet.share(isClose);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(close), close > 0.95);
    }

    /// A fleet of equal engines chose differently because of slow periods.
    void equalUpstreamsAreNeutralDespiteSlowPeriods()
    {
        SimulatedFleet fleet(73, std::vector<double>(44, 1.0));
        double total = 0.0;
        for (int second = 0; second < 30; ++second) {
            fleet.run(seconds(1), 2.0);
            const double neutral = fleet.share([](double speed, double) { return speed == 1.0; });
            CPPUNIT_ASSERT_MESSAGE(std::to_string(neutral), neutral > 0.9);
            total += neutral;
            const double moderate
                = fleet.share([](double speed, double) { return speed > 0.65 && speed < 1.5; });
            CPPUNIT_ASSERT_MESSAGE(std::to_string(moderate), moderate == 1.0);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(total / 30.0), total / 30.0 > 0.98);
    }

    /// In a fleet of equal engines, chance made some seem a little slower, and choices changed.
    void aModerateDifferenceAmongEqualUpstreamsChangesNothing()
    {
        std::vector<double> engineSpeeds(20, 1.0);
        engineSpeeds.back() = 0.78;
        SimulatedFleet fleet(12, engineSpeeds);
        fleet.run(seconds(30), 4.0);
        std::size_t neutral = 0;
        for (std::size_t process = 0; process < fleet.processes.size(); ++process) {
            neutral += fleet.speed(process, engineSpeeds.size() - 1) == 1.0 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(fleet.processes.size(), neutral);
    }

    void oneWildSampleChangesNothing()
    {
        UpstreamSpeeds speeds;
        speeds.setUpstreams({{"a", 1, "plain"}, {"b", 1, "plain"}, {"c", 1, "plain"}});
        Instant now = start;
        recordAlike(speeds, 8, now);
        speeds.recordSample({"plain", "a", 1, {}, seconds(30)}, now);
        speeds.recordSample({"plain", "b", 1, {}, microseconds(0)}, now);
        now += milliseconds(600);
        speeds.update(now);
        for (const char *upstream : {"a", "b", "c"}) {
            CPPUNIT_ASSERT_EQUAL(1.0, speeds.speed(upstream, 1));
        }
    }

    /// All processes see the same 600 ms of slowness, so that many samples agree.
    void oneSlowPeriodSeenByAllProcessesChangesLittle()
    {
        SimulatedFleet fleet(20, std::vector<double>(6, 1.0));
        fleet.run(seconds(6), 5.0, 0.0);
        fleet.run(milliseconds(600), 10.0, 1.0);
        fleet.run(seconds(1), 0.0, 0.0);
        const double neutral = fleet.share([](double speed, double) { return speed == 1.0; });
        CPPUNIT_ASSERT_EQUAL(1.0, neutral);
    }

    /// Twenty processes sent to an idle upstream in its slow period, and to others all the time.
    void observationsOfOneSlowPeriodAloneAreNotTrusted()
    {
        UpstreamSpeeds speeds;
        speeds.setUpstreams({{"a", 1, "plain"}, {"b", 1, "plain"}, {"c", 1, "plain"}});
        for (std::uint32_t second = 1; second <= 10; ++second) {
            const Instant now = start + seconds(second);
            for (int peer = 0; peer < 20; ++peer) {
                std::vector<SpeedSum> sums {{speedKey("b", 1), 10 * second, 1'000},
                                            {speedKey("c", 1), 10 * second, 1'000}};
                if (second == 5) {
                    sums.push_back({speedKey("a", 1), 10, 1'092});
                }
                speeds.updatePeer("p" + std::to_string(peer), sums, now);
            }
            speeds.update(now);
            CPPUNIT_ASSERT_EQUAL(1.0, speeds.speed("a", 1));
        }
    }

    /// The successor of a slow engine was avoided although it was as fast as others.
    void aReplacedUpstreamIsLearnedAnew()
    {
        SimulatedFleet fleet(12, uneven(9));
        fleet.run(seconds(12), 4.0);
        CPPUNIT_ASSERT(fleet.speed(0, 0) < 0.8);
        fleet.replace(0, 1.6);
        CPPUNIT_ASSERT_EQUAL(1.0, fleet.speed(0, 0));
        fleet.run(seconds(12), 4.0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.speed(0, 0)), fleet.speed(0, 0) > 1.25);
    }

    /// The fleet's sums contain what this process observed.
    void ownObservationsDoNotCountTwice()
    {
        UpstreamSpeeds speeds;
        speeds.setUpstreams({{"a", 1, "plain"}, {"b", 1, "plain"}, {"c", 1, "plain"}});
        Instant now = start;
        recordAlike(speeds, 20, now);
        const std::vector<SpeedSum> own = speeds.sums(SpeedScope::Process);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), own.size());
        speeds.updateFleet(own, now);
        now += milliseconds(600);
        speeds.update(now);
        CPPUNIT_ASSERT(speeds.sums(SpeedScope::Fleet).front().weight <= own.front().weight);
        std::vector<SpeedSum> slower = own;
        for (SpeedSum &each : slower) {
            each.logDuration += each.key == speedKey("a", 1) ? 90 : 0;
        }
        speeds.updateFleet(slower, now);
        now += milliseconds(600);
        speeds.update(now);
        CPPUNIT_ASSERT_MESSAGE("the fleet's sum counts alone", speeds.speed("a", 1) < 0.65);
    }

    /// A peer told durations of e^50 microseconds and the observations of four billion tenths.
    void sumsOutOfRangeAreRejected()
    {
        UpstreamSpeeds speeds;
        speeds.setUpstreams({{"a", 1, "plain"}, {"b", 1, "plain"}, {"c", 1, "plain"}});
        const SpeedKey a = speedKey("a", 1);
        const std::vector<SpeedSum> wild {
            {a, 50, 5'000}, {a, 50, 4'294'967'295U}, {a, 4'000'000'000U, 10}};
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), speeds.updatePeer("p", wild, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), speeds.updateZone("z", wild, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), speeds.updateFleet(wild, start));
        speeds.update(start);
        CPPUNIT_ASSERT(speeds.sums(SpeedScope::Fleet).empty());
        const std::vector<SpeedSum> furthest {
            {a, 500, 2'100}, {speedKey("b", 1), 500, 1'000}, {speedKey("c", 1), 500, 0}};
        for (int second = 0; second < 10; ++second) {
            const Instant now = start + seconds(second);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), speeds.updateFleet(furthest, now));
            speeds.update(now);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(UpstreamSpeeds::minSpeed, speeds.speed("a", 1), 1e-9);
        CPPUNIT_ASSERT_EQUAL(1.0, speeds.speed("b", 1));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(UpstreamSpeeds::maxSpeed, speeds.speed("c", 1), 1e-9);
    }

    void sumsOfASilentSourceAreDropped()
    {
        UpstreamSpeeds speeds;
        speeds.setUpstreams({{"a", 1, "plain"}, {"b", 1, "plain"}});
        for (std::uint32_t second = 0; second <= 5; ++second) {
            const std::uint32_t weight = 20 * (second + 1);
            speeds.updatePeer(
                "p", {{speedKey("a", 1), weight, 1'100}, {speedKey("b", 1), weight, 1'000}},
                start + seconds(second));
            speeds.update(start + seconds(second));
        }
        speeds.update(start + seconds(8));
        CPPUNIT_ASSERT(speeds.speed("a", 1) < 0.8);
        speeds.update(start + milliseconds(8'500));
        CPPUNIT_ASSERT_EQUAL(1.0, speeds.speed("a", 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), speeds.differing());
    }

    /// Reports took bytes at each interval although nothing had changed.
    void unchangedSumsAreNotRepeatedAtOnce()
    {
        UpstreamSpeeds speeds;
        speeds.setUpstreams({{"a", 1, "plain"}, {"b", 1, "plain"}, {"c", 1, "plain"}});
        Instant now = start;
        recordAlike(speeds, 20, now);
        const auto take = [&](std::size_t count) {
            return speeds.takeChanged(SpeedScope::Process, count, now).size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), take(2));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the rest", std::size_t(1), take(2));
        recordAlike(speeds, 5, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), take(8));
        recordAlike(speeds, 50, now);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("repeated after 30 s", std::size_t(3), take(8));
        now += seconds(200);
        speeds.update(now);
        const auto ended = speeds.takeChanged(SpeedScope::Process, 8, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), ended.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), ended.front().weight);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), take(8));
    }

    /// An upstream seemed slow because it had got more of the longer calls.
    void kindsOfDifferentSizeAreComparedEachWithItself()
    {
        UpstreamSpeeds speeds;
        speeds.setUpstreams({{"a", 1, "plain"}, {"b", 1, "plain"}, {"c", 1, "plain"}});
        Instant now = start;
        for (int round = 0; round < 40; ++round) {
            const bool isLong = round % 4 == 0;
            speeds.recordSample(
                {"plain", "a", 1, {}, milliseconds(isLong ? 30 : 300), isLong ? "short" : "long"},
                now);
            speeds.recordSample(
                {"plain", "b", 1, {}, milliseconds(isLong ? 300 : 30), isLong ? "long" : "short"},
                now);
            speeds.recordSample({"plain", "c", 1, {}, milliseconds(30), "short"}, now);
            now += milliseconds(600);
            speeds.update(now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), speeds.differing());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), speeds.sums(SpeedScope::Process).size());
    }

    void memoryIsBounded()
    {
        UpstreamSpeeds speeds;
        std::vector<SpeedSum> sums;
        for (SpeedKey key = 1; key <= UpstreamSpeeds::maxUpstreams + 500; ++key) {
            sums.push_back({key, 50, 1'000});
        }
        speeds.updateZone("z", sums, start);
        speeds.update(start);
        CPPUNIT_ASSERT_EQUAL(UpstreamSpeeds::maxUpstreams, speeds.sums(SpeedScope::Fleet).size());
        UpstreamSpeeds other;
        other.updatePeer("p", sums, start);
        other.update(start);
        CPPUNIT_ASSERT_EQUAL(UpstreamSpeeds::maxUpstreamsOfPeer,
                             other.sums(SpeedScope::Zone).size());
    }
};

REGISTER_SUITE(UpstreamSpeedsTest, "upstream_speeds");

} // namespace azurespindle::decision
