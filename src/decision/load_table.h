#ifndef AZURESPINDLE_DECISION_LOAD_TABLE_H
#define AZURESPINDLE_DECISION_LOAD_TABLE_H

#include "base/time_types.h"
#include "decision/types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::decision {

/// What attempts take of one upstream.
struct Claim
{
    std::uint32_t attempts = 0;
    Tokens memory = 0;  ///< KV tokens, reckoned to the time of need.
    Tokens prefill = 0; ///< Prompt tokens that are still to be read.

    Claim &operator+=(const Claim &other);
    /// Subtracts, and stops at zero.
    Claim &operator-=(const Claim &other);
    bool operator==(const Claim &other) const = default;
};

/// What one process claims of one upstream, as processes tell one another.
struct UpstreamClaim
{
    std::string upstream;
    Claim claim;
    bool operator==(const UpstreamClaim &other) const = default;
};

/// What this process and its peers have under way at each upstream.
///
/// Answers for many processes choosing among the same upstreams at once: reports of the upstreams
/// are half a second old and the same for all, so all would choose the same one. Claims are told
/// when they change, and count at once.
class LoadTable
{
public:
    /// Claims of a peer that was not heard for so long count no more.
    static constexpr milliseconds peerMemory {3'000};

    // Commands

    void add(const std::string &upstream, const Claim &claim);
    void subtract(const std::string &upstream, const Claim &claim);
    /// Takes over what a peer claims; \a whole when it is everything.
    void tell(const std::string &peer, const std::vector<UpstreamClaim> &claims, bool whole,
              Instant now);
    /// Takes over what the processes of another zone claim together.
    void tellZone(const std::string &zone, const std::vector<UpstreamClaim> &claims, Instant now);
    /// Drops what silent peers and zones claimed.
    void forgetSilent(Instant now);
    /// Takes the own claims that changed since the last call.
    std::vector<UpstreamClaim> takeChanged();

    // Queries

    /// Returns what all together claim of an upstream.
    Claim total(const std::string &upstream) const;
    Claim own(const std::string &upstream) const;
    /// Returns true if what is claimed by processes of that zone comes as their sum.
    bool hearsSumOf(const std::string &zone) const { return this->zones.count(zone) > 0; }
    std::vector<UpstreamClaim> allOwn() const;
    /// Returns what this process and its peers claim together, without other zones' reports.
    std::vector<UpstreamClaim> ownAndPeers() const;

private:
    struct Peer
    {
        Instant heard;
        std::unordered_map<std::string, Claim> claims;
    };

    std::unordered_map<std::string, Claim> mine;
    std::map<std::string, bool> changed;
    std::unordered_map<std::string, Peer> peers;
    std::unordered_map<std::string, Peer> zones; ///< By zone: what its processes claim together.
};

} // namespace azurespindle::decision

#endif
