#ifndef AZURESPINDLE_SERVING_ROUTING_PROCESS_H
#define AZURESPINDLE_SERVING_ROUTING_PROCESS_H

#include "http/client.h"
#include "http/server.h"
#include "journal/journal.h"
#include "members/coordinator.h"
#include "metrics/registry.h"
#include "routing/platform_adapter.h"
#include "serving/request_forwarder.h"
#include "serving/view_synchronizer.h"
#include "serving/zone_relay.h"
#include "settings/routing_settings.h"
#include "timer/timer_service.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace azurespindle::serving {

/// Makes what the router needs of the platform it runs on.
using PlatformAdapterFactory = std::function<routing::PlatformAdapter(
    const settings::RoutingSettings &settings, http::Client &client, metrics::Registry &registry)>;

/// One process that routes requests by published routes: everything on one entry VM.
///
///     RoutingProcess process(settings, platform::makePlatformAdapter);
///     if (std::error_code error = process.start())
///         return fail(error);
///     waitForSignal();
///     process.stopGracefully();
class RoutingProcess
{
public:
    RoutingProcess(settings::RoutingSettings settings,
                   const PlatformAdapterFactory &makePlatformAdapter);
    ~RoutingProcess();
    RoutingProcess(const RoutingProcess &) = delete;
    RoutingProcess &operator=(const RoutingProcess &) = delete;

    // Commands

    std::error_code start();
    /// Takes over what may change while the process runs: the seeds.
    void reload(const settings::RoutingSettings &settings);
    /// Says that it is not ready, lets open requests end, then stops.
    /// \return the number of requests that were cut.
    std::size_t stopGracefully();

    // Queries

    /// Returns true if the process can take callers.
    bool ready() const;

private:
    void applyFleetState(const std::shared_ptr<const routing::FleetState> &state);
    void respondReadiness(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void respondMetrics(const http::ExchangePtr &exchange);
    void tick();
    /// Tells the listeners at once what changed.
    void reportChanges();
    void sendReport(bool full, std::vector<decision::UpstreamClaim> changed,
                    std::vector<routing::UpstreamObservation> notes);
    void journalReadinessChange();
    void sendToZone(const members::Message &message);
    void reportToOtherZones();
    void handleZoneReport(const std::string &from, const members::ZoneReport &report);
    members::CoordinatorHooks coordinatorHooks();
    void stop();

    const settings::RoutingSettings settings;
    const settings::Settings memberSettings;
    const Instant started;
    journal::Journal journal;
    metrics::Registry registry;
    timer::TimerService timers;
    http::Client client;
    const routing::PlatformAdapter platformPort;
    std::atomic<bool> stopping {false};
    std::atomic<bool> lastReady {false};
    /// Held from the taking of changes to their sending, so that none overtakes another.
    std::mutex reportMutex;
    std::uint64_t reportTicks = 0;        ///< Touched by the timer's thread only.
    routing::RequestLimits currentLimits; ///< Touched while a state is taken over only.
    RequestForwarder forwarder;
    ZoneRelay relay;
    members::Coordinator coordinator;
    ViewSynchronizer view;
    http::Server callerServer;
    http::Server readinessServer;
    std::unique_ptr<http::Server> metricsServer;
};

} // namespace azurespindle::serving

#endif
