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

/// A request that waits for room.
struct QueuedRequest
{
    RequestId id = 0;
    Priority priority = Priority::Standard;
    Instant arrived;
    Instant expires;
};

/// Waiting requests of all workspaces, in the order of fairness.
///
/// Each workspace has a virtual counter of the tokens it was served, divided by its weight. The
/// workspace with the lowest counter goes first. One that comes back after a pause starts at the
/// counters of those that waited meanwhile: an idle time is no credit. Priorities order requests
/// inside a workspace only, so that nobody gains by calling everything urgent.
class FairQueue
{
public:
    static constexpr std::size_t maxWorkspaces = 4'096;
    static constexpr std::size_t maxQueued = 8'192; ///< Requests of all workspaces together.

    // Commands

    /// Takes over policies; workspaces without an exception follow \a defaults.
    void setPolicies(
        const configuration::WorkspacePolicy &defaults,
        const std::vector<std::pair<std::string, configuration::WorkspacePolicy>> &exceptions);
    /// Queues a request. \return false if the workspace's queue, or the whole queue, is full.
    bool push(const std::string &workspace, const QueuedRequest &request);
    /// Puts a request that was already admitted once back to the front.
    void pushFront(const std::string &workspace, const QueuedRequest &request);
    /// Removes a request. \return false if it was not queued.
    bool remove(const std::string &workspace, RequestId id);
    /// Adds \a tokens of service to the workspace's counter; negative ones are given back.
    void charge(const std::string &workspace, double tokens);
    /// Adds tokens that other processes served of the workspaces that are queued here.
    void chargeForeign(const std::vector<RemoteUsage> &foreign);
    /// Removes and returns every request whose time has run out.
    std::vector<RequestId> takeExpired(Instant now);

    // Queries

    /// Returns the first request of up to \a most workspaces, the least served workspace first.
    std::vector<QueuedRequest> heads(std::size_t most) const;
    /// Returns up to \a most requests of a workspace, in the order in which they would go.
    std::vector<QueuedRequest> firstOf(const std::string &workspace, std::size_t most) const;
    /// Returns up to \a most workspaces with queued requests, the least served first.
    std::vector<WorkspaceUsage> waiting(std::size_t most) const;
    std::size_t size() const { return this->queued; }
    /// Returns the number of workspaces whose counters are kept.
    std::size_t workspaceCount() const { return this->workspaces.size(); }
    /// Returns the policy in force for a workspace.
    const configuration::WorkspacePolicy &policy(const std::string &workspace) const;
    /// Returns the workspace's served tokens over its weight, or 0 if it is not known.
    double counter(const std::string &workspace) const;

private:
    static constexpr std::size_t priorityCount = 3;

    struct Workspace
    {
        /// Lists rather than deques: an empty deque costs half a kilobyte, and most are empty.
        std::array<std::list<QueuedRequest>, priorityCount> queues;
        std::size_t queued = 0;
        double counter = 0.0;
    };

    Workspace &enter(const std::string &name);
    void activate(const std::string &name, Workspace &workspace);
    void setCounter(const std::string &name, Workspace &workspace, double counter);
    void noteRemoved(const std::string &name, Workspace &workspace);
    void forgetIdle();
    static const QueuedRequest *head(const Workspace &workspace);

    std::unordered_map<std::string, Workspace> workspaces;
    std::multimap<double, std::string> byCounter; ///< Workspaces with queued requests.
    std::size_t queued = 0;
    double floor = 0.0; ///< Lowest counter among those that waited last.
    configuration::WorkspacePolicy defaults;
    std::unordered_map<std::string, configuration::WorkspacePolicy> exceptions;
};

} // namespace azurespindle::decision

#endif
