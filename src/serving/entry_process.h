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

/// An entry process of the dispatcher, which places generations and service calls under leases. It
/// brings together everything that runs on one entry VM: caller APIs, pools, membership, leases,
/// engine orders and telemetry.
///
///     EntryProcess process(settings);
///     if (std::error_code error = process.start())
///         return fail(error);
///     waitForSignal();
///     process.stopGracefully();
class EntryProcess
{
public:
    /// \param reachable returns whether frames of a member get through; see members::PeerCallbacks.
    ///     If empty, those of all members do.
    explicit EntryProcess(settings::Settings settings,
                          std::function<bool(const std::string &member)> reachable = {});
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    // Commands

    /// Opens the servers and starts all threads. \return why it failed, or no error.
    std::error_code start();
    /// Refuses new requests, waits at most Settings::stopTimeout for open ones to end, then stops.
    /// \return the number of requests that were aborted; 0 unless the timeout ran out.
    std::size_t stopGracefully();

    // Queries

    std::uint16_t callerPort() const { return this->server.port(); }
    std::uint16_t memberPort() const { return this->coordinator.port(); }

private:
    void route(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void applyDocument(members::DocumentKind kind, const nlohmann::json &document);
    /// Updates which upstreams this process manages, after members or documents changed.
    void refreshAssignments();
    void stop();
    members::MemberRecord makeSelfRecord() const;

    const settings::Settings settings;
    const std::uint64_t incarnation; ///< Wall-clock time at the start, in milliseconds.
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
    std::mutex mutex; ///< Guards directoryUpdater.
    DirectoryUpdater directoryUpdater;
};

} // namespace azurespindle::serving

#endif
