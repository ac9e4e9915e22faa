#ifndef AZURESPINDLE_MEMBERS_TABLE_EXCHANGE_H
#define AZURESPINDLE_MEMBERS_TABLE_EXCHANGE_H

#include "base/recent_map.h"
#include "members/membership.h"

#include <cstdint>
#include <string>

namespace azurespindle::members {

/// Decides when a member is sent the whole membership table because its digest differs.
///
/// While members come and go, most digests differ for a second or two, until gossip has told
/// everybody what changed. Only a difference that lasts is worth a table, and it is worth another
/// one only if the first did not help.
class TableExchange
{
public:
    /// Heartbeat in a row with a differing digest that is answered with the table.
    static constexpr std::uint32_t differencesBeforeTable = 2;
    /// Further differing heartbeats before the table is sent again.
    static constexpr std::uint32_t differencesBetweenTables = 3;

    // Commands

    /// Records a heartbeat of \a member.
    /// \param differs true if its digest is not the one of this process.
    /// \return true if the member is to be sent the table.
    bool isDue(const std::string &member, bool differs);

private:
    /// Heartbeats in a row whose digest differed, by member.
    RecentMap<std::string, std::uint32_t> differences {Membership::maxMembers};
};

} // namespace azurespindle::members

#endif
