#include "members/table_exchange.h"

namespace azurespindle::members {

bool TableExchange::isDue(const std::string &member, bool differs)
{
    if (!differs) {
        this->differences.erase(member);
        return false;
    }
    std::uint32_t &count = this->differences.touch(member);
    count += 1;
    return count >= this->firstTable && (count - this->firstTable) % differencesBetweenTables == 0;
}

} // namespace azurespindle::members
