#ifndef AZURESPINDLE_DECISION_UPSTREAM_SPEEDS_H
#define AZURESPINDLE_DECISION_UPSTREAM_SPEEDS_H

#include "base/recent_map.h"
#include "base/time_types.h"
#include "decision/usual_pace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::decision {

/// Identifies one incarnation of an upstream; a hash.
using SpeedKey = std::uint64_t;

SpeedKey speedKey(const std::string &upstream, std::uint64_t incarnation);

/// What one process, or several together, observed of the work of one incarnation of an upstream.
struct SpeedSum
{
    SpeedKey key = 0;
    std::uint32_t weight = 0; ///< Number of observations in tenths; 0 if there are none any more.
    /// Mean natural logarithm, in hundredths, of the duration of a unit of work in microseconds at
    /// UpstreamSpeeds::referenceLoad.
    std::uint32_t logDuration = 0;
    bool operator==(const SpeedSum &other) const = default;
};

/// A piece of work that an upstream did.
struct SpeedSample
{
    std::string service;
    std::string upstream;
    std::uint64_t incarnation = 0;
    WorkLoad load;
    microseconds duration {0}; ///< Duration of one unit of work: an event, or a response.
    /// Kind of work, for example the route. If it is set, the units of a service are of different
    /// size, and the duration is compared with what is usual for this kind.
    std::string kind {};
};

/// An upstream whose speed may be asked for.
struct SpeedUpstream
{
    std::string upstream;
    std::uint64_t incarnation = 0;
    std::string service;
};

/// A noticeable change of an estimate, for logs.
struct SpeedChange
{
    std::string upstream;
    double before = 1.0;
    double after = 1.0;
    bool operator==(const SpeedChange &other) const = default;
};

/// Whose observations a report contains.
enum class SpeedScope {
    Process, ///< Those of this process.
    Zone,    ///< Those of this process and its peers.
    Fleet,   ///< Those of all processes of which this one hears.
};

