#ifndef AZURESPINDLE_MEMBERS_TABLE_EXCHANGE_H
#define AZURESPINDLE_MEMBERS_TABLE_EXCHANGE_H

#include "base/recent_map.h"
#include "members/membership.h"

#include <cstdint>
#include <string>

namespace azurespindle::members {

/// Decides when a member is sent a whole table, such as the membership table, because its digest
/// differs.
///
/// While members come and go, most digests of the membership differ for a second or two, until
/// gossip has told everybody what changed. Only a difference that lasts is worth a table, and it is
/// worth another one only if the first did not help.
class TableExchange
{
public:
    /// Heartbeat in a row with a differing digest that is answered with the table.
    static constexpr std::uint32_t differencesBeforeTable = 2;
    /// Further differing heartbeats before the table is sent again.
    static constexpr std::uint32_t differencesBetweenTables = 3;

    /// \param firstTable heartbeat in a row with a differing digest that is answered with the
    /// table.
    explicit TableExchange(std::uint32_t firstTable = differencesBeforeTable)
        : firstTable(firstTable)
    { }

    // Commands

    /// Records a heartbeat of \a member.
    /// \param differs true if its digest is not the one of this process.
    /// \return true if the member is to be sent the table.
    bool isDue(const std::string &member, bool differs);

private:
    const std::uint32_t firstTable;
    /// Heartbeats in a row whose digest differed, by member.
    RecentMap<std::string, std::uint32_t> differences {Membership::maxMembers};
};

} // namespace azurespindle::members

#endif
