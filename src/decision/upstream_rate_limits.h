#ifndef AZURESPINDLE_DECISION_UPSTREAM_RATE_LIMITS_H
#define AZURESPINDLE_DECISION_UPSTREAM_RATE_LIMITS_H

#include "base/time_types.h"
#include "decision/sender_choice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// What a process knows about the request rate that an upstream takes from the whole fleet.
struct NamedLimit
{
    std::string upstream;
    std::uint64_t incarnation = 0; ///< The upstream's incarnation when it answered.
    /// Requests per second; nothing if the upstream no longer names a limit.
    std::optional<double> requestsPerSecond;
    milliseconds age {0}; ///< Time since the response that this was read from.
    bool operator==(const NamedLimit &other) const = default;
};

/// Where the knowledge of a limit comes from.
enum class LimitSource {
    Response, ///< A response that this process received.
    Member,   ///< A member of this process's zone, or any member of a small fleet.
    Zone,     ///< The totals of another zone.
};

/// Returns the name of \a source for logs.
const char *name(LimitSource source);

/// Fleet-wide request rates that upstreams name in their responses.
///
/// The rate of an upstream is divided among a few processes, its senders, which are chosen by
/// rendezvous hashing among all active ones; the others send nothing there. So the sum holds
/// without shared state, however many processes there are, and each sender's part is large enough
/// to be used. Processes tell one another what upstreams name; the latest response counts. A
/// process passes on only what it read itself, and a zone what its members read, as knowledge that
/// went in circles would seem ever newer.
///
/// A process that becomes a sender begins without a saved-up request, so a change of the membership
/// adds nothing to the sum.
class UpstreamRateLimits
{
public:
    /// Rate that is used at least, so that the end of a limit is noticed.
    static constexpr double minRequestsPerSecond = 0.25;
    /// Smallest number of senders of an upstream, as one may fail or have no requests for it.
    static constexpr std::size_t minSenders = 2;
    /// Time for which the end of a limit is told to others.
    static constexpr milliseconds endedLimitRetention {5'000};
    /// Upstreams whose limits are kept.
    static constexpr std::size_t maxUpstreams = 4'096;

    // Commands

    /// Sets the active processes. Without any, this process sends to no limited upstream.
    void setProcesses(const ProcessNames &names, const std::string &self, Instant now);
    /// Takes note of a limit, or its end, unless a later response of the upstream is known.
    /// \return true if the limit changed.
    bool note(const NamedLimit &limit, LimitSource source, Instant now);
    /// Counts a request that is sent to an upstream.
    void recordSend(const std::string &upstream, Instant now);
    /// Forgets the upstreams for which \a isCurrent(upstream, incarnation) returns false.
    void forgetUnless(const std::function<bool(const std::string &, std::uint64_t)> &isCurrent);

    // Queries

    /// Returns the rate that an upstream names, or nothing if it names none.
    std::optional<double> rateOf(const std::string &upstream) const;
    /// Returns true if a request may be sent to an upstream now.
    bool allows(const std::string &upstream, Instant now) const;
    /// Returns the rate at which this process may send to a limited upstream; 0 if it is no sender.
    double ownRate(const std::string &upstream) const;
    /// Returns the time until this process may send to a limited upstream, or nothing if it is no
    /// sender.
    std::optional<microseconds> timeUntilAllowed(const std::string &upstream, Instant now) const;
    /// Returns the time of the latest response that named the current limit of an upstream, or
    /// nothing if it names none.
    std::optional<Instant> namedAt(const std::string &upstream) const;
    bool empty() const { return this->limitsByUpstream.empty(); }
    /// Returns the known limits, and those that ended lately, that come from \a furthest or nearer.
    std::vector<NamedLimit> limits(LimitSource furthest, Instant now) const;

private:
    struct Limit
    {
        std::uint64_t incarnation = 0;
        std::optional<double> requestsPerSecond;
        Instant observedAt;
        LimitSource source = LimitSource::Response;
        double ownRate = 0.0; ///< This process's part; 0 if it is no sender.
        double saved = 0.0;   ///< Requests that may be sent at \a savedAt; at most 1.
        Instant savedAt;
    };

    /// Works out this process's part of a limit.
    void assign(const std::string &upstream, Limit &limit, Instant now) const;
    static double savedBy(const Limit &limit, Instant now);

    ProcessNames processes;
    std::string self;
    std::map<std::string, Limit> limitsByUpstream;
};

} // namespace azurespindle::decision

#endif
