#ifndef AZURESPINDLE_SERVING_DIRECTORY_H
#define AZURESPINDLE_SERVING_DIRECTORY_H

#include "configuration/document.h"
#include "configuration/vm_list.h"
#include "decision/events.h"
#include "decision/rollout_controller.h"
#include "settings/settings.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::serving {

/// An upstream with its address and pool.
struct DirectoryEntry
{
    decision::ListedUpstream listed; ///< As pools see it: name, zone, condition and policy.
    settings::Address address;
    std::string pool;
    bool engine = true; ///< False for an upstream of a plain service.
};

/// Pools and upstreams that follow from the configuration and the VM list. Immutable once built.
struct Directory
{
    configuration::Document configuration;
    configuration::VmList vmList;
    /// Upstreams by pool. The name of a pool is that of a model, or "service:" and that of a
    /// service.
    std::map<std::string, std::vector<DirectoryEntry>> pools;
    std::map<std::string, DirectoryEntry> upstreams; ///< By name.

    /// Returns the event that lists all upstreams of a pool.
    decision::UpstreamsListed listing(const std::string &pool) const;
    /// Returns the event that lists the upstreams of a pool that a process in \a zone uses.
    decision::UpstreamsListed subsetFor(const std::string &process, const std::string &zone,
                                        const std::string &pool) const;
    /// Returns how many upstreams of one pool a process uses at most.
    std::size_t upstreamsPerPool() const;
    /// Returns the event that informs a pool of the workspaces' policies.
    decision::PoliciesChanged policies() const;
    /// Returns the image that an engine should have loaded according to the configuration.
    decision::DesiredImage desiredImage(const DirectoryEntry &entry) const;
    /// Returns the number of engines of all pools.
    std::size_t engineCount() const;
    std::optional<configuration::Service> service(const std::string &name) const;
    /// Returns why the entry VM \a name in \a zone takes no new requests; empty if it does.
    std::string unavailableReason(const std::string &name, const std::string &zone) const;
};

/// Upstreams that one process uses over all model pools together, as long as each pool has at least
/// minUpstreamsPerPool. Limited, because each costs it a lease.
constexpr std::size_t targetUpstreamsPerProcess = 20;

/// Upstreams of a pool that a process uses at least, even if they are in another region.
constexpr std::size_t minUpstreamsPerPool = 4;

/// Returns whether a zone is in the same region as the process.
using IsSameRegion = std::function<bool(const std::string &zone)>;

/// Returns the listing reduced to at most \a limit serving upstreams, chosen by rendezvous hashing
/// with the name \a process, so that each process uses a few upstreams and each upstream is used by
/// a few processes. Upstreams that are not serving are always kept. Upstreams of other regions are
/// used only if there are fewer than minUpstreamsPerPool in the same region.
decision::UpstreamsListed rendezvousSubset(const decision::UpstreamsListed &listing,
                                           const std::string &process, std::size_t limit,
                                           const IsSameRegion &isSameRegion);

/// Returns the name of a plain service's pool.
std::string servicePoolName(const std::string &service);

/// Builds the directory. Upstreams of a model or service that is not in the configuration are left
/// out.
Directory buildDirectory(const configuration::Document &document,
                         const configuration::VmList &vmList);

} // namespace azurespindle::serving

#endif
