#ifndef AZURESPINDLE_DECISION_UPSTREAM_TABLE_H
#define AZURESPINDLE_DECISION_UPSTREAM_TABLE_H

#include "decision/events.h"
#include "decision/memory_profile.h"
#include "decision/prefix_index.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::decision {

/// Why an upstream cannot take a request now.
enum class Obstacle { None, NotServing, NoSlot, NoMemory, FailedBefore, HasSuspect };

/// Returns a short text for logs.
const char *name(Obstacle obstacle);

/// A request whose caller left while its connection to the upstream was lost: whether the upstream
/// died of it shows only when the upstream reports a new boot number.
struct UnresolvedLoss
{
    RequestId request = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t boot = 0; ///< Life of the upstream that ran it.
    Instant at;
};

/// One upstream as this process sees it.
struct Upstream
{
    ListedUpstream listed;
    LeaseGranted lease;
    EngineReport report;
    MemoryProfile profile;             ///< Of this process's attempts there.
    std::uint32_t outstanding = 0;     ///< Attempts of this process.
    std::uint32_t suspects = 0;        ///< Of these, crash suspects.
    double foreignMemory = 0.0;        ///< KV tokens that others hold, from the last report.
    UpstreamObservations observations; ///< Not yet told to the steward.
    /// Tokens by workspace, not yet told to the steward; kept while there is contention.
    std::vector<WorkspaceUsage> untold;
    Instant lastAsked;
    PrefixIndex prefixes;
    /// Part that workspaces above their share may fill; the rest is room for the others at the
    /// engine that has their prompts cached. It shrinks with each prompt that found the engine full
    /// and was computed elsewhere, and grows back with time.
    double aboveSharePart = 1.0;
    std::vector<UnresolvedLoss> unresolved; ///< Oldest first, at most maxUnresolved.

    static constexpr std::size_t maxUnresolved = 64;
    static constexpr std::size_t maxUntold = 64;
    static constexpr double leastAboveSharePart = 0.6;
    static constexpr double partKeptByDisplaced = 0.9;
    static constexpr double partRegained = 0.004; ///< Each second.
    /// Prompt tokens cached at a full engine that make a request placed elsewhere a displaced one.
    static constexpr Tokens displacedTokens = 512;

    /// Returns how many attempts at once this process may have there at \a now.
    std::uint32_t slots(Instant now) const;
    /// Returns the KV tokens that this process may plan with; 0 if the engine never reported.
    double memoryBudget() const;
};

/// What placement asks about.
struct PlacementQuery
{
    const Request *request = nullptr;
    MemoryProfile profile;             ///< Of the request, were it placed.
    bool suspect = false;              ///< An upstream died running it.
    std::vector<std::string> failedOn; ///< Upstreams that failed it before.
    bool aboveShare = false;           ///< Its workspace lately got more than its share.
    double deviations = 1.0;           ///< Safety margin on memory, in standard deviations.
    Instant now;
};

/// One upstream in view of one request.
struct Candidate
{
    const Upstream *upstream = nullptr;
    Obstacle obstacle = Obstacle::None;
    double peakFraction = 0.0; ///< Expected peak memory over the engine's, with the request.
    double loadFraction = 0.0; ///< Attempts over what a warm engine is given, with the request.
    Tokens uncachedTokens = 0; ///< Prompt tokens that the engine will probably compute.
};

/// The upstreams of one pool: what is listed, leased, reported, outstanding.
class UpstreamTable
{
public:
    // Commands

    /// Takes over the list. \return journal entries of what changed.
    std::vector<journal::Entry> list(const std::vector<ListedUpstream> &upstreams);
    /// Takes in a report. \return an entry if the engine restarted.
    std::vector<journal::Entry> report(const std::string &upstream, const EngineReport &report);
    void changeCache(const CacheChanged &change);
    void grant(const LeaseGranted &lease);
    /// Returns the upstream to be changed, or nullptr.
    Upstream *find(const std::string &name);
    /// Counts an attempt that holds \a profile.
    void begin(Upstream &upstream, const MemoryProfile &profile, bool suspect);
    void end(Upstream &upstream, const MemoryProfile &profile, bool suspect);
    /// Notes service of a workspace at a contended upstream, to be told to its steward.
    static void noteService(Upstream &upstream, WorkspaceKey workspace, double weight,
                            std::int32_t tokens);
    /// Takes out what is to be told with the next lease request: the workspaces of \a waiting
    /// first, then those that were served most.
    static std::vector<WorkspaceUsage>
    takeService(Upstream &upstream, const std::vector<WorkspaceUsage> &waiting, std::size_t most);
    /// Notes the engines that would have had the prompt cached, but were full.
    void noteDisplaced(const std::vector<Candidate> &candidates, std::size_t chosen);
    /// Gives back room that was kept for prompts; \a elapsed since the last call.
    void regainParts(microseconds elapsed);
    /// Keeps a loss until a new boot number tells what it was.
    static void keepUnresolved(Upstream &upstream, const UnresolvedLoss &loss);

    // Queries

    const Upstream *find(const std::string &name) const;
    const std::vector<Upstream> &all() const { return this->upstreams; }
    /// Fills \a candidates with every upstream in view of the request.
    void assess(const PlacementQuery &query, std::vector<Candidate> &candidates) const;

private:
    static Obstacle obstacle(const Upstream &upstream, const PlacementQuery &query, double peak);

    std::vector<Upstream> upstreams;
    std::unordered_map<std::string, std::size_t> positions;
};

} // namespace azurespindle::decision

#endif
