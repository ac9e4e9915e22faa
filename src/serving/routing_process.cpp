#include "serving/routing_process.h"

#include <chrono>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

namespace azurespindle::serving {
namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr milliseconds sweepInterval {1'000};
constexpr milliseconds reportInterval {200};
/// What ended is told within this time; what begins is told at once, as a claim that is not heard
/// lets two processes choose one engine.
constexpr milliseconds claimInterval {100};
constexpr milliseconds zoneInterval {100};
constexpr std::uint64_t reportsPerWhole = 5;
/// Others count on a sign of life twice in ViewKeeper::readerTime.
constexpr std::uint64_t reportsPerSign = 2;
constexpr milliseconds stopPoll {20};
/// The balancer passes a process over after two misses, a second apart.
constexpr milliseconds passedOverAfter {2'300};
/// Kept back of the time that a stop may take, for the last bytes and the exit.
constexpr milliseconds stopReserve {500};
constexpr milliseconds lastBytes {60};
/// Processes reckoned with until the others can have been heard.
constexpr std::size_t unknownProcesses = 12;
constexpr seconds joinTime {6};
/// Part of the descriptors that callers' connections may take; each may need one upstream.
constexpr double callerDescriptors = 0.45;

std::uint64_t wallClockMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

settings::Settings memberSettingsOf(const settings::RoutingSettings &from)
{
    settings::Settings to;
    to.name = from.name;
    to.zone = from.zone;
    to.callerAddress = from.callerAddress;
    to.memberAddress = from.memberAddress;
    to.seeds = from.seeds;
    return to;
}

members::MemberRecord selfOf(const settings::RoutingSettings &settings)
{
    return {settings.name,
            settings.zone,
            settings.announcedMemberAddress.value_or(settings.memberAddress).text(),
            settings.callerAddress.text(),
            wallClockMilliseconds(),
            members::MemberState::Alive};
}

settings::CallerLimits callerLimits(const routing::RequestLimits &limits, std::size_t descriptors)
{
    settings::CallerLimits callers;
    callers.headerAndBodyBytes = limits.bodyBytes;
    callers.headerBytes = limits.headerBytes;
    callers.connections
        = static_cast<std::size_t>(callerDescriptors * static_cast<double>(descriptors));
    callers.requestTimeout = limits.headerTimeout;
    callers.idleTimeout = limits.idleTimeout;
    return callers;
}

routing::RouterOptions routerOptions(const settings::RoutingSettings &settings)
{
    const settings::FleetBounds &bounds = settings.bounds;
    std::random_device random;
    return {settings.zone,
            settings.regionOfZone,
            random(),
            {bounds.retryShare, bounds.retryBurst, bounds.retryWindow}};
}

settings::CallerLimits probeLimits()
{
    settings::CallerLimits limits;
    limits.connections = 64;
    limits.headerAndBodyBytes = 16'384;
    return limits;
}

} // namespace

RoutingProcess::RoutingProcess(settings::RoutingSettings given,
                               const PortFactory &makePlatformAdapter)
    : settings(std::move(given)), memberSettings(memberSettingsOf(this->settings)),
      started(monotonicNow()),
      port(makePlatformAdapter(this->settings, this->client, this->registry)),
      calls(routerOptions(this->settings), this->port, this->client, this->registry, this->journal,
            {[this](const routing::BroadcastCrash &crash) {
                 this->coordinator.broadcastCrash(
                     {"", crash.fingerprint, crash.upstream, crash.incarnation});
             },
             [this] { this->tellChanges(); }}),
      relay(this->settings.name, this->settings.zone),
      coordinator(this->memberSettings, selfOf(this->settings), this->client, this->timers,
                  this->registry, this->journal, this->coordinatorHooks()),
      view(this->port.decodeItem, this->port.store, this->timers, this->journal,
           {[this](const auto &state) { this->takeState(state); },
            [this](const std::string &member, const members::Message &message) {
                this->coordinator.send(member, message);
            },
            [this](const members::ViewChanges &news) { this->tellZone(news); }}),
      callers(this->settings.callerAddress,
              callerLimits(routing::RequestLimits {}, this->settings.descriptors), 1,
              [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
                  this->calls.take(request, exchange);
              }),
      readiness(this->settings.readyAddress, probeLimits(), 1,
                [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
                    this->answerReady(request, exchange);
                })
{
    if (this->settings.metricsAddress) {
        this->metricsServer = std::make_unique<http::Server>(
            *this->settings.metricsAddress, probeLimits(), 1,
            [this](const http::ServerRequest &, const http::ExchangePtr &exchange) {
                this->answerMetrics(exchange);
            });
    }
}

RoutingProcess::~RoutingProcess()
{
    this->stop();
}

members::CoordinatorHooks RoutingProcess::coordinatorHooks()
{
    members::CoordinatorHooks hooks;
    hooks.onDocument = [](members::DocumentKind, const nlohmann::json &) {};
    hooks.onMembersChanged = [] {};
    hooks.onLeaseRequests = [](const std::string &, const members::LeaseRequests &) {};
    hooks.onLeaseGrants = [](const std::string &, const members::LeaseGrants &) {};
    hooks.onPermitRequests = [](const std::string &, const members::PermitRequests &) {};
    hooks.onPermitAnswers = [](const members::PermitAnswers &) {};
    hooks.onCrashReport = [this](const members::CrashReport &note) {
        this->calls.handle(routing::PeerCrashReported {note.fingerprint, note.source, note.number});
    };
    hooks.onRouterReport = [this](const std::string &from, const members::RouterReport &report) {
        this->calls.handle(routing::PeerReportArrived {from, report.complete, report.claims,
                                                       report.requestCounts, report.observations});
        this->view.noteMember(from, report);
        this->relay.noteMember(from, monotonicNow());
    };
    hooks.onZoneReport = [this](const std::string &from, const members::ZoneReport &report) {
        this->takeZoneReport(from, report);
    };
    hooks.onViewRequest = [this](const std::string &from, const members::ViewRequest &wanted) {
        this->view.answer(from, wanted);
    };
    hooks.onViewChanges = [this](const members::ViewChanges &news) { this->view.take(news); };
    return hooks;
}

std::error_code RoutingProcess::start()
{
    this->timers.subscribe(routing::Router::tickInterval,
                           [this] { this->calls.handle(routing::TimePassed {}); });
    this->timers.subscribe(reportInterval, [this] { this->tick(); });
    this->timers.subscribe(claimInterval, [this] { this->tellChanges(); });
    this->timers.subscribe(zoneInterval, [this] { this->tellFarZones(); });
    this->timers.subscribe(ViewKeeper::tickInterval, [this] { this->view.tick(); });
    this->timers.subscribe(sweepInterval, [this] {
        this->callers.sweep();
        this->readiness.sweep();
    });
    if (const std::error_code error = this->coordinator.start()) {
        return error;
    }
    if (const std::error_code error = this->callers.start()) {
        return error;
    }
    if (const std::error_code error = this->readiness.start()) {
        return error;
    }
    if (this->metricsServer != nullptr) {
        if (const std::error_code error = this->metricsServer->start()) {
            return error;
        }
    }
    this->timers.start();
    this->view.start();
    this->journal.record({journal::EventId::ProcessStarted,
                          {{"member", this->settings.name},
                           {"zone", this->settings.zone},
                           {"callers", this->settings.callerAddress.text()},
                           {"members", this->settings.memberAddress.text()}}});
    return {};
}

void RoutingProcess::reload(const settings::RoutingSettings &settings)
{
    this->coordinator.setSeeds(settings.seeds);
    std::string seeds;
    for (const settings::Address &seed : settings.seeds) {
        seeds += (seeds.empty() ? "" : ",") + seed.text();
    }
    this->journal.record(
        {journal::EventId::SettingsReloaded, {{"changed", "seeds"}, {"seeds", seeds}}});
}

void RoutingProcess::takeState(const std::shared_ptr<const routing::FleetState> &state)
{
    if (state->routeTable != nullptr) {
        const routing::RequestLimits &limits = state->routeTable->configuration().limits;
        if (limits != this->limitsInForce) {
            this->limitsInForce = limits;
            this->callers.setLimits(callerLimits(limits, this->settings.descriptors));
        }
    }
    this->calls.handle(routing::FleetStateChanged {state});
    this->noteReadiness();
}

bool RoutingProcess::ready() const
{
    const std::shared_ptr<const routing::FleetState> state = this->view.state();
    return !this->stopping && state->routeTable != nullptr && !state->upstreams.empty();
}

void RoutingProcess::noteReadiness()
{
    const bool now = this->ready();
    if (this->wasReady.exchange(now) != now) {
        this->journal.record({journal::EventId::ReadinessChanged, {{"ready", now ? "yes" : "no"}}});
    }
}

void RoutingProcess::answerReady(const http::ServerRequest &request,
                                 const http::ExchangePtr &exchange)
{
    if (request.path != this->settings.readyPath) {
        exchange->respond(statusNotFound, http::Headers {}, "");
        return;
    }
    exchange->respond(this->ready() ? statusOk : statusUnavailable, http::Headers {}, "");
}

void RoutingProcess::answerMetrics(const http::ExchangePtr &exchange)
{
    const routing::RouterStatus status = this->calls.status();
    std::ostringstream text;
    text << this->registry.exposition();
    text << "azurespindle_open_requests " << status.openRequests << "\n"
         << "azurespindle_queued_requests " << status.queuedRequests << "\n"
         << "azurespindle_moving_generations " << status.migratingGenerations << "\n"
         << "azurespindle_moves_begun_total " << status.migrationsStarted << "\n"
         << "azurespindle_moves_done_total " << status.migrationsCompleted << "\n"
         << "azurespindle_generations_lost_total " << status.generationsLost << "\n"
         << "azurespindle_view_revision " << this->view.at() << "\n"
         << "azurespindle_ready " << (this->ready() ? 1 : 0) << "\n"
         << "azurespindle_publisher_away " << (this->view.publisherAway() ? 1 : 0) << "\n";
    exchange->respond(statusOk, http::Headers {{"content-type", "text/plain; version=0.0.4"}},
                      text.str());
}

void RoutingProcess::tellZone(const members::Message &message)
{
    for (const std::string &member : this->relay.zoneMembers()) {
        if (member != this->settings.name) {
            this->coordinator.send(member, message);
        }
    }
}

void RoutingProcess::tick()
{
    const Instant now = monotonicNow();
    this->relay.setMembers(this->coordinator.activeMembers(), now);
    this->view.chooseReader(this->relay.zoneMembers(), this->settings.name);
    const bool whole = this->reports % reportsPerWhole == 0;
    const bool due = whole || this->reports % reportsPerSign == 0;
    this->reports += 1;
    {
        const std::lock_guard lock(this->reporting);
        std::vector<routing::UpstreamObservation> notes = this->calls.takeNotes();
        if (due || !notes.empty()) {
            this->report(whole, this->calls.takeChangedClaims(), std::move(notes));
        }
    }
    this->calls.handle(routing::StoreAvailabilityChanged {this->view.publisherAway()});
    const std::size_t known = this->coordinator.allMembers().size();
    const bool joining = now - this->started < joinTime;
    this->calls.handle(routing::ProcessesChanged {
        joining ? std::max(known, unknownProcesses) : known, this->relay.unheardZones(now)});
    if (const std::uint64_t dropped = journal::takeDroppedLines()) {
        this->journal.record(
            {journal::EventId::LogLinesDropped, {{"count", std::to_string(dropped)}}});
    }
}

void RoutingProcess::tellChanges()
{
    const std::lock_guard lock(this->reporting);
    std::vector<decision::UpstreamClaim> changed = this->calls.takeChangedClaims();
    if (!changed.empty()) {
        this->report(false, std::move(changed), this->calls.takeNotes());
    }
}

void RoutingProcess::report(bool whole, std::vector<decision::UpstreamClaim> changed,
                            std::vector<routing::UpstreamObservation> notes)
{
    members::RouterReport report;
    report.complete = whole;
    report.viewRevision = this->view.at();
    report.readsStore = this->view.reads();
    report.claims = whole ? this->calls.claims() : std::move(changed);
    report.observations = std::move(notes);
    report.requestCounts = this->calls.arrivals();
    for (const std::string &member : this->relay.listeners()) {
        this->coordinator.send(member, report);
    }
}

void RoutingProcess::tellFarZones()
{
    const std::vector<std::string> far = this->relay.farRelays();
    if (far.empty()) {
        return;
    }
    members::ZoneReport report = this->calls.zoneReport();
    report.zone = this->settings.zone;
    for (const std::string &member : far) {
        this->coordinator.send(member, report);
    }
}

void RoutingProcess::takeZoneReport(const std::string &from, const members::ZoneReport &report)
{
    if (report.zone == this->settings.zone) {
        return; // It knows its own zone better.
    }
    this->relay.noteZone(report.zone, monotonicNow());
    this->calls.handle(routing::ZoneReportArrived {report.zone, report.processCount, report.claims,
                                                   report.requestCounts});
    if (this->relay.passesOn(from)) {
        this->tellZone(report);
    }
}

std::size_t RoutingProcess::stopGracefully()
{
    this->journal.record({journal::EventId::ProcessStopping, {{"member", this->settings.name}}});
    this->stopping = true;
    this->noteReadiness();
    const Instant began = monotonicNow();
    const Instant latest = began + this->settings.bounds.stopTime - stopReserve;
    this->calls.handle(routing::StopRequested {});
    this->coordinator.leave();
    this->callers.drain();
    const auto busy = [&] {
        return monotonicNow() - began < passedOverAfter || this->calls.status().openRequests > 0
            || this->callers.openExchanges() > 0;
    };
    while (busy() && monotonicNow() < latest) {
        std::this_thread::sleep_for(stopPoll);
    }
    // What arrives between the last answer and the exit is refused rather than cut.
    this->calls.refuseFurther();
    const auto answering = [&] {
        return this->calls.status().openRequests > 0 || this->callers.openExchanges() > 0;
    };
    while (answering() && monotonicNow() < latest) {
        std::this_thread::sleep_for(stopPoll);
    }
    const std::size_t cut = this->calls.status().openRequests;
    this->calls.cutAll();
    std::this_thread::sleep_for(lastBytes);
    this->journal.record({journal::EventId::ProcessStopped,
                          {{"member", this->settings.name}, {"cut", std::to_string(cut)}}});
    this->stop();
    return cut;
}

void RoutingProcess::stop()
{
    // Whoever calls back is stopped before what it calls.
    this->view.stop();
    this->timers.stop();
    this->client.stop();
    this->coordinator.stop();
    this->callers.stop();
    this->readiness.stop();
    if (this->metricsServer != nullptr) {
        this->metricsServer->stop();
    }
}

} // namespace azurespindle::serving
