#include "serving/routing_process.h"

#include "serving/forecast_metrics.h"
#include "serving/forwarder_metrics.h"

#include <algorithm>
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
constexpr milliseconds stopPollInterval {20};
/// The load balancer stops sending to a process after two failed checks, one second apart.
constexpr milliseconds balancerRemovalTime {2'300};
/// Time that is reserved for sending the last responses and exiting, if the stop time allows it.
constexpr milliseconds maxStopReserve {800};
/// Part of the stop time that may be reserved at most.
constexpr int stopReserveDivisor = 8;
/// Processes assumed in the fleet during joinPeriod, as not all members are known yet.
constexpr std::size_t assumedProcessesWhileJoining = 12;
constexpr seconds joinPeriod {6};
/// Time after the start in which this process may not know the other processes yet.
constexpr seconds discoveryPeriod {2};
/// Time for which the metrics wait for the state of the requests. It is left out if requests make
/// no progress.
constexpr milliseconds statusLockTimeout {200};
/// Steps in which the capacity of a VM is told to the others.
constexpr double processorShareStep = 0.1;
constexpr double linkMegabitsStep = 10.0;
/// Share of the file descriptors for callers' connections, each of which may need a connection to
/// an upstream as well.
constexpr double callerDescriptorShare = 0.45;
constexpr double bytesPerMegabyte = 1'048'576.0;
/// Share of the VM's memory for callers' input. An idle process uses 16 MB and buffered responses
/// up to 16 MB more, which leaves at least 23 MB of the smallest VM (88 MB) to everything else.
constexpr double inputMemoryShare = 0.375;
/// Memory for the input of the readiness and metrics servers, each.
constexpr std::size_t operatorInputBytes = 2'097'152;

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

/// Returns MemberRecord::capacity of a process: the scarcer of its processor and its link.
std::uint32_t capacityOf(const settings::RoutingSettings &settings)
{
    return static_cast<std::uint32_t>(std::min(settings.processorShare / processorShareStep,
                                               settings.linkMegabits / linkMegabitsStep));
}

members::MemberRecord makeSelfRecord(const settings::RoutingSettings &settings)
{
    return {settings.name,
            settings.zone,
            settings.announcedMemberAddress.value_or(settings.memberAddress).text(),
            settings.callerAddress.text(),
            wallClockMilliseconds(),
            members::MemberState::Alive,
            capacityOf(settings)};
}

settings::CallerLimits toCallerLimits(const routing::RequestLimits &limits,
                                      const settings::RoutingSettings &settings)
{
    settings::CallerLimits callerLimits;
    callerLimits.headerBytes = limits.headerBytes;
    callerLimits.bodyBytes = limits.bodyBytes;
    callerLimits.connections = static_cast<std::size_t>(
        callerDescriptorShare * static_cast<double>(settings.descriptors));
    callerLimits.inputBytes
        = static_cast<std::size_t>(inputMemoryShare * settings.memoryMegabytes * bytesPerMegabyte);
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
            {bounds.retryShare, bounds.retryBurst, bounds.retryWindow},
            settings.name};
}

settings::CallerLimits operatorServerLimits()
{
    settings::CallerLimits limits;
    limits.connections = 64;
    limits.headerBytes = 16'384;
    limits.bodyBytes = 16'384;
    limits.inputBytes = operatorInputBytes;
    return limits;
}

} // namespace

