#include "serving/fleet_reporter.h"

#include "routing/fake_store_client.h"
#include "support/suite.h"

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace azurespindle::serving {
namespace {

using tests::FakeStoreClient;

const std::vector<std::string> zoneNames {"a", "b", "c"};

/// The reporters of a fleet, whose messages arrive at once.
class ReportingFleet
{
public:
    explicit ReportingFleet(std::size_t membersPerZone)
    {
        std::vector<members::MemberRecord> records;
        for (const std::string &zone : zoneNames) {
            for (std::size_t number = 0; number < membersPerZone; ++number) {
                records.push_back({zone + "-" + std::to_string(100 + number), zone, "", "", 1,
                                   members::MemberState::Alive, 0});
            }
        }
        for (const members::MemberRecord &record : records) {
            auto node = std::make_unique<Node>(*this, record.name, record.zone);
            node->relay.setMembers(records, monotonicNow());
            this->nodes.emplace(record.name, std::move(node));
        }
    }

    /// Runs all timers for a second.
    void run()
    {
        for (int step = 0; step < 10; ++step) {
            for (auto &[name, node] : this->nodes) {
                if (this->stopped.count(name) > 0) {
                    continue;
                }
                if (step % 2 == 0) {
                    node->reporter.tick();
                }
                node->reporter.reportChanges();
                node->reporter.reportTotals();
            }
        }
    }

    /// Lets all routers update their estimates, and runs all timers for a second.
    void updateAndRun()
    {
        std::this_thread::sleep_for(decision::UpstreamSpeeds::updateInterval);
        for (auto &[name, node] : this->nodes) {
            node->forwarder.handle(routing::TimePassed {});
        }
        this->run();
    }

    void tell(const std::string &member, const routing::RouterEvent &event)
    {
        this->nodes.at(member)->forwarder.handle(event);
    }
    std::vector<std::pair<std::string, double>> speedsKnownTo(const std::string &member) const
    {
        return this->nodes.at(member)->forwarder.differingSpeeds(8);
    }
    void stop(const std::string &member) { this->stopped.insert(member); }
    std::size_t sentBy(const std::string &member) const { return this->nodes.at(member)->sent; }
    std::size_t receivedBy(const std::string &member) const
    {
        return this->nodes.at(member)->received;
    }
    std::set<std::string> sendersOfTotalsTo(const std::string &member) const
    {
        return this->nodes.at(member)->totalsFrom;
    }
    void forgetMessages()
    {
        for (auto &[name, node] : this->nodes) {
            node->sent = 0;
            node->received = 0;
            node->totalsFrom.clear();
        }
    }

private:
    struct Node
    {
        Node(ReportingFleet &fleet, const std::string &name, const std::string &zone)
            : forwarder({}, adapter, fleet.client, registry, journal,
                        {[](const routing::BroadcastCrash &) {}, [] {}}),
              view([](const routing::PublishedItem &) { return routing::UnrelatedItem {}; },
                   store.calls(), fleet.timers, registry, journal,
                   {[](const auto &) {}, [](const std::string &, const members::Message &) {},
                    [](const members::ViewChanges &) {}}),
              relay(name, zone),
              reporter(name, zone, forwarder, view, relay,
                       {[&fleet, name](const std::string &member, const members::Message &message) {
                            fleet.deliver(name, member, message);
                        },
                        [&fleet, name](const std::vector<std::string> &members,
                                       const members::Message &message) {
                            for (const std::string &member : members) {
                                fleet.deliver(name, member, message);
                            }
                        }})
        { }

        metrics::Registry registry;
        journal::Journal journal;
        FakeStoreClient store;
        routing::PlatformAdapter adapter;
        RequestForwarder forwarder;
        ViewSynchronizer view;
        ZoneRelay relay;
        FleetReporter reporter;
        std::size_t sent = 0;
        std::size_t received = 0;
        std::set<std::string> totalsFrom;
    };

    void deliver(const std::string &from, const std::string &to, const members::Message &message)
    {
        this->nodes.at(from)->sent += 1;
        if (this->stopped.count(to) > 0) {
            return;
        }
        Node &receiver = *this->nodes.at(to);
        receiver.received += 1;
        if (const auto *report = std::get_if<members::RouterReport>(&message)) {
            receiver.reporter.handle(from, *report);
        } else if (const auto *zone = std::get_if<members::ZoneReport>(&message)) {
            receiver.reporter.handle(from, *zone);
        } else if (const auto *totals = std::get_if<members::FleetReport>(&message)) {
            receiver.totalsFrom.insert(from);
            receiver.reporter.handle(from, *totals);
        }
    }

    http::Client client;
    timer::TimerService timers;
    std::map<std::string, std::unique_ptr<Node>> nodes;
    std::set<std::string> stopped;
};

} // namespace

class FleetReporterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetReporterTest);
    CPPUNIT_TEST(whatAMemberSendsAndHearsDoesNotGrowWithTheFleet);
    CPPUNIT_TEST(oneRelayTellsItsZoneTheTotalsUntilItFallsSilent);
    CPPUNIT_TEST(aSpeedThatOneZoneObservesIsKnownInAnother);
    CPPUNIT_TEST_SUITE_END();

