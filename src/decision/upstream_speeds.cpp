#include "decision/upstream_speeds.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace azurespindle::decision {
namespace {

/// Largest natural logarithm of a speed.
const double maxLogSpeed = std::log(UpstreamSpeeds::maxSpeed);
constexpr double weightUnit = 0.1;
/// Logarithm that stands for the usual duration of each kind of work: about 22 ms in microseconds.
constexpr double usualLogDurationOfKinds = 10.0;
constexpr double logDurationUnit = 0.01;
/// Largest weight that is accepted: the observations of 4,000 processes.
constexpr std::uint32_t maxWeight = 2'000'000;
/// Largest mean logarithm that is accepted, in hundredths: of 20 minutes in microseconds.
constexpr std::uint32_t maxLogDuration = 2'100;
/// Largest difference from the present estimate, as a natural logarithm, that an observation counts
/// with.
constexpr double maxStep = 0.5;
/// The same while nothing is known of the service but what this process found usual.
constexpr double maxFirstStep = 1.0;
/// Number of observations of the usual speed that each estimate begins with.
constexpr double priorWeight = 1.0;
/// Difference from the usual speed, as a natural logarithm, below which a speed counts as usual:
/// a constant part, and one that is divided by the square root of the number of observations.
constexpr double insignificantLogSpeed = 0.12;
constexpr double expectedSpread = 0.35;
/// The constant part in a service whose upstreams are nearly all alike. There, a moderate
/// difference is more often due to the requests that an upstream happened to get than to the
/// upstream.
constexpr double insignificantLogSpeedAmongEqual = 0.3;
/// Share of a service's known upstreams that have to differ for it to count as uneven, and the
/// difference, as a natural logarithm, from which one does.
constexpr double unevenShare = 0.2;
constexpr double unevenLogSpeed = 0.2;
/// Change of a mean logarithm, in hundredths, that is reported.
constexpr std::uint32_t reportedChange = 8;
/// Change of a weight that is reported, as a fraction of the smaller weight.
constexpr double reportedWeightChange = 0.25;
/// Smallest interval between two reports of the same sum.
constexpr milliseconds minReportInterval {1'000};
/// Weight from which a sum is reported and used.
constexpr double minWeight = 0.5;
/// Factor between two speeds that is a noticeable change.
constexpr double noticeableFactor = 1.25;

} // namespace

SpeedKey speedKey(const std::string &upstream, std::uint64_t incarnation)
{
    return XXH3_64bits_withSeed(upstream.data(), upstream.size(), incarnation);
}

void UpstreamSpeeds::setUpstreams(const std::vector<SpeedUpstream> &upstreams)
{
    this->upstreamsOfService.clear();
    std::unordered_map<SpeedKey, Estimate> kept;
    this->upstreamCount = 0;
    for (const SpeedUpstream &each : upstreams) {
        if (this->upstreamCount == maxUpstreams) {
            break;
        }
        this->upstreamCount += 1;
        const SpeedKey key = speedKey(each.upstream, each.incarnation);
        this->upstreamsOfService[each.service].emplace_back(key, each.upstream);
        const auto found = this->estimates.find(key);
        if (found != this->estimates.end()) {
            kept.insert(*found);
        }
    }
    this->estimates = std::move(kept);
    std::erase_if(this->speeds,
                  [&](const auto &entry) { return this->estimates.count(entry.first) == 0; });
}

// Samples ----------------------------------------------------------------------------------------

void UpstreamSpeeds::recordSample(const SpeedSample &sample, Instant now)
{
    if (sample.duration.count() <= 0) {
        return;
    }
    const SpeedKey key = speedKey(sample.upstream, sample.incarnation);
    const double logDuration = std::log(static_cast<double>(sample.duration.count()));
    const auto known = this->estimates.find(key);
    UsualPace &pace = this->paces.touch(sample.service + "/" + sample.kind);
    const std::optional<double> usualHere = pace.logDuration(sample.load);
    const double atReference = sample.kind.empty() ? pace.logDuration(referenceLoad).value_or(0.0)
                                                   : usualLogDurationOfKinds;
    pace.record(sample.load,
                logDuration + (known == this->estimates.end() ? 0.0 : known->second.logSpeed));
    if (!usualHere) {
        return;
    }
    const auto usual = this->usualDurations.find(sample.service);
    const bool isCompared = usual != this->usualDurations.end();
    const double relative = known == this->estimates.end() ? 0.0 : known->second.logSpeed;
    const double expected = isCompared ? usual->second - relative : atReference;
    const double limit = isCompared ? maxStep : maxFirstStep;
    const double observed = std::max(
        0.0,
        std::clamp(logDuration - *usualHere + atReference, expected - limit, expected + limit));
    Observations &all = this->observations.touch(key);
    decay(all, now);
    if (all.periodSamples == 0.0 || now - all.periodStartedAt >= samplePeriod) {
        all.periodStartedAt = now;
        all.periodMean = 0.0;
        all.periodSamples = 0.0;
        all.weight += 1.0;
    }
    all.periodSamples += 1.0;
    const double step = (observed - all.periodMean) / all.periodSamples;
    all.periodMean += step;
    all.sum += step;
}

void UpstreamSpeeds::decay(Observations &observations, Instant now)
{
    const double factor = std::exp2(-inSeconds(now - observations.decayedAt) / inSeconds(halfLife));
    observations.decayedAt = now;
    observations.weight *= factor;
    observations.sum *= factor;
}

// Reports of others ------------------------------------------------------------------------------

std::size_t UpstreamSpeeds::apply(Source &source, const std::vector<SpeedSum> &sums,
                                  std::size_t maxSums, Instant now)
{
    std::size_t rejected = 0;
    source.receivedAt = now;
    for (const SpeedSum &each : sums) {
        const bool inRange = each.weight <= maxWeight && each.logDuration <= maxLogDuration;
        if (!inRange) {
            rejected += 1;
        } else if (each.weight == 0) {
            source.sums.erase(each.key);
        } else if (source.sums.size() < maxSums || source.sums.count(each.key) > 0) {
            source.sums[each.key]
                = {{each.weight * weightUnit, each.logDuration * logDurationUnit}, now};
        }
    }
    return rejected;
}

std::size_t UpstreamSpeeds::updatePeer(const std::string &peer, const std::vector<SpeedSum> &sums,
                                       Instant now)
{
    return apply(this->peers[peer], sums, maxUpstreamsOfPeer, now);
}

std::size_t UpstreamSpeeds::updateZone(const std::string &zone, const std::vector<SpeedSum> &sums,
                                       Instant now)
{
    return apply(this->zones[zone], sums, maxUpstreams, now);
}

std::size_t UpstreamSpeeds::updateFleet(const std::vector<SpeedSum> &sums, Instant now)
{
    if (!this->fleet) {
        this->fleet.emplace();
    }
    return apply(*this->fleet, sums, maxUpstreams, now);
}

void UpstreamSpeeds::dropExpired(Source &source, microseconds lifetime, Instant now)
{
    std::erase_if(source.sums,
                  [&](const auto &entry) { return now - entry.second.receivedAt > lifetime; });
}

void UpstreamSpeeds::dropOutdated(Instant now)
{
    const auto silent
        = [now](const Source &source) { return now - source.receivedAt > reportTimeout; };
    for (auto *sources : {&this->peers, &this->zones}) {
        const bool arePeers = sources == &this->peers;
        std::erase_if(*sources, [&](const auto &entry) { return silent(entry.second); });
        for (auto &[name, source] : *sources) {
            dropExpired(source, (arePeers ? repeatInterval : totalsRepeatInterval) * keptIntervals,
                        now);
        }
    }
    if (this->fleet && silent(*this->fleet)) {
        this->fleet.reset();
    }
    if (this->fleet) {
        dropExpired(*this->fleet, totalsRepeatInterval * keptIntervals, now);
    }
}

// Sums and estimates -----------------------------------------------------------------------------

void UpstreamSpeeds::append(Sums &sums, const std::unordered_map<std::string, Source> &sources)
{
    for (const auto &[name, source] : sources) {
        for (const auto &[key, received] : source.sums) {
            sums.emplace_back(key, received.sum);
        }
    }
}

UpstreamSpeeds::Sums UpstreamSpeeds::merged(Sums sums)
{
    std::sort(sums.begin(), sums.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    Sums result;
    for (const auto &[key, sum] : sums) {
        if (!result.empty() && result.back().first == key) {
            Sum &total = result.back().second;
            const double weight = total.weight + sum.weight;
            total.mean = (total.mean * total.weight + sum.mean * sum.weight) / weight;
            total.weight = weight;
        } else if (result.size() < maxUpstreams) {
            result.emplace_back(key, sum);
        } else {
            break;
        }
    }
    return result;
}

UpstreamSpeeds::Sums::const_iterator UpstreamSpeeds::find(const Sums &sums, SpeedKey key)
{
    const auto found
        = std::lower_bound(sums.begin(), sums.end(), key,
                           [](const auto &entry, SpeedKey wanted) { return entry.first < wanted; });
    return found != sums.end() && found->first == key ? found : sums.end();
}

void UpstreamSpeeds::updateTotals(Instant now)
{
    Sums own;
    this->observations.eraseIf([&](SpeedKey key, Observations &each) {
        decay(each, now);
        if (each.weight < minWeight) {
            return true;
        }
        own.emplace_back(key, Sum {each.weight, each.sum / each.weight});
        return false;
    });
    own = merged(std::move(own));
    Sums zone = own;
    append(zone, this->peers);
    zone = merged(std::move(zone));
    Sums all = zone;
    append(all, this->zones);
    this->added = {{SpeedScope::Process, std::move(own)},
                   {SpeedScope::Zone, std::move(zone)},
                   {SpeedScope::Fleet, merged(std::move(all))}};
}

const UpstreamSpeeds::Sums &UpstreamSpeeds::sumsOf(SpeedScope scope) const
{
    static const Sums none;
    const auto found = this->added.find(scope);
    return found == this->added.end() ? none : found->second;
}

std::vector<SpeedChange> UpstreamSpeeds::update(Instant now)
{
    std::vector<SpeedChange> changes;
    const milliseconds interval
        = this->upstreamCount > manyUpstreams ? longUpdateInterval : updateInterval;
    if (this->updatedAt && now - *this->updatedAt < interval) {
        return changes;
    }
    this->updatedAt = now;
    this->dropOutdated(now);
    this->updateTotals(now);
    for (const auto &[service, upstreams] : this->upstreamsOfService) {
        this->estimate(service, upstreams, now, changes);
    }
    return changes;
}

UpstreamSpeeds::Sum UpstreamSpeeds::totalFor(SpeedKey key) const
{
    if (this->fleet) {
        // The fleet's sum includes the observations of this process.
        const auto received = this->fleet->sums.find(key);
        if (received != this->fleet->sums.end()) {
            return received->second.sum;
        }
    }
    const Sums &heard = this->sumsOf(SpeedScope::Fleet);
    const auto found = find(heard, key);
    return found == heard.end() ? Sum {} : found->second;
}

std::optional<double> UpstreamSpeeds::usualLogDuration(const Upstreams &upstreams) const
{
    std::vector<std::pair<double, double>> known; ///< Logarithms of the durations, and trust.
    double totalTrust = 0.0;
    for (const auto &[key, upstream] : upstreams) {
        const auto found = this->estimates.find(key);
        if (found != this->estimates.end()) {
            const Estimate &each = found->second;
            known.emplace_back(each.logDuration, each.trust / (each.trust + priorWeight));
            totalTrust += known.back().second;
        }
    }
    if (known.empty()) {
        return std::nullopt;
    }
    // The mean of the middle half, so that a few wild values have no effect.
    std::sort(known.begin(), known.end());
    double passed = 0.0;
    double sum = 0.0;
    for (const auto &[logDuration, trust] : known) {
        const double from = std::max(passed, totalTrust / 4.0);
        passed += trust;
        const double to = std::min(passed, totalTrust * 3.0 / 4.0);
        sum += std::max(0.0, to - from) * logDuration;
    }
    return sum / (totalTrust / 2.0);
}

void UpstreamSpeeds::estimate(const std::string &service, const Upstreams &upstreams, Instant now,
                              std::vector<SpeedChange> &changes)
{
    for (const auto &[key, upstream] : upstreams) {
        const Sum sum = this->totalFor(key);
        if (sum.weight < minWeight) {
            this->estimates.erase(key);
            continue;
        }
        Estimate &estimate = this->estimates.try_emplace(key, Estimate {now, now}).first->second;
        if (sum.weight > estimate.lastWeight) {
            estimate.lastGrowthAt = now;
        }
        estimate.lastWeight = sum.weight;
        const double periods = 1.0
            + inSeconds(estimate.lastGrowthAt - estimate.firstReceivedAt) / inSeconds(samplePeriod);
        estimate.trust = std::min(sum.weight, periods);
        estimate.logDuration = sum.mean;
    }
    const std::optional<double> usual = this->usualLogDuration(upstreams);
    if (!usual) {
        this->usualDurations.erase(service);
    } else {
        this->usualDurations[service] = *usual;
    }
    for (const auto &[key, upstream] : upstreams) {
        const auto found = this->estimates.find(key);
        if (found != this->estimates.end()) {
            Estimate &each = found->second;
            each.logSpeed
                = std::clamp((*usual - each.logDuration) * each.trust / (each.trust + priorWeight),
                             -maxLogSpeed, maxLogSpeed);
        }
    }
    const double insignificant
        = this->isUneven(upstreams) ? insignificantLogSpeed : insignificantLogSpeedAmongEqual;
    for (const auto &[key, upstream] : upstreams) {
        this->apply(upstream, key, insignificant, changes);
    }
}

bool UpstreamSpeeds::isUneven(const Upstreams &upstreams) const
{
    std::size_t known = 0;
    std::size_t differing = 0;
    for (const auto &[key, upstream] : upstreams) {
        const auto found = this->estimates.find(key);
        if (found != this->estimates.end()) {
            known += 1;
            differing += std::abs(found->second.logSpeed) >= unevenLogSpeed ? 1 : 0;
        }
    }
    return static_cast<double>(differing) > unevenShare * static_cast<double>(known);
}

void UpstreamSpeeds::apply(const std::string &upstream, SpeedKey key, double insignificantLogSpeed,
                           std::vector<SpeedChange> &changes)
{
    const auto found = this->estimates.find(key);
    if (found == this->estimates.end()) {
        this->speeds.erase(key);
        return;
    }
    Estimate &estimate = found->second;
    const double insignificant = insignificantLogSpeed + expectedSpread / std::sqrt(estimate.trust);
    double speed = 1.0;
    if (std::abs(estimate.logSpeed) < insignificant) {
        this->speeds.erase(key);
    } else {
        speed = std::clamp(std::exp(estimate.logSpeed), minSpeed, maxSpeed);
        this->speeds[key] = speed;
    }
    const double factor = std::max(speed, estimate.journaled) / std::min(speed, estimate.journaled);
    if (factor >= noticeableFactor) {
        changes.push_back({upstream, std::exchange(estimate.journaled, speed), speed});
    }
}

double UpstreamSpeeds::speed(const std::string &upstream, std::uint64_t incarnation) const
{
    if (this->speeds.empty()) {
        return 1.0;
    }
    const auto found = this->speeds.find(speedKey(upstream, incarnation));
    return found == this->speeds.end() ? 1.0 : found->second;
}

std::vector<std::pair<std::string, double>>
UpstreamSpeeds::mostDiffering(std::size_t maxCount) const
{
    std::vector<std::pair<std::string, double>> found;
    for (const auto &[service, upstreams] : this->upstreamsOfService) {
        for (const auto &[key, upstream] : upstreams) {
            const auto speed = this->speeds.find(key);
            if (speed != this->speeds.end()) {
                found.emplace_back(upstream, speed->second);
            }
        }
    }
    const auto differsMore = [](const auto &a, const auto &b) {
        return std::abs(std::log(a.second)) > std::abs(std::log(b.second));
    };
    const std::size_t count = std::min(maxCount, found.size());
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count),
                      found.end(), differsMore);
    found.resize(count);
    return found;
}

