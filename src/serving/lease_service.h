#ifndef AZURESPINDLE_SERVING_LEASE_SERVICE_H
#define AZURESPINDLE_SERVING_LEASE_SERVICE_H

#include "decision/lease_manager.h"
#include "decision/rollout_controller.h"
#include "http/client.h"
#include "journal/journal.h"
#include "members/coordinator.h"
#include "serving/directory.h"
#include "serving/pool_runner.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace azurespindle::serving {

/// Requests leases on upstreams for the pools of this process, and grants leases on the upstreams
/// that this process manages.
///
/// Each upstream is managed by one member of the fleet. The manager also polls the load of its
/// engines and sends the last report with each grant, so that an engine is polled by one process
/// however many use it. Thread-safe.
class LeaseService
{
public:
    /// Interval at which the load of an engine is polled.
    static constexpr milliseconds loadInterval {2'000};

    using PostToPool = std::function<void(const std::string &pool, decision::Event event)>;
    /// Called with what an engine reported, without the service's lock held.
    using OnObservation = std::function<void(const decision::EngineObservation &observation)>;

    /// \param holder name and incarnation of this process, under which it holds leases.
    LeaseService(std::string holder, members::Coordinator &coordinator, http::Client &client,
                 metrics::Registry &registry, journal::Journal &journal, PostToPool postToPool,
                 OnObservation onObservation);

    // Commands

    /// Updates which upstreams exist and which of them this process manages.
    void refresh(const Directory &directory);
    /// Passes a pool's request to the manager of the upstream.
    void requestLease(const std::string &pool, const decision::AskLease &ask);
    /// Answers the lease requests of the member \a from.
    void onLeaseRequests(const std::string &from, const members::LeaseRequests &requests);
    /// Passes grants of other members to the pools.
    void onLeaseGrants(const members::LeaseGrants &grants);
    /// Starts or stops granting leases on a managed engine. An engine that the configuration takes
    /// out of service gets none in either case.
    void setAccepting(const std::string &upstream, bool accepting);
    /// Treats a managed engine as cold, because it loaded a new image.
    void markCold(const std::string &upstream);
    /// Polls the load of the managed engines, lowers unused limits and drops silent lease holders.
    void tick();

    // Queries

    /// Concurrency of an upstream that this process manages, in attempts.
    struct ManagedUpstream
    {
        std::string upstream;
        std::uint32_t limit = 0;     ///< Fleet-wide limit.
        std::uint32_t committed = 0; ///< What the lease holders may have running.
    };
    std::vector<ManagedUpstream> managedUpstreams() const;
    /// Returns the name of the member that manages \a upstream; empty if the upstream is unknown.
    std::string managerOf(const std::string &upstream) const;

private:
    struct UpstreamState
    {
        std::string pool;
        std::string manager; ///< Name of the member that manages it.
        settings::Address address;
        bool engine = true;
        decision::Condition condition = decision::Condition::Serving;
        bool accepting = true;    ///< False while an order keeps it from new requests.
        bool readPending = false; ///< A poll of its load is in flight.
        bool hasReport = false;
        decision::EngineReport report;
    };

    members::GrantWithReport issueGrant(const decision::LeaseRequest &request);
    void applyGrant(const members::GrantWithReport &granted);
    void readLoad(const std::string &upstream, const settings::Address &address);
    void handleLoad(const std::string &upstream, const std::string &body);
    void updateCondition(const std::string &upstream, const UpstreamState &state);
    void recordAll(std::vector<journal::Entry> entries);

    const std::string holder;
    members::Coordinator &coordinator;
    http::Client &client;
    metrics::Registry &registry;
    journal::Journal &journal;
    const PostToPool postToPool;
    const OnObservation onObservation;
    mutable std::mutex mutex; ///< Guards the members below.
    decision::LeaseManager leaseManager;
    std::map<std::string, UpstreamState> upstreams;
};

} // namespace azurespindle::serving

#endif
