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

/// Returns the member that \a key falls to, by rendezvous hashing: each key has its own order of
/// the members, so that one member's going moves only its own keys.
/// \return an index into \a names, or nothing if there are none.
std::optional<std::size_t> rendezvousIndex(const std::vector<std::string> &names,
                                           const std::string &key);

/// What this process knows of the other entry processes.
///
/// Pure: told of heartbeats, news and time, it says what changed and what to pass on. Each member
/// keeps links to a few neighbours only, so that its cost does not grow with the fleet; news of
/// a change is passed along the links once. A silent member is suspected first, and may refute
/// with a higher incarnation.
class Membership
{
public:
    static constexpr milliseconds heartbeatInterval {1'000};
    /// A link silent for so long is dialled anew: the connection itself may be the fault.
    static constexpr milliseconds reconnectAfter {2'500};
    static constexpr milliseconds suspectAfter {4'000};
    static constexpr milliseconds deadAfter {3'000}; ///< From suspicion to removal.
    /// A dead member's record is kept so long, to tell its old words from new ones.
    static constexpr seconds deadRetention {600};
    static constexpr std::size_t sameZoneNeighbours = 2; ///< Dialled in the own zone.
    static constexpr std::size_t anyZoneNeighbours = 2;  ///< Dialled anywhere.
    static constexpr std::size_t maxMembers = 4'096;

    explicit Membership(MemberRecord self);

    // Commands

    /// Takes in records that another member told. \return those that were news, to be passed on.
    std::vector<MemberRecord> merge(const std::vector<MemberRecord> &records, Instant now);
    /// Notes that a neighbour was heard. \return news, if it had been suspected.
    std::vector<MemberRecord> markHeard(const std::string &name, std::uint64_t incarnation,
                                        Instant now);
    /// Suspects and removes silent neighbours. \return the news of it.
    std::vector<MemberRecord> checkTimeouts(Instant now);
    /// Marks this member as stopping by plan. \return the news of it.
    std::vector<MemberRecord> leave();
    /// Takes the journal entries since the last call.
    std::vector<journal::Entry> takeJournalEntries();

    // Queries

    const MemberRecord &self() const { return this->own; }
    /// Returns every known record, this member's included, in the order of names.
    std::vector<MemberRecord> records() const;
    /// Returns the members that take part (alive or suspected, this one included).
    std::vector<MemberRecord> active() const;
    std::optional<MemberRecord> find(const std::string &name) const;
    /// Returns the members that this one keeps links to.
    std::vector<MemberRecord> neighbours() const;
    /// Returns the members that take part in \a zone, or all that do if it has none.
    std::vector<MemberRecord> activeInZone(const std::string &zone) const;
    /// Returns a dead member to try again, a different one each time, to heal a partition.
    std::optional<MemberRecord> deadMemberToRetry(std::uint64_t turn) const;
    /// Returns how long a neighbour has been silent.
    microseconds sinceLastHeard(const std::string &name, Instant now) const;
    /// Returns a digest of all records; equal where the same is known.
    std::uint64_t digest() const;

private:
    struct Known
    {
        MemberRecord record;
        Instant heard; ///< Directly, or at the last news of it.
        Instant since; ///< Of the present state.
    };

    static bool supersedes(const MemberRecord &news, const MemberRecord &known);
    bool mergeRecord(const MemberRecord &record, Instant now);
    bool refute(const MemberRecord &record);
    void set(Known &known, MemberState state, Instant now);
    void note(journal::EventId id, const MemberRecord &record);

    MemberRecord own;
    std::map<std::string, Known> others;
    std::vector<journal::Entry> entries;
};

} // namespace azurespindle::members

#endif
