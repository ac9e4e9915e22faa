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

/// One upstream with its address.
struct DirectoryEntry
{
    decision::ListedUpstream listed;
    settings::Address address;
    std::string pool;
    bool engine = true;
};

/// What the configuration and the VM list together say. Immutable once built.
struct Directory
{
    configuration::Document configuration;
    configuration::VmList vmList;
    /// Upstreams of each pool. A pool is the name of a model, or "service:" and a name.
    std::map<std::string, std::vector<DirectoryEntry>> pools;
    std::map<std::string, DirectoryEntry> upstreams; ///< By name.

    /// Returns the event that tells a pool its upstreams.
    decision::UpstreamsListed listing(const std::string &pool) const;
    /// Returns the event that tells the pool of a process in \a zone the upstreams that it uses.
    decision::UpstreamsListed subsetFor(const std::string &process, const std::string &zone,
                                        const std::string &pool) const;
    /// Returns how many upstreams of one pool a process uses.
    std::size_t upstreamsPerPool() const;
    /// Returns the event that tells a pool the workspaces' policies.
    decision::PoliciesChanged policies() const;
    /// Returns what the configuration wants an engine to have loaded.
    decision::DesiredImage wantedImage(const DirectoryEntry &entry) const;
    /// Returns the number of engines of all pools.
    std::size_t engineCount() const;
    std::optional<configuration::Service> service(const std::string &name) const;
    /// Returns why the entry VM \a name in \a zone takes no new work, or an empty text.
    std::string unavailableReason(const std::string &name, const std::string &zone) const;
};

/// Upstreams that one process uses over all model pools together. Each costs it a lease.
constexpr std::size_t targetUpstreamsPerProcess = 20;

/// Upstreams of a pool that a process uses at least, also if they are in another region.
constexpr std::size_t minUpstreamsPerPool = 4;

/// Tells whether upstreams of a zone are near.
using IsSameRegion = std::function<bool(const std::string &zone)>;

/// Returns the listing with all but \a most serving upstreams left out, by rendezvous with
/// \a process: each process uses a few upstreams, and each upstream is used by a few processes.
/// Upstreams that are not near are used only where there are fewer than minUpstreamsPerPool near.
decision::UpstreamsListed rendezvousSubset(const decision::UpstreamsListed &listing,
                                           const std::string &process, std::size_t limit,
                                           const IsSameRegion &isSameRegion);

/// Returns the pool of a plain service.
std::string servicePoolName(const std::string &service);

/// Builds the directory. Upstreams of a model or service that the configuration does not name
/// are left out.
Directory buildDirectory(const configuration::Document &document,
                         const configuration::VmList &vmList);

} // namespace azurespindle::serving

#endif