/// Estimates the speed of each upstream relative to the other upstreams of its service.
///
/// Each process converts the duration of a sample to what it would be at a reference load, by the
/// effect of the load that it learns from its own samples. It reports the mean of its recent
/// samples, and relays add the means up, weighted by the number of samples. The speed of an
/// upstream is its mean duration compared with that of the middle half of the service's upstreams.
/// Sums of the whole fleet include the observations of this process and are used instead of them,
/// so that nothing counts twice.
///
/// Slow periods of an upstream are common and short. Therefore a process counts at most one
/// observation of an upstream in each samplePeriod, an observation far from the present estimate
/// counts only in part, and trust in an estimate is limited by the time from the first to the last
/// observation, however many processes made them.
class UpstreamSpeeds
{
public:
    static constexpr double minSpeed = 0.2;
    static constexpr double maxSpeed = 5.0;
    /// Load that durations are converted to.
    static constexpr WorkLoad referenceLoad {8.0, 0.25};
    static constexpr std::size_t maxUpstreams = 4'096;
    static constexpr std::size_t maxUpstreamsOfPeer = 256;
    static constexpr std::size_t maxKinds = 128; ///< Kinds of work of all services.
    /// Length of the period in which a process counts one observation of an upstream.
    static constexpr milliseconds samplePeriod {600};
    /// Time after which an observation has half its weight.
    static constexpr milliseconds halfLife {15'000};
    /// Time without a report after which the observations of another process or zone are dropped.
    static constexpr milliseconds reportTimeout {3'000};
    /// Interval at which estimates are updated.
    static constexpr milliseconds updateInterval {500};
    /// The same if there are more than manyUpstreams.
    static constexpr milliseconds longUpdateInterval {2'000};
    static constexpr std::size_t manyUpstreams = 1'000;
    /// Interval at which a process reports an unchanged sum again, for relays that missed it.
    static constexpr seconds repeatInterval {30};
    /// The same for the sums of a zone and of the fleet, which are more.
    static constexpr seconds totalsRepeatInterval {60};
    /// Number of intervals after which a sum that was not reported again is dropped.
    static constexpr int keptIntervals = 3;

    // Commands

    /// Sets the upstreams that estimates are made for.
    void setUpstreams(const std::vector<SpeedUpstream> &upstreams);
    /// Takes note of a piece of work. Durations of 0 or less are ignored.
    void recordSample(const SpeedSample &sample, Instant now);
    /// Takes note of the sums of a peer; \return the number of sums out of range, which are
    /// ignored.
    std::size_t updatePeer(const std::string &peer, const std::vector<SpeedSum> &sums, Instant now);
    /// Takes note of the sums of another zone; see updatePeer().
    std::size_t updateZone(const std::string &zone, const std::vector<SpeedSum> &sums, Instant now);
    /// Takes note of the sums of the whole fleet; see updatePeer().
    std::size_t updateFleet(const std::vector<SpeedSum> &sums, Instant now);
    /// Updates the estimates if the update interval is over. \return noticeable changes.
    std::vector<SpeedChange> update(Instant now);
    /// Returns sums that changed noticeably since they were last returned for \a scope, and those
    /// to be repeated: \a maxCount at most, the remaining ones in later calls.
    std::vector<SpeedSum> takeChanged(SpeedScope scope, std::size_t maxCount, Instant now);

    // Queries

    /// Returns the relative speed of an upstream: 1.0 unless it noticeably differs from what is
    /// usual in its service.
    double speed(const std::string &upstream, std::uint64_t incarnation) const;
    /// Returns all sums of \a scope, for a receiver that knows none.
    std::vector<SpeedSum> sums(SpeedScope scope) const;
    /// Returns the number of upstreams whose speed differs from 1.0.
    std::size_t differing() const { return this->speeds.size(); }
    /// Returns the upstreams whose speed differs most from 1.0, at most \a maxCount, with it.
    std::vector<std::pair<std::string, double>> mostDiffering(std::size_t maxCount) const;

private:
    /// Decayed sum of this process's observations of one upstream.
    struct Observations
    {
        double weight = 0.0;
        double sum = 0.0; ///< Sum of the logarithms of the durations.
        Instant decayedAt;
        Instant periodStartedAt;
        double periodMean = 0.0;
        double periodSamples = 0.0;
    };
    struct Sum
    {
        double weight = 0.0;
        double mean = 0.0; ///< Mean natural logarithm of the duration.
    };
    struct ReceivedSum
    {
        Sum sum;
        Instant receivedAt;
    };
    struct Source
    {
        Instant receivedAt;
        std::unordered_map<SpeedKey, ReceivedSum> sums;
    };
    struct ReportedSum
    {
        SpeedSum sum;
        Instant reportedAt;
    };
    struct Estimate
    {
        Instant firstReceivedAt;
        Instant lastGrowthAt;     ///< Time at which further observations were last heard of.
        double lastWeight = 0.0;  ///< Weight of the sum at the last update.
        double logDuration = 0.0; ///< Natural logarithm of the duration at the reference load.
        double logSpeed = 0.0;    ///< Natural logarithm of the speed, shrunk by lack of trust.
        double trust = 0.0;       ///< Number of observations that count.
        double journaled = 1.0;
    };
    using Upstreams = std::vector<std::pair<SpeedKey, std::string>>; ///< Keys and ids.
    using Sums = std::vector<std::pair<SpeedKey, Sum>>; ///< By key, in ascending order.

    static std::size_t apply(Source &source, const std::vector<SpeedSum> &sums, std::size_t maxSums,
                             Instant now);
    static void decay(Observations &observations, Instant now);
    static void append(Sums &sums, const std::unordered_map<std::string, Source> &sources);
    /// Sorts sums and adds those of the same key up.
    static Sums merged(Sums sums);
    static Sums::const_iterator find(const Sums &sums, SpeedKey key);
    static SpeedSum reported(SpeedKey key, const Sum &sum);
    static bool isDue(const ReportedSum &last, const SpeedSum &sum, SpeedScope scope, Instant now);
    static void dropExpired(Source &source, microseconds lifetime, Instant now);
    void dropOutdated(Instant now);
    void updateTotals(Instant now);
    Sum totalFor(SpeedKey key) const;
    /// Returns the logarithm of the usual duration of a service, or nothing without observations.
    std::optional<double> usualLogDuration(const Upstreams &upstreams) const;
    void estimate(const std::string &service, const Upstreams &upstreams, Instant now,
                  std::vector<SpeedChange> &changes);
    /// Returns true if many of a service's upstreams differ in speed.
    bool isUneven(const Upstreams &upstreams) const;
    /// \param insignificantLogSpeed difference, as a natural logarithm, up to which a well-known
    /// speed counts as usual.
    void apply(const std::string &upstream, SpeedKey key, double insignificantLogSpeed,
               std::vector<SpeedChange> &changes);
    const Sums &sumsOf(SpeedScope scope) const;

    std::map<std::string, Upstreams> upstreamsOfService;
    std::size_t upstreamCount = 0;
    std::map<std::string, double> usualDurations;                  ///< Logarithms by service.
    RecentMap<std::string, UsualPace> paces {maxKinds};            ///< By service and kind of work.
    RecentMap<SpeedKey, Observations> observations {maxUpstreams}; ///< Of this process.
    std::unordered_map<std::string, Source> peers;
    std::unordered_map<std::string, Source> zones;
    std::optional<Source> fleet;
    std::map<SpeedScope, Sums> added; ///< Sums by scope, as of the last update.
    std::map<SpeedScope, std::map<SpeedKey, ReportedSum>> reportedByScope;
    std::map<SpeedScope, SpeedKey> nextToReport;      ///< Key with which the next report begins.
    std::unordered_map<SpeedKey, Estimate> estimates; ///< Of current upstreams with observations.
    std::unordered_map<SpeedKey, double> speeds;      ///< Only those that differ from 1.0.
    std::optional<Instant> updatedAt;
};

} // namespace azurespindle::decision

#endif