// Reports to others ------------------------------------------------------------------------------

SpeedSum UpstreamSpeeds::reported(SpeedKey key, const Sum &sum)
{
    const auto weight = static_cast<std::uint32_t>(
        std::min(std::round(sum.weight / weightUnit), static_cast<double>(maxWeight)));
    const double mean = std::clamp(sum.mean / logDurationUnit, 0.0, maxLogDuration * 1.0);
    return {key, weight, static_cast<std::uint32_t>(std::lround(mean))};
}

bool UpstreamSpeeds::isDue(const ReportedSum &last, const SpeedSum &sum, SpeedScope scope,
                           Instant now)
{
    const microseconds age = now - last.reportedAt;
    const std::uint32_t difference = std::max(sum.logDuration, last.sum.logDuration)
        - std::min(sum.logDuration, last.sum.logDuration);
    const bool changed = difference >= reportedChange
        || sum.weight >= last.sum.weight * (1.0 + reportedWeightChange)
        || sum.weight * (1.0 + reportedWeightChange) <= last.sum.weight;
    const seconds repeat = scope == SpeedScope::Process ? repeatInterval : totalsRepeatInterval;
    return age >= repeat || (changed && age >= minReportInterval);
}

std::vector<SpeedSum> UpstreamSpeeds::takeChanged(SpeedScope scope, std::size_t maxCount,
                                                  Instant now)
{
    const Sums &current = this->sumsOf(scope);
    std::map<SpeedKey, ReportedSum> &reportedSums = this->reportedByScope[scope];
    std::vector<SpeedSum> changed;
    for (auto each = reportedSums.begin();
         each != reportedSums.end() && changed.size() < maxCount;) {
        if (find(current, each->first) != current.end()) {
            ++each;
            continue;
        }
        changed.push_back({each->first, 0, 0});
        each = reportedSums.erase(each);
    }
    SpeedKey &next = this->nextToReport[scope];
    auto each = std::lower_bound(current.begin(), current.end(), next,
                                 [](const auto &entry, SpeedKey key) { return entry.first < key; });
    for (std::size_t step = 0; step < current.size() && changed.size() < maxCount; ++step) {
        each = each == current.end() ? current.begin() : each;
        const SpeedSum sum = reported(each->first, each->second);
        const auto before = reportedSums.find(each->first);
        if (before == reportedSums.end() || isDue(before->second, sum, scope, now)) {
            changed.push_back(sum);
            reportedSums[each->first] = {sum, now};
        }
        ++each;
        next = each == current.end() ? 0 : each->first;
    }
    return changed;
}

std::vector<SpeedSum> UpstreamSpeeds::sums(SpeedScope scope) const
{
    std::vector<SpeedSum> all;
    for (const auto &[key, sum] : this->sumsOf(scope)) {
        all.push_back(reported(key, sum));
    }
    return all;
}

} // namespace azurespindle::decision
