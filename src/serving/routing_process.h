#ifndef AZURESPINDLE_SERVING_ROUTING_PROCESS_H
#define AZURESPINDLE_SERVING_ROUTING_PROCESS_H

#include "http/client.h"
#include "http/server.h"
#include "journal/journal.h"
#include "members/coordinator.h"
#include "metrics/registry.h"
#include "routing/platform_adapter.h"
#include "serving/caller_refusals.h"
#include "serving/fleet_reporter.h"
#include "serving/progress_monitor.h"
#include "serving/request_forwarder.h"
#include "serving/view_synchronizer.h"
#include "serving/zone_relay.h"
#include "settings/routing_settings.h"
#include "timer/timer_service.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace azurespindle::serving {

/// Creates the adapter through which the router speaks to its platform.
using PlatformAdapterFactory = std::function<routing::PlatformAdapter(
    const settings::RoutingSettings &settings, http::Client &client, metrics::Registry &registry)>;

/// An entry process that routes requests by the routes that the platform publishes. It brings
/// together everything that runs on one entry VM: caller server, router, membership and telemetry.
///
///     RoutingProcess process(settings, platform::makePlatformAdapter);
///     if (std::error_code error = process.start())
///         return fail(error);
///     waitForSignal();
///     process.stopGracefully();
class RoutingProcess
{
public:
    RoutingProcess(settings::RoutingSettings settings, const PlatformAdapterFactory &makeAdapter);
    ~RoutingProcess();
    RoutingProcess(const RoutingProcess &) = delete;
    RoutingProcess &operator=(const RoutingProcess &) = delete;

    // Commands

    /// Opens the servers and starts all threads. \return why it failed, or no error.
    std::error_code start();
    /// Applies the settings that may change while the process runs, which is the seeds only.
    void reload(const settings::RoutingSettings &settings);
    /// Reports not ready, waits up to FleetBounds::stopTimeout for open requests, then stops.
    /// \return the number of streams that were cut because they were still running.
    std::size_t stopGracefully();

    // Queries

    /// Returns true if the process can serve callers: it is not stopping, routes and upstreams are
    /// known, and requests make progress.
    bool ready() const;

private:
    void applyFleetState(const std::shared_ptr<const routing::FleetState> &state);
    void respondReadiness(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void respondMetrics(const http::ExchangePtr &exchange);
    /// Runs every FleetReporter::tickInterval: updates membership and readers, and reports to peers
    /// when due.
    void tick();
    /// Takes over the members that the coordinator knows, if they have changed.
    void updateMembers(Instant now);
    void journalReadinessChange();
    std::vector<MonitoredStage> requestPath();
    ProgressMonitorHooks progressHooks();
    /// Sends a message to every other member of this process's zone.
    void sendToZone(const members::Message &message);
    members::CoordinatorHooks coordinatorHooks();
    FleetReporterHooks reporterHooks();
    void stop();

    const settings::RoutingSettings settings;
    const settings::Settings memberSettings;
    const Instant startTime;
    journal::Journal journal;
    metrics::Registry registry;
    timer::TimerService timers;
    http::Client client;
    const routing::PlatformAdapter adapter;
    std::atomic<bool> stopping {false};
    std::atomic<bool> lastReady {false};
    // What tick() last told of the members; used by the timers' thread only.
    std::uint64_t lastMemberChanges = 0;
    decision::ProcessNames lastProcessNames;
    std::size_t knownProcesses = 0;
    routing::RequestLimits
        currentLimits; ///< Limits last applied; accessed only while a fleet state is applied.
    CallerRefusals callerRefusals;
    RequestForwarder forwarder;
    ZoneRelay relay;
    members::Coordinator coordinator;
    ViewSynchronizer view;
    FleetReporter reporter;
    http::Server callerServer;
    http::Server readinessServer;
    std::unique_ptr<http::Server> metricsServer;
    std::atomic<std::uint64_t> timerRounds {0}; ///< Times that `timers` has served the router.
    ProgressMonitor progress;
    /// Runs the progress monitor, apart from `timers`, which waits for the forwarder's lock.
    timer::TimerService progressTimers;
};

} // namespace azurespindle::serving

#endif
