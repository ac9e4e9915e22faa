#include "decision/upstream_rate_limits.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::decision {
namespace {

/// Requests that a sender may save up.
constexpr double maxSaved = 1.0;
/// Difference up to which an amount counts as saved up, as sums of fractions are not exact.
constexpr double tolerance = 1e-6;

/// Returns how many processes share the rate of an upstream. Each gets at most one request a
/// second, so that what the senders save up is a small part of what the upstream takes.
std::size_t senderCount(double requestsPerSecond, std::size_t processes)
{
    const auto wanted = static_cast<std::size_t>(std::ceil(requestsPerSecond));
    return std::min(std::max(wanted, UpstreamRateLimits::minSenders), processes);
}

} // namespace

const char *name(LimitSource source)
{
    switch (source) {
    case LimitSource::Response:
        return "response";
    case LimitSource::Member:
        return "member";
    case LimitSource::Zone:
        return "zone";
    }
    return "unknown";
}

void UpstreamRateLimits::assign(const std::string &upstream, Limit &limit, Instant now) const
{
    const double before = limit.ownRate;
    limit.saved = savedBy(limit, now);
    limit.savedAt = now;
    limit.ownRate = 0.0;
    const bool isMember = this->processes != nullptr
        && std::find(this->processes->begin(), this->processes->end(), this->self)
            != this->processes->end();
    if (!limit.requestsPerSecond || !isMember) {
        return;
    }
    const double rate = std::max(*limit.requestsPerSecond, minRequestsPerSecond);
    const std::size_t count = senderCount(rate, this->processes->size());
    if (isSender(*this->processes, this->self, upstream, count)) {
        limit.ownRate = rate / static_cast<double>(count);
    }
    if (before == 0.0) {
        limit.saved = std::min(limit.saved, 0.0);
    }
}

double UpstreamRateLimits::savedBy(const Limit &limit, Instant now)
{
    return std::min(maxSaved, limit.saved + limit.ownRate * inSeconds(now - limit.savedAt));
}

void UpstreamRateLimits::setProcesses(const ProcessNames &names, const std::string &ownName,
                                      Instant now)
{
    const bool same = this->self == ownName
        && (this->processes == names
            || (this->processes != nullptr && names != nullptr && *this->processes == *names));
    this->processes = names;
    this->self = ownName;
    if (same) {
        return;
    }
    for (auto &[upstream, limit] : this->limitsByUpstream) {
        this->assign(upstream, limit, now);
    }
}

bool UpstreamRateLimits::note(const NamedLimit &named, LimitSource source, Instant now)
{
    const Instant observedAt = now - named.age;
    auto found = this->limitsByUpstream.find(named.upstream);
    if (found == this->limitsByUpstream.end()) {
        const bool worthKeeping
            = named.requestsPerSecond && this->limitsByUpstream.size() < maxUpstreams;
        if (!worthKeeping) {
            return false;
        }
        found = this->limitsByUpstream.emplace(named.upstream, Limit {}).first;
        found->second.savedAt = now;
    } else if (observedAt <= found->second.observedAt) {
        return false;
    }
    Limit &limit = found->second;
    const bool changed = limit.requestsPerSecond != named.requestsPerSecond
        || limit.incarnation != named.incarnation;
    limit.incarnation = named.incarnation;
    limit.requestsPerSecond = named.requestsPerSecond;
    limit.observedAt = observedAt;
    limit.source = source;
    if (changed) {
        this->assign(named.upstream, limit, now);
    }
    return changed;
}

void UpstreamRateLimits::recordSend(const std::string &upstream, Instant now)
{
    const auto found = this->limitsByUpstream.find(upstream);
    if (found != this->limitsByUpstream.end()) {
        found->second.saved = savedBy(found->second, now) - 1.0;
        found->second.savedAt = now;
    }
}

void UpstreamRateLimits::forgetUnless(
    const std::function<bool(const std::string &, std::uint64_t)> &isCurrent)
{
    std::erase_if(this->limitsByUpstream, [&](const auto &entry) {
        return !isCurrent(entry.first, entry.second.incarnation);
    });
}

std::optional<double> UpstreamRateLimits::rateOf(const std::string &upstream) const
{
    const auto found = this->limitsByUpstream.find(upstream);
    return found == this->limitsByUpstream.end() ? std::nullopt : found->second.requestsPerSecond;
}

bool UpstreamRateLimits::allows(const std::string &upstream, Instant now) const
{
    const auto found = this->limitsByUpstream.find(upstream);
    const bool limited
        = found != this->limitsByUpstream.end() && found->second.requestsPerSecond.has_value();
    return !limited
        || (found->second.ownRate > 0.0 && savedBy(found->second, now) >= maxSaved - tolerance);
}

double UpstreamRateLimits::ownRate(const std::string &upstream) const
{
    const auto found = this->limitsByUpstream.find(upstream);
    return found == this->limitsByUpstream.end() ? 0.0 : found->second.ownRate;
}

std::optional<microseconds> UpstreamRateLimits::timeUntilAllowed(const std::string &upstream,
                                                                 Instant now) const
{
    const auto found = this->limitsByUpstream.find(upstream);
    if (found == this->limitsByUpstream.end() || found->second.ownRate <= 0.0) {
        return std::nullopt;
    }
    const double missing = std::max(0.0, maxSaved - savedBy(found->second, now));
    return std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double>(missing / found->second.ownRate));
}

std::optional<Instant> UpstreamRateLimits::namedAt(const std::string &upstream) const
{
    const auto found = this->limitsByUpstream.find(upstream);
    const bool limited
        = found != this->limitsByUpstream.end() && found->second.requestsPerSecond.has_value();
    return limited ? std::optional(found->second.observedAt) : std::nullopt;
}

std::vector<NamedLimit> UpstreamRateLimits::limits(LimitSource furthest, Instant now) const
{
    std::vector<NamedLimit> known;
    for (const auto &[upstream, limit] : this->limitsByUpstream) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - limit.observedAt);
        const bool isCurrent = limit.requestsPerSecond || age < endedLimitRetention;
        if (isCurrent && limit.source <= furthest) {
            known.push_back({upstream, limit.incarnation, limit.requestsPerSecond, age});
        }
    }
    return known;
}

} // namespace azurespindle::decision
