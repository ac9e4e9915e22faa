#include "routing/store_revision.h"

namespace azurespindle::routing {

std::string toText(const StoreRevision &revision)
{
    const std::string number = std::to_string(revision.number);
    return revision.era == 0 ? number : std::to_string(revision.era) + ":" + number;
}

} // namespace azurespindle::routing
