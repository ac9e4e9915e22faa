#include "routing/router.h"

#include "routing/router_harness.h"
#include "support/suite.h"

#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace azurespindle::routing {

using tests::RouterHarness;

namespace {

/// Logarithms, in hundredths, of the durations that a peer reports of upstreams.
using Durations = std::vector<std::pair<std::string, std::uint32_t>>;

/// Delivers events at a regular pace.
void receivePacedEvents(RouterHarness &harness, RequestId request, int count, milliseconds interval)
{
    for (int event = 0; event < count; ++event) {
        harness.advanceTime(interval);
        harness.receiveEvents(request, 1);
    }
}

/// Lets a peer report durations once more, with \a second times the weight of the first report.
void reportDurations(RouterHarness &harness, const Durations &durations, std::uint32_t second)
{
    PeerReportArrived report;
    report.peer = "peer";
    for (const auto &[upstream, logDuration] : durations) {
        report.speeds.push_back({decision::speedKey(upstream, 1), 20 * second, logDuration});
    }
    harness.handle(report);
}

/// Lets a peer report durations for some seconds.
void learnDurations(RouterHarness &harness, const Durations &durations)
{
    for (std::uint32_t second = 1; second <= 8; ++second) {
        reportDurations(harness, durations, second);
        harness.advanceTime(milliseconds(1'000));
    }
    harness.clearEffects();
}

std::string fieldOf(const WriteJournal &entry, const std::string &key)
{
    for (const journal::Field &each : entry.entry.fields) {
        if (each.name == key) {
            return each.value;
        }
    }
    return "missing";
}

std::vector<WriteJournal> entriesOf(const RouterHarness &harness, journal::EventId id)
{
    std::vector<WriteJournal> entries = harness.allEffects<WriteJournal>();
    std::erase_if(entries, [id](const WriteJournal &each) { return each.entry.id != id; });
    return entries;
}

} // namespace

class RouterSpeedsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterSpeedsTest);
    CPPUNIT_TEST(promptsGoToFasterEngines);
    CPPUNIT_TEST(callsGoToFasterUpstreams);
    CPPUNIT_TEST(backupsAreKeptAtFasterEngines);
    CPPUNIT_TEST(generationsAreMigratedToFasterEngines);
    CPPUNIT_TEST(placementsStateTheSpeed);
    CPPUNIT_TEST(thePaceOfStreamsIsObserved);
    CPPUNIT_TEST(thePauseOfATakeoverIsNotObserved);
    CPPUNIT_TEST(responseTimesAreObserved);
    CPPUNIT_TEST(speedsOutOfRangeAreRejectedWithAnEntry);
    CPPUNIT_TEST(aSuccessorHasTheUsualSpeed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Engines of 0.6 of the usual speed got as many prompts as the others.
    void promptsGoToFasterEngines()
    {
        RouterHarness harness;
        harness.configure();
        for (const char *engine : {"e1", "e2", "e3"}) {
            harness.addEngine(engine);
        }
        learnDurations(harness, {{"e1", 1'060}, {"e2", 1'000}, {"e3", 1'000}});
        for (int request = 0; request < 2; ++request) {
            harness.sendRequest("/short/1");
            CPPUNIT_ASSERT(harness.lastUpstream() != "e1");
        }
    }

    void callsGoToFasterUpstreams()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addPlainUpstream("p2");
        harness.addPlainUpstream("p3");
        learnDurations(harness, {{"p1", 1'060}, {"p2", 1'000}, {"p3", 1'000}});
        for (int call = 0; call < 2; ++call) {
            harness.sendRequest("/look/1");
            CPPUNIT_ASSERT(harness.lastUpstream() != "p1");
        }
    }

    void backupsAreKeptAtFasterEngines()
    {
        RouterHarness harness;
        harness.configure();
        for (const char *engine : {"e1", "e2", "e3"}) {
            harness.addEngine(engine);
        }
        learnDurations(harness, {{"e1", 1'060}, {"e2", 1'000}, {"e3", 1'000}});
        harness.sendRequest("/long/1");
        const auto started = harness.lastEffect<StartAttempt>();
        CPPUNIT_ASSERT(!started->plan.backupAddress.empty());
        CPPUNIT_ASSERT(started->plan.backupAddress != "10.0.0.1:1");
    }

    void generationsAreMigratedToFasterEngines()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const RequestId request = harness.sendRequest("/long/1");
        harness.receiveStreamHead(request);
        harness.receiveEvents(request, 4);
        for (const char *engine : {"e2", "e3", "e4"}) {
            harness.addEngine(engine);
        }
        for (std::uint32_t second = 1; second <= 8; ++second) {
            reportDurations(harness, {{"e1", 1'000}, {"e2", 1'160}, {"e3", 1'000}, {"e4", 1'160}},
                            second);
            receivePacedEvents(harness, request, 20, milliseconds(40));
        }
        harness.setDraining("e1");
        harness.advanceTime(milliseconds(40));
        const auto migration = harness.lastEffect<RequestMigration>();
        CPPUNIT_ASSERT(migration);
        CPPUNIT_ASSERT(migration->to == "10.0.0.1:3");
    }

    void placementsStateTheSpeed()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.sendRequest("/long/1");
        CPPUNIT_ASSERT_EQUAL(
            std::string("1.00"),
            fieldOf(entriesOf(harness, journal::EventId::RequestPlaced).front(), "speedThere"));
    }

    void thePaceOfStreamsIsObserved()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const RequestId request = harness.sendRequest("/long/1");
        harness.receiveStreamHead(request);
        receivePacedEvents(harness, request, 200, milliseconds(40));
        harness.advanceTime(milliseconds(600));
        const auto sums = harness.router.upstreamSpeeds().takeChanged(decision::SpeedScope::Process,
                                                                      8, harness.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sums.size());
        CPPUNIT_ASSERT_EQUAL(decision::speedKey("e1", 1), sums[0].key);
        const double interval = std::exp(sums[0].logDuration / 100.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40'000.0, interval, 4'000.0);
    }

    /// An engine to which a generation moved seemed slow because of the pause before.
    void thePauseOfATakeoverIsNotObserved()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        const RequestId request = harness.sendRequest("/short/1");
        harness.receiveStreamHead(request);
        receivePacedEvents(harness, request, 100, milliseconds(40));
        harness.addEngine("e2");
        harness.endAttempt(request, AttemptEnd::Lost);
        harness.advanceTime(milliseconds(900));
        harness.receiveStreamHead(request);
        receivePacedEvents(harness, request, 30, milliseconds(40));
        harness.advanceTime(milliseconds(600));
        const auto sums = harness.router.upstreamSpeeds().sums(decision::SpeedScope::Process);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), sums.size());
        for (const decision::SpeedSum &each : sums) {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(40'000.0, std::exp(each.logDuration / 100.0), 5'000.0);
        }
    }

    void responseTimesAreObserved()
    {
        RouterHarness harness;
        harness.configure();
        harness.addPlainUpstream("p1");
        harness.addPlainUpstream("p2");
        for (int call = 0; call < 100; ++call) {
            const RequestId request = harness.sendRequest("/look/1");
            harness.advanceTime(milliseconds(harness.lastUpstream() == "p1" ? 100 : 40));
            harness.endAttempt(request, AttemptEnd::Complete, 200);
            harness.advanceTime(milliseconds(200));
        }
        CPPUNIT_ASSERT(harness.router.upstreamSpeeds().speed("p1", 1) < 0.85);
        CPPUNIT_ASSERT(harness.router.upstreamSpeeds().speed("p2", 1) > 1.15);
        CPPUNIT_ASSERT(!entriesOf(harness, journal::EventId::UpstreamSpeedChanged).empty());
    }

    /// One process with a fault must not decide where all others send.
    void speedsOutOfRangeAreRejectedWithAnEntry()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.addEngine("e2");
        learnDurations(harness, {{"e1", 4'000'000'000U}, {"e2", 1'000}});
        CPPUNIT_ASSERT_EQUAL(1.0, harness.router.upstreamSpeeds().speed("e1", 1));
        PeerReportArrived report;
        report.peer = "peer";
        report.speeds = {{decision::speedKey("e1", 1), 50, 4'000'000'000U}};
        harness.handle(report);
        const auto entries = entriesOf(harness, journal::EventId::ReportedSpeedRejected);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entries.size());
        CPPUNIT_ASSERT_EQUAL(std::string("peer"), fieldOf(entries[0], "from"));
    }

    void aSuccessorHasTheUsualSpeed()
    {
        RouterHarness harness;
        harness.configure();
        harness.addEngine("e1");
        harness.addEngine("e2");
        learnDurations(harness, {{"e1", 1'060}, {"e2", 1'000}});
        CPPUNIT_ASSERT(harness.router.upstreamSpeeds().speed("e1", 1) < 0.85);
        harness.restart("e1");
        harness.advanceTime(milliseconds(1'000));
        CPPUNIT_ASSERT_EQUAL(1.0, harness.router.upstreamSpeeds().speed("e1", 2));
    }
};

REGISTER_SUITE(RouterSpeedsTest, "router_speeds");

} // namespace azurespindle::routing
