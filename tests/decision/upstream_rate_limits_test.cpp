#include "decision/upstream_rate_limits.h"

#include "support/suite.h"

#include <algorithm>
#include <deque>

namespace azurespindle::decision {
namespace {

constexpr Instant start {seconds(1'000)};
constexpr milliseconds step {20};
constexpr const char *upstream = "u";

ProcessNames namesOf(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back("entry-" + std::to_string(index));
    }
    return std::make_shared<const std::vector<std::string>>(names);
}

/// The limits of all processes of a fleet, each of which sends whenever it may.
class Fleet
{
public:
    explicit Fleet(std::size_t count) : names(namesOf(count)), processes(count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->processes[index].setProcesses(this->names, (*this->names)[index], start);
        }
    }

    void name(std::optional<double> limit, Instant now)
    {
        for (UpstreamRateLimits &process : this->processes) {
            process.note({upstream, 1, limit, milliseconds(0)}, LimitSource::Response, now);
        }
    }

    /// Lets each process send all it may from \a from to \a to.
    void run(Instant from, Instant to)
    {
        for (Instant now = from; now < to; now += step) {
            for (UpstreamRateLimits &process : this->processes) {
                if (process.allows(upstream, now)) {
                    process.recordSend(upstream, now);
                    this->sends.push_back(now);
                }
            }
        }
    }

    /// Returns the largest number of requests in four seconds.
    std::size_t mostInFourSeconds() const
    {
        std::size_t most = 0;
        for (auto first = this->sends.begin(); first != this->sends.end(); ++first) {
            const auto end = std::lower_bound(first, this->sends.end(), *first + seconds(4));
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    ProcessNames names;
    std::vector<UpstreamRateLimits> processes;
    std::deque<Instant> sends;
};

double allowedInFourSeconds(double limit)
{
    return 1.5 * limit * 4.0 + 5.0;
}

} // namespace

class UpstreamRateLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamRateLimitsTest);
    CPPUNIT_TEST(theSumHoldsForAnyNumberOfProcesses);
    CPPUNIT_TEST(mostOfTheRateIsUsed);
    CPPUNIT_TEST(idleProcessesSaveUpNoBurst);
    CPPUNIT_TEST(theSumHoldsWhileProcessesComeAndGo);
    CPPUNIT_TEST(theLatestResponseCounts);
    CPPUNIT_TEST(whatOthersSaidIsNotPassedOnAsOwnKnowledge);
    CPPUNIT_TEST(aLimitOfZeroStillLetsItsEndBeNoticed);
    CPPUNIT_TEST(aProcessThatIsNoMemberSendsNothing);
    CPPUNIT_TEST(limitsOfAnotherIncarnationAreForgotten);
    CPPUNIT_TEST(sendsBeyondTheRateAreMadeUpFor);
    CPPUNIT_TEST_SUITE_END();

public:
    void theSumHoldsForAnyNumberOfProcesses()
    {
        for (const std::size_t count : {1, 2, 9, 90, 910}) {
            for (const double limit : {0.1, 0.7, 1.0, 2.5, 8.0, 100.0}) {
                Fleet fleet(count);
                fleet.name(limit, start);
                fleet.run(start, start + seconds(15));
                const std::size_t most = fleet.mostInFourSeconds();
                CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " processes, limit "
                                           + std::to_string(limit) + ": " + std::to_string(most),
                                       static_cast<double>(most) <= allowedInFourSeconds(limit));
            }
        }
    }

