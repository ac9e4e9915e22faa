#ifndef AZURESPINDLE_DECISION_UPSTREAM_TABLE_H
#define AZURESPINDLE_DECISION_UPSTREAM_TABLE_H

#include "decision/events.h"
#include "decision/memory_profile.h"
#include "decision/prefix_index.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::decision {

/// Reason for which an upstream cannot take a request now.
enum class Obstacle {
    None,
    NotServing,   ///< The upstream takes no new attempts.
    NoSlot,       ///< The lease permits no further attempt.
    NoMemory,     ///< The expected peak memory would exceed the memory budget.
    FailedBefore, ///< The request failed there before.
    HasSuspect    ///< The request and another one running there are crash suspects.
};

/// Returns a short description for logs.
const char *name(Obstacle obstacle);

/// Request whose caller disconnected while the connection to its upstream was lost. Whether the
/// upstream crashed is known only once it reports a new boot number.
struct UnresolvedDisconnect
{
    RequestId request = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t boot = 0; ///< Boot number of the upstream that ran the request.
    Instant at;             ///< Time at which the caller disconnected.
};

/// State of an upstream in this process.
struct Upstream
{
    ListedUpstream listed;
    LeaseGranted lease;
    EngineReport report;
    MemoryProfile profile;             ///< Forecast memory of this process's attempts.
    std::uint32_t outstanding = 0;     ///< Attempts of this process that have not ended.
    std::uint32_t suspects = 0;        ///< Outstanding attempts of crash suspects.
    double othersMemory = 0.0;         ///< KV tokens held by other processes at the last report.
    UpstreamObservations observations; ///< Observations since the last lease request.
    /// Usage by workspace since it was last reported with a lease request; collected only while the
    /// upstream is contended.
    std::vector<WorkspaceUsage> unreportedUsage;
    Instant lastLeaseRequest;
    PrefixIndex prefixes;
    /// Fraction of the capacity that workspaces above their share may use. The rest is reserved for
    /// other workspaces whose prompts are cached here. The fraction shrinks with each displaced
    /// prompt, one that is cached here but was computed elsewhere because this upstream was full,
    /// and recovers over time.
    double aboveShareFraction = 1.0;
    std::vector<UnresolvedDisconnect> unresolvedDisconnects; ///< Oldest first.

    static constexpr std::size_t maxUnresolved = 64;
    static constexpr std::size_t maxUnreportedUsage = 64;
    static constexpr double minAboveShareFraction = 0.6;
    /// Factor applied to aboveShareFraction for each displaced prompt.
    static constexpr double displacementFactor = 0.9;
    static constexpr double fractionRecoveredPerSecond = 0.004;
    /// Minimum number of prompt tokens cached here beyond those cached where the prompt was placed
    /// for it to count as displaced.
    static constexpr Tokens minDisplacedTokens = 512;

    /// Returns the maximum number of concurrent attempts that the lease permits at \a now.
    std::uint32_t slots(Instant now) const;
    /// Returns the KV tokens available to this process's attempts; 0 if the engine never reported.
    /// They are fewer than the lease's share if other processes exceed theirs.
    double memoryBudget() const;
};

/// Properties of a request to be placed.
struct PlacementQuery
{
    const Request *request = nullptr;
    MemoryProfile profile;             ///< Forecast memory of the request.
    bool suspect = false;              ///< Whether an upstream crashed while running it.
    std::vector<std::string> failedOn; ///< Upstreams on which it failed before.
    bool aboveShare = false;           ///< Whether its workspace recently exceeded its share.
    double deviations = 1.0;           ///< Safety margin on memory, in standard deviations.
    Instant now;
};

/// Assessment of one upstream for one request.
struct Candidate
{
    const Upstream *upstream = nullptr;
    Obstacle obstacle = Obstacle::None;
    double peakFraction = 0.0; ///< Expected peak memory with the request / engine's memory.
    double loadFraction = 0.0; ///< Attempts with the request / maximum concurrency.
    Tokens uncachedTokens = 0; ///< Prompt tokens that are probably not cached there.
};

/// Upstreams of one pool, with their leases, load reports and outstanding attempts.
class UpstreamTable
{
public:
    // Commands

    /// Replaces the list of upstreams. An upstream that is no longer listed is kept as Leaving
    /// until its outstanding attempts have ended. \return journal entries for the changes.
    std::vector<journal::Entry> setUpstreams(const std::vector<ListedUpstream> &upstreams);
    /// Stores a load report. \return a journal entry if the engine restarted.
    std::vector<journal::Entry> setReport(const std::string &upstream, const EngineReport &report);
    void updateCache(const CacheChanged &change);
    void setLease(const LeaseGranted &lease);
    /// Returns the upstream with the given name, or nullptr.
    Upstream *find(const std::string &name);
    /// Adds an attempt with the forecast memory \a profile.
    void addAttempt(Upstream &upstream, const MemoryProfile &profile, bool suspect);
    void removeAttempt(Upstream &upstream, const MemoryProfile &profile, bool suspect);
    /// Adds tokens served to a workspace, to be reported with the next lease request.
    static void recordUsage(Upstream &upstream, WorkspaceKey workspace, double weight,
                            std::int32_t tokens);
    /// Removes and returns the usage to report with a lease request: first that of the workspaces
    /// in \a waiting, then of those with the most tokens, up to \a limit workspaces in all. Returns
    /// nothing unless the upstream is contended.
    static std::vector<WorkspaceUsage>
    takeUnreportedUsage(Upstream &upstream, const std::vector<WorkspaceUsage> &waiting,
                        std::size_t limit);
    /// Reduces aboveShareFraction of the full upstreams from which a prompt placed on candidate
    /// \a chosen was displaced.
    void recordDisplacement(const std::vector<Candidate> &candidates, std::size_t chosen);
    /// Recovers aboveShareFraction of all upstreams. \a elapsed is the time since the last call.
    void recoverFractions(microseconds elapsed);
    /// Stores a disconnect until a new boot number shows whether the upstream crashed.
    static void addUnresolved(Upstream &upstream, const UnresolvedDisconnect &disconnect);

    // Queries

    const Upstream *find(const std::string &name) const;
    const std::vector<Upstream> &all() const { return this->upstreams; }
    /// Fills \a candidates with an assessment of each upstream for the request.
    void assess(const PlacementQuery &query, std::vector<Candidate> &candidates) const;

private:
    /// Returns the reason why \a upstream cannot take the request, whose expected peak memory there
    /// is \a peak tokens.
    static Obstacle obstacle(const Upstream &upstream, const PlacementQuery &query, double peak);

    std::vector<Upstream> upstreams;
    std::unordered_map<std::string, std::size_t> positions;
};

} // namespace azurespindle::decision

#endif
