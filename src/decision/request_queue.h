#ifndef AZURESPINDLE_DECISION_REQUEST_QUEUE_H
#define AZURESPINDLE_DECISION_REQUEST_QUEUE_H

#include "base/time_types.h"
#include "decision/types.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// A request that waits for an upstream, as far as its order in the queue depends on it.
struct WaitingRequest
{
    RequestId id = 0;
    std::string service;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    Instant arrivedAt {};
    Tokens memory = 0; ///< KV memory that it needs; 0 for a plain service.
    /// Equal for requests of a service that may use the same upstreams.
    std::uint64_t constraints = 0;
    std::uint32_t overtaken = 0; ///< Later requests that took an upstream which it may use.
    std::string workspace {};
    bool isBehind = false; ///< Set by the queue: its workspace waits behind the others.
};

/// The requests that wait for upstreams: by priority, then those of workspaces that use far more
/// than their share behind the others, then by time of arrival.
///
/// A request that fits may overtake requests of its service that do not fit, so that free capacity
/// is used. Each may be overtaken at most maxOvertakes times: after that, the service's capacity is
/// left to it, so that a large request does not starve.
class RequestQueue
{
public:
    /// Number of waiting requests of all services.
    static constexpr std::size_t maxRequests = 512;
    /// Number of later requests that may overtake a request.
    static constexpr std::uint32_t maxOvertakes = 8;
    /// A request may overtake one that may use the same upstreams only if it needs less than this
    /// share of its memory; others are unlikely to fit.
    static constexpr double smallerShare = 0.9;

    // Commands

    /// Adds a request, also beyond maxRequests: those that return after a failed attempt were
    /// accepted before.
    void add(WaitingRequest request);
    /// Removes a request; does nothing if it does not wait.
    void remove(RequestId id);
    /// Records that a later request took an upstream which a waiting one may use.
    void recordOvertake(RequestId id);
    /// Sets the workspaces whose requests for engines wait behind others of their priority.
    void setWorkspacesBehind(std::set<std::string> workspaces);

    // Queries

    std::size_t size() const { return this->requests.size(); }
    bool isFull() const { return this->requests.size() >= maxRequests; }
    /// Returns all requests in the order in which they are to be placed.
    const std::vector<WaitingRequest> &inOrder() const { return this->requests; }
    std::vector<RequestId> ids() const;
    /// Returns the request with that id, or nullptr.
    const WaitingRequest *find(RequestId id) const;
    /// Returns true if one of the requests before it does not let a waiting request overtake: one
    /// that may use the same upstreams and needs about as much, or one overtaken often enough.
    bool mustWaitBehindOthers(RequestId id) const;
    /// Returns the ids of the requests of the same service before a waiting one.
    std::vector<RequestId> idsBefore(RequestId id) const;

private:
    std::vector<WaitingRequest> requests;
    std::set<std::string> workspacesBehind;
};

/// One pass over a RequestQueue in which the owner tries to place its requests, in order. It limits
/// the number of tries, each of which considers every upstream.
class QueuePass
{
public:
    /// Requests of one service that may be tried in vain.
    static constexpr std::size_t maxMisses = 3;

    explicit QueuePass(const RequestQueue &queue) : queue(queue) { }

    // Commands

    /// Records that a waiting request was tried and did not fit.
    void recordMiss(const WaitingRequest &request) { this->misses.push_back(request); }

    // Queries

    /// Returns true if a waiting request may be tried and is likely enough to fit.
    bool mayTry(const WaitingRequest &request) const;
    /// Returns the ids of the requests of a service that were tried in vain.
    std::vector<RequestId> passedOver(const std::string &service) const;

private:
    const RequestQueue &queue;
    std::vector<WaitingRequest> misses;
};

} // namespace azurespindle::decision

#endif