public:
    void whatAMemberSendsAndHearsDoesNotGrowWithTheFleet()
    {
        ReportingFleet small(10);
        ReportingFleet large(60);
        for (ReportingFleet *fleet : {&small, &large}) {
            fleet->run();
            fleet->forgetMessages();
            fleet->run();
        }
        CPPUNIT_ASSERT_EQUAL(small.sentBy("b-105"), large.sentBy("b-105"));
        CPPUNIT_ASSERT_EQUAL(small.receivedBy("b-105"), large.receivedBy("b-105"));
        CPPUNIT_ASSERT_MESSAGE("it hears the totals ten times a second",
                               large.receivedBy("b-105") >= 10);
        CPPUNIT_ASSERT(large.receivedBy("b-105") <= 20);
    }

    void oneRelayTellsItsZoneTheTotalsUntilItFallsSilent()
    {
        ReportingFleet fleet(10);
        fleet.run();
        fleet.forgetMessages();
        fleet.run();
        CPPUNIT_ASSERT(std::set<std::string> {"b-100"} == fleet.sendersOfTotalsTo("b-105"));
        fleet.stop("b-100");
        std::this_thread::sleep_for(ZoneRelay::relaySilenceTimeout);
        fleet.forgetMessages();
        fleet.run();
        CPPUNIT_ASSERT(std::set<std::string> {"b-101"} == fleet.sendersOfTotalsTo("b-105"));
        CPPUNIT_ASSERT_MESSAGE("other zones hear it, too",
                               fleet.sendersOfTotalsTo("a-105").size() == 1);
    }

    /// Each zone learned the speed of an upstream for itself.
    void aSpeedThatOneZoneObservesIsKnownInAnother()
    {
        ReportingFleet fleet(10);
        fleet.run();
        auto state = std::make_shared<routing::FleetState>();
        routing::PeerReportArrived observed;
        observed.peer = "observer";
        for (const char *id : {"e1", "e2", "e3"}) {
            routing::UpstreamRecord record;
            record.id = id;
            record.service = "models";
            record.incarnation = 7;
            state->upstreams[id] = record;
            observed.speeds.push_back(
                {decision::speedKey(id, 7), 50, std::string(id) == "e2" ? 1'200U : 1'000U});
        }
        fleet.tell("c-105", routing::FleetStateChanged {state});
        fleet.tell("a-100", observed);
        fleet.updateAndRun();
        fleet.updateAndRun();
        fleet.updateAndRun();
        const auto known = fleet.speedsKnownTo("c-105");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), known.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), known[0].first);
        CPPUNIT_ASSERT(known[0].second < 0.6);
    }
};

REGISTER_SUITE(FleetReporterTest, "fleet_reporter");

} // namespace azurespindle::serving
