#ifndef AZURESPINDLE_SERVING_ENTRY_PROCESS_H
#define AZURESPINDLE_SERVING_ENTRY_PROCESS_H

#include "callers/completion_api.h"
#include "callers/operator_api.h"
#include "callers/service_api.h"
#include "http/client.h"
#include "http/server.h"
#include "journal/journal.h"
#include "members/coordinator.h"
#include "metrics/registry.h"
#include "serving/directory_updater.h"
#include "serving/lease_service.h"
#include "serving/order_service.h"
#include "serving/pool_manager.h"
#include "settings/settings.h"
#include "timer/timer_service.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace azurespindle::serving {

/// One entry process: everything between the callers and the upstreams, on one VM.
///
///     EntryProcess process(settings);
///     if (std::error_code error = process.start())
///         return fail(error);
///     waitForSignal();
///     process.stopGracefully();
class EntryProcess
{
public:
    /// \a reachable tells which members' frames get through; see members::PeerCallbacks.
    explicit EntryProcess(settings::Settings settings,
                          std::function<bool(const std::string &member)> reachable = {});
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    // Commands

    std::error_code start();
    /// Takes no new work, waits for open requests to end (at most stopTimeout), then stops.
    /// \return the number of requests that were cut; 0 in every planned stop that had its time.
    std::size_t stopGracefully();

    // Queries

    std::uint16_t callerPort() const { return this->server.port(); }
    std::uint16_t memberPort() const { return this->coordinator.port(); }

private:
    void route(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void applyDocument(members::DocumentKind kind, const nlohmann::json &document);
    /// Takes over which upstreams fall to this process, after members or documents changed.
    void refreshAssignments();
    void stop();
    members::MemberRecord makeSelfRecord() const;

    const settings::Settings settings;
    const std::uint64_t incarnation; ///< Milliseconds of wall-clock time at the start.
    journal::Journal journal;
    metrics::Registry registry;
    timer::TimerService timers;
    http::Client client;
    std::atomic<bool> stopping {false};
    PoolManager poolManager;
    members::Coordinator coordinator;
    LeaseService leases;
    OrderService orders;
    callers::CompletionApi completions;
    callers::ServiceApi services;
    callers::OperatorApi operators;
    http::Server server;
    std::mutex mutex; ///< Guards the one below.
    DirectoryUpdater directoryUpdater;
};

} // namespace azurespindle::serving

#endif
