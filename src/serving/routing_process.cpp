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
constexpr milliseconds idleSweepInterval {1'000};
constexpr milliseconds reportInterval {200};
/// What ended is told within this time; what begins is told at once, as a claim that is not heard
/// lets two processes choose one engine.
constexpr milliseconds changeReportInterval {100};
constexpr milliseconds zoneReportInterval {100};
constexpr std::uint64_t ticksPerFullReport = 5;
/// Others count on a sign of life twice in ViewSynchronizer::readerTime.
constexpr std::uint64_t ticksPerHeartbeat = 2;
constexpr milliseconds stopPollInterval {20};
/// The balancer passes a process over after two misses, a second apart.
constexpr milliseconds balancerRemovalTime {2'300};
/// Kept back of the time that a stop may take, for the last bytes and the exit.
constexpr milliseconds stopReserve {500};
constexpr milliseconds flushTime {60};
/// Processes reckoned with until the others can have been heard.
constexpr std::size_t assumedProcessesWhileJoining = 12;
constexpr seconds joinPeriod {6};
/// Part of the descriptors that callers' connections may take; each may need one upstream.
constexpr double callerDescriptorShare = 0.45;

std::uint64_t wallClockMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

settings::Settings toMemberSettings(const settings::RoutingSettings &from)
{
    settings::Settings to;
    to.name = from.name;
    to.zone = from.zone;
    to.callerAddress = from.callerAddress;
    to.memberAddress = from.memberAddress;
    to.seeds = from.seeds;
    return to;
}

members::MemberRecord makeSelfRecord(const settings::RoutingSettings &settings)
{
    return {settings.name,
            settings.zone,
            settings.announcedMemberAddress.value_or(settings.memberAddress).text(),
            settings.callerAddress.text(),
            wallClockMilliseconds(),
            members::MemberState::Alive};
}

settings::CallerLimits toCallerLimits(const routing::RequestLimits &limits, std::size_t descriptors)
{
    settings::CallerLimits callerLimits;
    callerLimits.headerAndBodyBytes = limits.bodyBytes;
    callerLimits.headerBytes = limits.headerBytes;
    callerLimits.connections
        = static_cast<std::size_t>(callerDescriptorShare * static_cast<double>(descriptors));
    callerLimits.requestTimeout = limits.headerTimeout;
    callerLimits.idleTimeout = limits.idleTimeout;
    return callerLimits;
}

routing::RouterOptions toRouterOptions(const settings::RoutingSettings &settings)
{
    const settings::FleetBounds &bounds = settings.bounds;
    std::random_device random;
    return {settings.zone,
            settings.regionOfZone,
            random(),
            {bounds.retryShare, bounds.retryBurst, bounds.retryWindow}};
}

settings::CallerLimits operatorServerLimits()
{
    settings::CallerLimits limits;
    limits.connections = 64;
    limits.headerAndBodyBytes = 16'384;
    return limits;
}

} // namespace

RoutingProcess::RoutingProcess(settings::RoutingSettings initialSettings,
                               const PlatformAdapterFactory &makePlatformAdapter)
    : settings(std::move(initialSettings)), memberSettings(toMemberSettings(this->settings)),
      started(monotonicNow()),
      platformPort(makePlatformAdapter(this->settings, this->client, this->registry)),
      forwarder(toRouterOptions(this->settings), this->platformPort, this->client, this->registry,
                this->journal,
                {[this](const routing::BroadcastCrash &crash) {
                     this->coordinator.broadcastCrash(
                         {"", crash.fingerprint, crash.upstream, crash.incarnation});
                 },
                 [this] { this->reportChanges(); }}),
      relay(this->settings.name, this->settings.zone),
      coordinator(this->memberSettings, makeSelfRecord(this->settings), this->client, this->timers,
                  this->registry, this->journal, this->coordinatorHooks()),
      view(this->platformPort.decodeItem, this->platformPort.store, this->timers, this->journal,
           {[this](const auto &state) { this->applyFleetState(state); },
            [this](const std::string &member, const members::Message &message) {
                this->coordinator.send(member, message);
            },
            [this](const members::ViewChanges &news) { this->sendToZone(news); }}),
      callerServer(this->settings.callerAddress,
                   toCallerLimits(routing::RequestLimits {}, this->settings.descriptors), 1,
                   [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
                       this->forwarder.handleRequest(request, exchange);
                   }),
      readinessServer(
          this->settings.readyAddress, operatorServerLimits(), 1,
          [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
              this->respondReadiness(request, exchange);
          })
{
    if (this->settings.metricsAddress) {
        this->metricsServer = std::make_unique<http::Server>(
            *this->settings.metricsAddress, operatorServerLimits(), 1,
            [this](const http::ServerRequest &, const http::ExchangePtr &exchange) {
                this->respondMetrics(exchange);
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
        this->forwarder.handle(
            routing::PeerCrashReported {note.fingerprint, note.source, note.number});
    };
    hooks.onRouterReport = [this](const std::string &from, const members::RouterReport &report) {
        this->forwarder.handle(routing::PeerReportArrived {
            from, report.complete, report.claims, report.requestCounts, report.observations});
        this->view.handleReport(from, report);
        this->relay.recordMemberHeard(from, monotonicNow());
    };
    hooks.onZoneReport = [this](const std::string &from, const members::ZoneReport &report) {
        this->handleZoneReport(from, report);
    };
    hooks.onViewRequest = [this](const std::string &from, const members::ViewRequest &wanted) {
        this->view.sendChanges(from, wanted);
    };
    hooks.onViewChanges = [this](const members::ViewChanges &news) { this->view.applyNews(news); };
    return hooks;
}

std::error_code RoutingProcess::start()
{
    this->timers.subscribe(routing::Router::tickInterval,
                           [this] { this->forwarder.handle(routing::TimePassed {}); });
    this->timers.subscribe(reportInterval, [this] { this->tick(); });
    this->timers.subscribe(changeReportInterval, [this] { this->reportChanges(); });
    this->timers.subscribe(zoneReportInterval, [this] { this->reportToOtherZones(); });
    this->timers.subscribe(ViewSynchronizer::tickInterval, [this] { this->view.tick(); });
    this->timers.subscribe(idleSweepInterval, [this] {
        this->callerServer.sweep();
        this->readinessServer.sweep();
    });
    if (const std::error_code error = this->coordinator.start()) {
        return error;
    }
    if (const std::error_code error = this->callerServer.start()) {
        return error;
    }
    if (const std::error_code error = this->readinessServer.start()) {
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

void RoutingProcess::applyFleetState(const std::shared_ptr<const routing::FleetState> &state)
{
    if (state->routeTable != nullptr) {
        const routing::RequestLimits &limits = state->routeTable->configuration().limits;
        if (limits != this->currentLimits) {
            this->currentLimits = limits;
            this->callerServer.setLimits(toCallerLimits(limits, this->settings.descriptors));
        }
    }
    this->forwarder.handle(routing::FleetStateChanged {state});
    this->journalReadinessChange();
}

bool RoutingProcess::ready() const
{
    const std::shared_ptr<const routing::FleetState> state = this->view.state();
    return !this->stopping && state->routeTable != nullptr && !state->upstreams.empty();
}

void RoutingProcess::journalReadinessChange()
{
    const bool now = this->ready();
    if (this->lastReady.exchange(now) != now) {
        this->journal.record({journal::EventId::ReadinessChanged, {{"ready", now ? "yes" : "no"}}});
    }
}

void RoutingProcess::respondReadiness(const http::ServerRequest &request,
                                      const http::ExchangePtr &exchange)
{
    if (request.path != this->settings.readyPath) {
        exchange->respond(statusNotFound, http::Headers {}, "");
        return;
    }
    exchange->respond(this->ready() ? statusOk : statusUnavailable, http::Headers {}, "");
}

void RoutingProcess::respondMetrics(const http::ExchangePtr &exchange)
{
    const routing::RouterStatus status = this->forwarder.status();
    std::ostringstream text;
    text << this->registry.exposition();
    text << "azurespindle_open_requests " << status.openRequests << "\n"
         << "azurespindle_queued_requests " << status.queuedRequests << "\n"
         << "azurespindle_moving_generations " << status.migratingGenerations << "\n"
         << "azurespindle_moves_begun_total " << status.migrationsStarted << "\n"
         << "azurespindle_moves_done_total " << status.migrationsCompleted << "\n"
         << "azurespindle_generations_lost_total " << status.generationsLost << "\n"
         << "azurespindle_view_revision " << this->view.revision() << "\n"
         << "azurespindle_ready " << (this->ready() ? 1 : 0) << "\n"
         << "azurespindle_publisher_away " << (this->view.publisherUnreachable() ? 1 : 0) << "\n";
    exchange->respond(statusOk, http::Headers {{"content-type", "text/plain; version=0.0.4"}},
                      text.str());
}

void RoutingProcess::sendToZone(const members::Message &message)
{
    for (const std::string &member : this->relay.ownZoneMembers()) {
        if (member != this->settings.name) {
            this->coordinator.send(member, message);
        }
    }
}

void RoutingProcess::tick()
{
    const Instant now = monotonicNow();
    this->relay.setMembers(this->coordinator.activeMembers(), now);
    this->view.electReader(this->relay.ownZoneMembers(), this->settings.name);
    const bool full = this->reportTicks % ticksPerFullReport == 0;
    const bool due = full || this->reportTicks % ticksPerHeartbeat == 0;
    this->reportTicks += 1;
    {
        const std::lock_guard lock(this->reportMutex);
        std::vector<routing::UpstreamObservation> notes = this->forwarder.takeNotes();
        if (due || !notes.empty()) {
            this->sendReport(full, this->forwarder.takeChangedClaims(), std::move(notes));
        }
    }
    this->forwarder.handle(routing::StoreAvailabilityChanged {this->view.publisherUnreachable()});
    const std::size_t known = this->coordinator.allMembers().size();
    const bool joining = now - this->started < joinPeriod;
    this->forwarder.handle(
        routing::ProcessesChanged {joining ? std::max(known, assumedProcessesWhileJoining) : known,
                                   this->relay.silentZones(now)});
    if (const std::uint64_t droppedLines = journal::takeDroppedLines()) {
        this->journal.record(
            {journal::EventId::LogLinesDropped, {{"count", std::to_string(droppedLines)}}});
    }
}

void RoutingProcess::reportChanges()
{
    const std::lock_guard lock(this->reportMutex);
    std::vector<decision::UpstreamClaim> changed = this->forwarder.takeChangedClaims();
    if (!changed.empty()) {
        this->sendReport(false, std::move(changed), this->forwarder.takeNotes());
    }
}

void RoutingProcess::sendReport(bool full, std::vector<decision::UpstreamClaim> changed,
                                std::vector<routing::UpstreamObservation> notes)
{
    members::RouterReport report;
    report.complete = full;
    report.viewRevision = this->view.revision();
    report.readsStore = this->view.readsStore();
    report.claims = full ? this->forwarder.claims() : std::move(changed);
    report.observations = std::move(notes);
    report.requestCounts = this->forwarder.arrivals();
    for (const std::string &member : this->relay.reportRecipients()) {
        this->coordinator.send(member, report);
    }
}

void RoutingProcess::reportToOtherZones()
{
    const std::vector<std::string> recipients = this->relay.remoteRelays();
    if (recipients.empty()) {
        return;
    }
    members::ZoneReport report = this->forwarder.zoneReport();
    report.zone = this->settings.zone;
    for (const std::string &member : recipients) {
        this->coordinator.send(member, report);
    }
}

void RoutingProcess::handleZoneReport(const std::string &from, const members::ZoneReport &report)
{
    if (report.zone == this->settings.zone) {
        return; // It knows its own zone better.
    }
    this->relay.recordZoneHeard(report.zone, monotonicNow());
    this->forwarder.handle(routing::ZoneReportArrived {report.zone, report.processCount,
                                                       report.claims, report.requestCounts});
    if (this->relay.forwardsFrom(from)) {
        this->sendToZone(report);
    }
}

std::size_t RoutingProcess::stopGracefully()
{
    this->journal.record({journal::EventId::ProcessStopping, {{"member", this->settings.name}}});
    this->stopping = true;
    this->journalReadinessChange();
    const Instant stopStarted = monotonicNow();
    const Instant deadline = stopStarted + this->settings.bounds.stopTime - stopReserve;
    this->forwarder.handle(routing::StopRequested {});
    this->coordinator.leave();
    this->callerServer.drain();
    const auto mustKeepServing = [&] {
        return monotonicNow() - stopStarted < balancerRemovalTime
            || this->forwarder.status().openRequests > 0 || this->callerServer.openExchanges() > 0;
    };
    while (mustKeepServing() && monotonicNow() < deadline) {
        std::this_thread::sleep_for(stopPollInterval);
    }
    // What arrives between the last answer and the exit is refused rather than cut.
    this->forwarder.rejectNewRequests();
    const auto hasOpenRequests = [&] {
        return this->forwarder.status().openRequests > 0 || this->callerServer.openExchanges() > 0;
    };
    while (hasOpenRequests() && monotonicNow() < deadline) {
        std::this_thread::sleep_for(stopPollInterval);
    }
    const std::size_t cut = this->forwarder.status().openRequests;
    this->forwarder.abortAll();
    std::this_thread::sleep_for(flushTime);
    this->journal.record({journal::EventId::ProcessStopped,
                          {{"member", this->settings.name}, {"cut", std::to_string(cut)}}});
    this->stop();
    return cut;
}

void RoutingProcess::stop()
{
    // Whoever forwarder back is stopped before what it forwarder.
    this->view.stop();
    this->timers.stop();
    this->client.stop();
    this->coordinator.stop();
    this->callerServer.stop();
    this->readinessServer.stop();
    if (this->metricsServer != nullptr) {
        this->metricsServer->stop();
    }
}

} // namespace azurespindle::serving
