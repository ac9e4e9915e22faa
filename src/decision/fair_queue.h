#ifndef AZURESPINDLE_DECISION_FAIR_QUEUE_H
#define AZURESPINDLE_DECISION_FAIR_QUEUE_H

#include "configuration/document.h"
#include "decision/types.h"

#include <array>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::decision {

/// Queue entry of a request that waits for an upstream.
struct QueuedRequest
{
    RequestId id = 0;
    Priority priority = Priority::Standard;
    Instant arrived;
    Instant expires; ///< Time at which the request is refused if it is still queued.
};

/// Weighted fair queue of the waiting requests of all workspaces.
///
/// Each workspace has a counter of the tokens that it was served, divided by its weight. The
/// workspace with the lowest counter is served first. When an idle workspace becomes active again,
/// its counter is raised to the lowest counter of the workspaces that were active meanwhile, so
/// that it gains no credit by having been idle. Priorities order the requests within a workspace
/// only, so that no workspace gains by marking all its requests as interactive.
class FairQueue
{
public:
    static constexpr std::size_t maxWorkspaces = 4'096;
    /// Limit of the queued requests of all workspaces together.
    static constexpr std::size_t maxQueued = 8'192;

    // Commands

    /// Replaces the policies. Workspaces without an entry in \a exceptions use \a defaults.
    void setPolicies(
        const configuration::WorkspacePolicy &defaults,
        const std::vector<std::pair<std::string, configuration::WorkspacePolicy>> &exceptions);
    /// Appends a request. \return false if the workspace's queue or the whole queue is full.
    bool push(const std::string &workspace, const QueuedRequest &request);
    /// Puts back a request that was admitted before, at the front and regardless of the limits.
    void pushFront(const std::string &workspace, const QueuedRequest &request);
    /// Removes a request. \return false if it was not queued.
    bool remove(const std::string &workspace, RequestId id);
    /// Charges a workspace for \a tokens; a negative number corrects an earlier forecast.
    void charge(const std::string &workspace, double tokens);
    /// Charges workspaces with queued requests for tokens that other processes served to them.
    void chargeRemote(const std::vector<RemoteUsage> &remote);
    /// Removes the requests that expired by \a now. \return their ids in ascending order.
    std::vector<RequestId> takeExpired(Instant now);

    // Queries

    /// Returns the first request of each of up to \a limit workspaces, lowest counter first.
    std::vector<QueuedRequest> headRequests(std::size_t limit) const;
    /// Returns up to \a limit requests of a workspace in the order in which they are served.
    std::vector<QueuedRequest> firstRequests(const std::string &workspace, std::size_t limit) const;
    /// Returns up to \a limit workspaces with queued requests, lowest counter first.
    std::vector<WorkspaceUsage> waitingWorkspaces(std::size_t limit) const;
    std::size_t size() const { return this->queued; }
    /// Returns the number of workspaces whose counters are stored.
    std::size_t workspaceCount() const { return this->workspaces.size(); }
    /// Returns the policy that applies to a workspace.
    const configuration::WorkspacePolicy &policy(const std::string &workspace) const;
    /// Returns the workspace's served tokens divided by its weight, or 0 if it is unknown.
    double counter(const std::string &workspace) const;

private:
    static constexpr std::size_t priorityCount = 3;

    struct Workspace
    {
        /// Queues by priority, highest first. They are lists because most of them are empty and an
        /// empty deque takes half a kilobyte.
        std::array<std::list<QueuedRequest>, priorityCount> queues;
        std::size_t queued = 0;
        double counter = 0.0;
    };

    Workspace &findOrAdd(const std::string &name);
    /// Raises the counter of a workspace that has been idle and adds it to activeByCounter.
    void addToActive(const std::string &name, Workspace &workspace);
    void setCounter(const std::string &name, Workspace &workspace, double counter);
    /// Updates the sizes after a removal, and deactivates a workspace without queued requests.
    void onRemoved(const std::string &name, Workspace &workspace);
    void evictIdle();
    static const QueuedRequest *head(const Workspace &workspace);

    std::unordered_map<std::string, Workspace> workspaces;
    std::multimap<double, std::string> activeByCounter; ///< Workspaces with queued requests.
    std::size_t queued = 0;
    double virtualTime = 0.0; ///< Lowest active counter at the last change; it never decreases.
    configuration::WorkspacePolicy defaults;
    std::unordered_map<std::string, configuration::WorkspacePolicy> exceptions;
};

} // namespace azurespindle::decision

#endif