RoutingProcess::RoutingProcess(settings::RoutingSettings initialSettings,
                               const PlatformAdapterFactory &makeAdapter)
    : settings(std::move(initialSettings)), memberSettings(toMemberSettings(this->settings)),
      startTime(monotonicNow()), adapter(makeAdapter(this->settings, this->client, this->registry)),
      callerRefusals(this->journal),
      forwarder(
          toRouterOptions(this->settings), this->adapter, this->client, this->registry,
          this->journal,
          {[this](const routing::BroadcastCrash &crash) {
               this->coordinator.broadcastCrash(
                   {"", crash.fingerprint, crash.upstream, crash.incarnation,
                    crash.cleared ? members::CrashStatus::Cleared : members::CrashStatus::Suspected,
                    crash.parts});
           },
           [this] { this->reporter.reportPlacement(); },
           [this] { return this->callerServer.unsentBytes(); }}),
      relay(this->settings.name, this->settings.zone),
      coordinator(this->memberSettings, makeSelfRecord(this->settings), this->client, this->timers,
                  this->registry, this->journal, this->coordinatorHooks()),
      view(this->adapter.decodeItem, this->adapter.store, this->timers, this->registry,
           this->journal,
           {[this](const auto &state) { this->applyFleetState(state); },
            [this](const std::string &member, const members::Message &message) {
                this->coordinator.send(member, message);
            },
            [this](const members::ViewChanges &changes) { this->sendToZone(changes); }}),
      reporter(this->settings.name, this->settings.zone, this->forwarder, this->view, this->relay,
               this->reporterHooks()),
      callerServer(
          this->settings.callerAddress, toCallerLimits(routing::RequestLimits {}, this->settings),
          1,
          [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
              this->forwarder.handleRequest(request, exchange);
          },
          [this](const http::CallerRefusal &refusal) { this->callerRefusals.record(refusal); }),
      readinessServer(
          this->settings.readyAddress, operatorServerLimits(), 1,
          [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
              this->respondReadiness(request, exchange);
          }),
      progress(this->requestPath(), this->progressHooks())
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
    hooks.onCrashReport = [this](const members::CrashReport &report, seconds age) {
        this->forwarder.handle(routing::PeerCrashReported {
            {report.fingerprint, report.source, report.number, report.parts,
             report.status == members::CrashStatus::Cleared},
            age});
    };
    hooks.onRouterReport = [this](const std::string &from, const members::RouterReport &report) {
        this->reporter.handle(from, report);
    };
    hooks.onZoneReport = [this](const std::string &from, const members::ZoneReport &report) {
        this->reporter.handle(from, report);
    };
    hooks.onFleetReport = [this](const std::string &from, const members::FleetReport &report) {
        this->reporter.handle(from, report);
    };
    hooks.onPlacementNotice
        = [this](const members::PlacementNotice &notice) { this->reporter.handle(notice); };
    hooks.onViewStatus = [this](const std::string &from, const members::ViewStatus &status) {
        this->reporter.handle(from, status);
    };
    hooks.onViewRequest = [this](const std::string &from, const members::ViewRequest &request) {
        this->view.sendChanges(from, request);
    };
    hooks.onViewChanges
        = [this](const std::string &from, const members::ViewChanges &changes, std::size_t bytes) {
              this->view.applyChanges(changes, {from, bytes});
          };
    return hooks;
}

FleetReporterHooks RoutingProcess::reporterHooks()
{
    return {[this](const std::string &member, const members::Message &message) {
                this->coordinator.send(member, message);
            },
            [this](const std::vector<std::string> &members, const members::Message &message) {
                this->coordinator.sendToAll(members, message);
            }};
}

std::error_code RoutingProcess::start()
{
    this->timers.subscribe(routing::Router::tickInterval, [this] {
        this->forwarder.handle(routing::TimePassed {});
        this->timerRounds += 1;
    });
    this->timers.subscribe(FleetReporter::tickInterval, [this] { this->tick(); });
    this->timers.subscribe(FleetReporter::changeInterval,
                           [this] { this->reporter.reportChanges(); });
    this->timers.subscribe(FleetReporter::totalsInterval,
                           [this] { this->reporter.reportTotals(); });
    this->timers.subscribe(ViewSynchronizer::tickInterval, [this] { this->view.tick(); });
    this->timers.subscribe(idleSweepInterval, [this] {
        this->callerServer.enforceTimeouts(this->forwarder.isMemoryShort());
        this->readinessServer.enforceTimeouts();
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
    this->progressTimers.subscribe(ProgressMonitor::tickInterval,
                                   [this] { this->progress.tick(monotonicNow()); });
    this->progressTimers.start();
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
            this->callerServer.setLimits(toCallerLimits(limits, this->settings));
        }
    }
    this->forwarder.handle(routing::FleetStateChanged {state});
    this->journalReadinessChange();
}

bool RoutingProcess::ready() const
{
    const std::shared_ptr<const routing::FleetState> state = this->view.state();
    return !this->stopping && !this->progress.stalled() && state->routeTable != nullptr
        && !state->upstreams.empty();
}

std::vector<MonitoredStage> RoutingProcess::requestPath()
{
    return {
        {"callers",
         [this](const std::function<void()> &done) {
             this->callerServer.probe([this, done] {
                 this->forwarder.passLock();
                 done();
             });
         },
         [this] { return this->callerServer.progress(); }},
        {"upstreams",
         [this](const std::function<void()> &done) {
             this->client.post([this, done] {
                 this->forwarder.passLock();
                 done();
             });
         },
         [this] { return this->client.progress(); }},
        {"timers",
         [this](const std::function<void()> &done) { this->timers.after(milliseconds(0), done); },
         [this] { return this->timerRounds.load(); }}};
}

