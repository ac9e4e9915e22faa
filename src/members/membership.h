#ifndef AZURESPINDLE_MEMBERS_MEMBERSHIP_H
#define AZURESPINDLE_MEMBERS_MEMBERSHIP_H

#include "base/time_types.h"
#include "journal/event_id.h"
#include "members/messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::members {

/// Assigns \a key to one of \a names by rendezvous hashing (highest random weight): when a name is
/// removed, only the keys assigned to it move.
/// \return an index into \a names, or nothing if it is empty.
std::optional<std::size_t> rendezvousIndex(const std::vector<std::string> &names,
                                           const std::string &key);

/// Membership list of the fleet with failure detection, in the manner of SWIM gossip.
///
/// It does no I/O and reads no clock: heartbeats, received records and the time are passed in, and
/// the functions return the records that changed and are to be gossiped. Each member exchanges
/// heartbeats with a few neighbours only, so that its cost does not grow with the fleet; a change
/// is forwarded along these links once by each member. A neighbour that times out is suspected
/// before it is declared dead, and refutes the suspicion with a higher incarnation if it is alive.
class Membership
{
public:
    static constexpr milliseconds heartbeatInterval {1'000};
    /// Silence of a neighbour after which its connections are closed and opened anew, since the
    /// connection itself may be at fault.
    static constexpr milliseconds reconnectAfter {2'500};
    /// Silence of a neighbour after which it is suspected.
    static constexpr milliseconds suspectAfter {4'000};
    /// Time from suspicion until a member is declared dead, in which it can refute.
    static constexpr milliseconds deadAfter {3'000};
    /// How long the record of a dead or departed member is kept, so that outdated gossip about it
    /// is recognized.
    static constexpr seconds deadRetention {600};
    static constexpr std::size_t sameZoneNeighbours = 2; ///< Neighbours chosen in the own zone.
    static constexpr std::size_t anyZoneNeighbours = 2;  ///< Neighbours chosen in the whole fleet.
    static constexpr std::size_t maxMembers = 4'096;     ///< Records kept, besides the own one.

    explicit Membership(MemberRecord self);

    // Commands

    /// Merges records received from another member. \return those that were new, to be gossiped.
    std::vector<MemberRecord> merge(const std::vector<MemberRecord> &records, Instant now);
    /// Records that a message arrived directly from a member. \return the member's record if a
    /// newer incarnation made it alive again.
    std::vector<MemberRecord> markHeard(const std::string &name, std::uint64_t incarnation,
                                        Instant now);
    /// Suspects silent neighbours, declares suspects dead that did not refute in time, and drops
    /// expired records. \return the records that changed.
    std::vector<MemberRecord> checkTimeouts(Instant now);
    /// Marks this member as leaving gracefully. \return its record.
    std::vector<MemberRecord> leave();
    /// Returns and clears the journal entries collected since the last call.
    std::vector<journal::Entry> takeJournalEntries();

    // Queries

    const MemberRecord &self() const { return this->own; }
    /// Returns all known records, this member's included, ordered by name.
    std::vector<MemberRecord> records() const;
    /// Returns the members that are alive or suspected, this one included, ordered by name.
    std::vector<MemberRecord> active() const;
    std::optional<MemberRecord> find(const std::string &name) const;
    /// Returns the members that this one monitors by heartbeats: up to sameZoneNeighbours of its
    /// own zone and up to anyZoneNeighbours of the whole fleet.
    const std::vector<MemberRecord> &neighbours() const;
    /// Returns the active members in \a zone, or all active members if the zone has none.
    std::vector<MemberRecord> activeInZone(const std::string &zone) const;
    /// Returns a dead member to reconnect to, so that partitions heal; nothing if there is none.
    /// \param turn consecutive values go through the dead members in turn.
    std::optional<MemberRecord> deadMemberToRetry(std::uint64_t turn) const;
    /// Returns the time since a member was last heard, or the maximum for an unknown member.
    microseconds sinceLastHeard(const std::string &name, Instant now) const;
    /// Returns a digest of all records, by which members notice that their lists differ.
    std::uint64_t digest() const;
    /// Returns a number that changes whenever a record changes, appears or is dropped.
    std::uint64_t changeCount() const { return this->changes; }

private:
    struct Peer
    {
        MemberRecord record;
        Instant lastHeard;  ///< Time of the last message from it or the last new record of it.
        Instant stateSince; ///< Time at which its present state began.
    };

    static bool supersedes(const MemberRecord &received, const MemberRecord &known);
    bool mergeRecord(const MemberRecord &record, Instant now);
    bool refute(const MemberRecord &record);
    void setState(Peer &peer, MemberState state, Instant now);
    void addEntry(journal::EventId id, const MemberRecord &record);

    /// Drops what was computed from the records. Every change of a record calls it.
    void noteChange();
    std::vector<MemberRecord> chooseNeighbours() const;

    MemberRecord own;
    std::map<std::string, Peer> peers;
    std::vector<journal::Entry> entries;
    std::uint64_t changes = 0;                        ///< See changeCount().
    mutable std::optional<std::uint64_t> knownDigest; ///< Result of digest(); unset if outdated.
    /// Result of neighbours(); unset if outdated.
    mutable std::optional<std::vector<MemberRecord>> knownNeighbours;
};

} // namespace azurespindle::members

#endif
