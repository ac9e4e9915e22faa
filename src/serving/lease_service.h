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

/// Both sides of the leases: asks the stewards of upstreams for room on behalf of the pools, and
/// stewards the upstreams that fall to this process.
///
/// A steward also reads the load of its engines and sends it along with each grant, so that an
/// engine is read by one process however many use it.
class LeaseService
{
public:
    /// Between two readings of an engine's load.
    static constexpr milliseconds loadInterval {2'000};

    using PostToPool = std::function<void(const std::string &pool, decision::Event event)>;
    /// Told what an engine says of itself, without the service's lock.
    using OnEngineState = std::function<void(const decision::EngineObservation &seen)>;

    LeaseService(std::string holder, members::Coordinator &coordinator, http::Client &client,
                 metrics::Registry &registry, journal::Journal &journal, PostToPool postToPool,
                 OnEngineState onEngineState);

    // Commands

    /// Takes over which upstreams there are, and which of them fall to this process.
    void refresh(const Directory &directory);
    /// Carries a pool's request to the steward.
    void requestLease(const std::string &pool, const decision::AskLease &ask);
    void onLeaseRequests(const std::string &from, const members::LeaseRequests &requests);
    void onLeaseGrants(const members::LeaseGrants &grants);
    /// Begins or ceases to lease a stewarded engine, whatever the configuration says of it.
    void setAccepting(const std::string &upstream, bool accepting);
    /// Takes an engine that loaded something new for a cold one.
    void markCold(const std::string &upstream);
    /// Reads the load of the stewarded engines and lets time pass.
    void tick();

    // Queries

    /// Returns the limit and what is committed of each stewarded upstream.
    struct ManagedUpstream
    {
        std::string upstream;
        std::uint32_t limit = 0;
        std::uint32_t committed = 0;
    };
    std::vector<ManagedUpstream> managedUpstreams() const;
    std::string managerOf(const std::string &upstream) const;

private:
    struct UpstreamState
    {
        std::string pool;
        std::string steward;
        settings::Address address;
        bool engine = true;
        decision::Condition condition = decision::Condition::Serving;
        bool accepting = true; ///< No order keeps it from taking new work.
        bool loadReadPending = false;
        bool hasReport = false;
        decision::EngineReport report;
    };

    members::GrantWithReport issueGrant(const decision::LeaseRequest &request);
    void applyGrant(const members::GrantWithReport &granted);
    void readLoad(const std::string &upstream, const settings::Address &address);
    void handleLoad(const std::string &upstream, const std::string &body);
    void updateCondition(const std::string &upstream, const UpstreamState &known);
    void recordAll(std::vector<journal::Entry> entries);

    const std::string holder;
    members::Coordinator &coordinator;
    http::Client &client;
    metrics::Registry &registry;
    journal::Journal &journal;
    const PostToPool postToPool;
    const OnEngineState onEngineState;
    mutable std::mutex mutex; ///< Guards the members below.
    decision::LeaseManager steward;
    std::map<std::string, UpstreamState> upstreams;
};

} // namespace azurespindle::serving

#endif