ProgressMonitorHooks RoutingProcess::progressHooks()
{
    return {[this](const std::string &stage, milliseconds duration) {
                this->journal.record(
                    {journal::EventId::RequestPathStalled,
                     {{"stage", stage}, {"stalledMs", std::to_string(duration.count())}}});
                this->journalReadinessChange();
            },
            [this] { this->journalReadinessChange(); }};
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
    std::ostringstream text;
    text << this->registry.exposition();
    text << this->callerRefusals.exposition();
    text << "azurespindle_view_revision " << this->view.revision().number << "\n"
         << "azurespindle_store_era " << this->view.revision().era << "\n"
         << "azurespindle_caller_input_bytes " << this->callerServer.inputBytes() << "\n"
         << "azurespindle_ready " << (this->ready() ? 1 : 0) << "\n"
         << "azurespindle_request_path_stalled " << (this->progress.stalled() ? 1 : 0) << "\n"
         << "azurespindle_request_path_stalls_total " << this->progress.stallCount() << "\n"
         << "azurespindle_unsent_bytes " << this->callerServer.unsentBytes() << "\n"
         << "azurespindle_publisher_away " << (this->view.storeUnavailable() ? 1 : 0) << "\n";
    if (const auto status = this->forwarder.statusWithin(statusLockTimeout)) {
        writeForwarderMetrics(*status, text);
        text << forecastExposition(status->forecastErrors);
    }
    exchange->respond(statusOk, http::Headers {{"content-type", "text/plain; version=0.0.4"}},
                      text.str());
}

void RoutingProcess::sendToZone(const members::Message &message)
{
    std::vector<std::string> others = this->relay.ownZoneMembers();
    std::erase(others, this->settings.name);
    this->coordinator.sendToAll(others, message);
}

void RoutingProcess::updateMembers(Instant now)
{
    const std::uint64_t changes = this->coordinator.memberChanges();
    if (this->lastProcessNames != nullptr && changes == this->lastMemberChanges) {
        return;
    }
    this->lastMemberChanges = changes;
    const std::vector<members::MemberRecord> active = this->coordinator.activeMembers();
    std::vector<std::string> names;
    names.reserve(active.size());
    for (const members::MemberRecord &member : active) {
        names.push_back(member.name);
    }
    this->relay.setMembers(active, now);
    this->lastProcessNames = std::make_shared<const std::vector<std::string>>(std::move(names));
    this->knownProcesses = this->coordinator.allMembers().size();
}

void RoutingProcess::tick()
{
    const Instant now = monotonicNow();
    this->updateMembers(now);
    this->view.updateReaderRole(this->relay.ownZoneMembers(), this->settings.name);
    this->reporter.tick();
    this->forwarder.handle(routing::StoreAvailabilityChanged {this->view.storeUnavailable()});
    const bool joining = now - this->startTime < joinPeriod;
    const bool discovering = now - this->startTime < discoveryPeriod;
    this->forwarder.handle(routing::ProcessesChanged {
        joining ? std::max(this->knownProcesses, assumedProcessesWhileJoining)
                : this->knownProcesses,
        this->relay.silentZones(now), discovering ? nullptr : this->lastProcessNames});
    if (const std::uint64_t droppedLines = journal::takeDroppedLineCount()) {
        this->journal.record(
            {journal::EventId::LogLinesDropped, {{"count", std::to_string(droppedLines)}}});
    }
}

std::size_t RoutingProcess::stopGracefully()
{
    this->journal.record({journal::EventId::ProcessStopping, {{"member", this->settings.name}}});
    this->stopping = true;
    this->journalReadinessChange();
    const Instant stopStarted = monotonicNow();
    const milliseconds stopTimeout = this->settings.bounds.stopTimeout;
    const milliseconds reserve = std::min(maxStopReserve, stopTimeout / stopReserveDivisor);
    const Instant requestsEndAt = stopStarted + stopTimeout - reserve;
    this->forwarder.handle(routing::StopRequested {requestsEndAt});
    this->coordinator.leave();
    this->callerServer.drain();
    const auto hasOpenRequests = [&] {
        return this->forwarder.status().openRequests > 0 || this->callerServer.openExchanges() > 0;
    };
    const auto waitWhile = [](const std::function<bool()> &condition, Instant until) {
        while (condition() && monotonicNow() < until) {
            std::this_thread::sleep_for(stopPollInterval);
        }
    };
    waitWhile(
        [&] { return monotonicNow() - stopStarted < balancerRemovalTime || hasOpenRequests(); },
        requestsEndAt);
    // Requests that arrive between the last response and the exit are rejected, not aborted.
    this->forwarder.rejectNewRequests();
    waitWhile(hasOpenRequests, requestsEndAt);
    this->forwarder.handle(routing::StopTimedOut {});
    const std::size_t cut = this->forwarder.status().streamsCutByStop;
    this->callerServer.stop();
    this->journal.record({journal::EventId::ProcessStopped,
                          {{"member", this->settings.name},
                           {"cut", std::to_string(cut)},
                           {"unsent", std::to_string(this->callerServer.openExchanges())}}});
    this->stop();
    return cut;
}

void RoutingProcess::stop()
{
    // Components that call back are stopped before those that they call.
    this->progressTimers.stop();
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