    void mostOfTheRateIsUsed()
    {
        for (const std::size_t count : {1, 9, 90}) {
            for (const double limit : {1.0, 2.5, 8.0}) {
                Fleet fleet(count);
                fleet.name(limit, start);
                fleet.run(start, start + seconds(60));
                const double used = static_cast<double>(fleet.sends.size()) / 60.0;
                CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " processes, limit "
                                           + std::to_string(limit) + ": " + std::to_string(used),
                                       used > 0.8 * limit && used <= limit);
            }
        }
    }

    void idleProcessesSaveUpNoBurst()
    {
        Fleet fleet(90);
        fleet.name(2.5, start);
        fleet.run(start + seconds(100), start + seconds(110));
        CPPUNIT_ASSERT(static_cast<double>(fleet.mostInFourSeconds()) <= allowedInFourSeconds(2.5));
    }

    void theSumHoldsWhileProcessesComeAndGo()
    {
        Fleet fleet(20);
        fleet.name(2.5, start);
        for (std::size_t round = 0; round < 40; ++round) {
            auto names = std::make_shared<std::vector<std::string>>();
            for (std::size_t index = 0; index < 20; ++index) {
                if ((index + round) % 4 != 0) { // A quarter is away, another one each second.
                    names->push_back((*fleet.names)[index]);
                }
            }
            const Instant now = start + seconds(round);
            for (std::size_t index = 0; index < 20; ++index) {
                fleet.processes[index].setProcesses(names, (*fleet.names)[index], now);
            }
            fleet.run(now, now + seconds(1));
        }
        CPPUNIT_ASSERT(static_cast<double>(fleet.mostInFourSeconds()) <= allowedInFourSeconds(2.5));
        CPPUNIT_ASSERT(!fleet.sends.empty());
    }

    void theLatestResponseCounts()
    {
        UpstreamRateLimits limits;
        CPPUNIT_ASSERT_MESSAGE("nothing to end",
                               !limits.note({upstream, 1, std::nullopt, milliseconds(0)},
                                            LimitSource::Response, start));
        CPPUNIT_ASSERT(
            limits.note({upstream, 1, 2.0, milliseconds(100)}, LimitSource::Response, start));
        CPPUNIT_ASSERT(
            !limits.note({upstream, 1, 9.0, milliseconds(400)}, LimitSource::Response, start));
        CPPUNIT_ASSERT_EQUAL(2.0, limits.rateOf(upstream).value());
        CPPUNIT_ASSERT(
            limits.note({upstream, 1, 3.0, milliseconds(50)}, LimitSource::Response, start));
        CPPUNIT_ASSERT_EQUAL(3.0, limits.rateOf(upstream).value());
        CPPUNIT_ASSERT(!limits.allows(upstream, start));
        CPPUNIT_ASSERT(limits.note({upstream, 1, std::nullopt, milliseconds(0)},
                                   LimitSource::Response, start));
        CPPUNIT_ASSERT(limits.allows(upstream, start));
        CPPUNIT_ASSERT_MESSAGE("the end is told",
                               limits.limits(LimitSource::Response, start).size() == 1);
        CPPUNIT_ASSERT(
            limits.limits(LimitSource::Zone, start + UpstreamRateLimits::endedLimitRetention)
                .empty());
    }

    void whatOthersSaidIsNotPassedOnAsOwnKnowledge()
    {
        UpstreamRateLimits limits;
        limits.note({"own", 1, 2.0, milliseconds(0)}, LimitSource::Response, start);
        limits.note({"member's", 1, 2.0, milliseconds(0)}, LimitSource::Member, start);
        limits.note({"zone's", 1, 2.0, milliseconds(0)}, LimitSource::Zone, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), limits.limits(LimitSource::Response, start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), limits.limits(LimitSource::Member, start).size());
        CPPUNIT_ASSERT(limits.rateOf("zone's"));
    }

    void aLimitOfZeroStillLetsItsEndBeNoticed()
    {
        Fleet fleet(9);
        fleet.name(0.0, start);
        fleet.run(start, start + seconds(40));
        CPPUNIT_ASSERT(!fleet.sends.empty());
        CPPUNIT_ASSERT(fleet.mostInFourSeconds() <= 5);
    }

    void aProcessThatIsNoMemberSendsNothing()
    {
        UpstreamRateLimits limits;
        limits.setProcesses(namesOf(3), "left", start);
        limits.note({upstream, 1, 50.0, milliseconds(0)}, LimitSource::Response, start);
        CPPUNIT_ASSERT(!limits.allows(upstream, start + seconds(60)));
        CPPUNIT_ASSERT(!limits.timeUntilAllowed(upstream, start));
        CPPUNIT_ASSERT_MESSAGE("other upstreams are not limited", limits.allows("other", start));
    }

    void limitsOfAnotherIncarnationAreForgotten()
    {
        UpstreamRateLimits limits;
        limits.note({upstream, 1, 2.0, milliseconds(0)}, LimitSource::Response, start);
        limits.forgetUnless([](const std::string &, std::uint64_t number) { return number == 1; });
        CPPUNIT_ASSERT(limits.rateOf(upstream));
        limits.forgetUnless([](const std::string &, std::uint64_t number) { return number == 2; });
        CPPUNIT_ASSERT(!limits.rateOf(upstream));
    }

    void sendsBeyondTheRateAreMadeUpFor()
    {
        UpstreamRateLimits limits;
        limits.setProcesses(namesOf(1), "entry-0", start);
        limits.note({upstream, 1, 1.0, milliseconds(0)}, LimitSource::Response, start);
        const Instant now = start + seconds(10);
        CPPUNIT_ASSERT(limits.allows(upstream, now));
        for (int send = 0; send < 3; ++send) {
            limits.recordSend(upstream, now);
        }
        CPPUNIT_ASSERT(!limits.allows(upstream, now + milliseconds(2'900)));
        CPPUNIT_ASSERT(limits.allows(upstream, now + seconds(3)));
    }
};

REGISTER_SUITE(UpstreamRateLimitsTest, "upstream_rate_limits");

} // namespace azurespindle::decision
