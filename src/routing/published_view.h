#ifndef AZURESPINDLE_ROUTING_PUBLISHED_VIEW_H
#define AZURESPINDLE_ROUTING_PUBLISHED_VIEW_H

#include "base/error.h"
#include "base/time_types.h"
#include "journal/event_id.h"
#include "routing/route_table.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace azurespindle::routing {

/// Something published under a key, as it was last written or deleted.
struct PublishedItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
    bool operator==(const PublishedItem &other) const = default;
};

/// A zone whose upstreams are to get nothing.
struct EvacuatedZone
{
    std::string zone;
    bool operator==(const EvacuatedZone &other) const = default;
};

/// Something published that is of no concern here.
struct UnrelatedItem
{
    bool operator==(const UnrelatedItem &other) const = default;
};

/// What a published item says; an Error if it cannot be read.
using DecodedItem
    = std::variant<UnrelatedItem, RoutingConfiguration, UpstreamRecord, EvacuatedZone, Error>;
using ItemDecoder = std::function<DecodedItem(const PublishedItem &item)>;

/// What is in force: taken over whole by the decisions.
struct FleetState
{
    std::shared_ptr<const RouteTable> routeTable;    ///< nullptr until a configuration is known.
    std::map<std::string, UpstreamRecord> upstreams; ///< By id.
    std::set<std::string> evacuatedZones;
    std::uint64_t revision = 0;
};

/// Changes that one process tells another.
struct ViewUpdate
{
    bool isSnapshot = false;         ///< \a items is everything there is.
    std::uint64_t sinceRevision = 0; ///< Otherwise: everything that changed after this revision.
    std::uint64_t revision = 0;      ///< Nothing later than this revision is in it.
    std::vector<PublishedItem> items;
    bool operator==(const ViewUpdate &other) const = default;
};

/// What the operator and the upstreams published, as far as this process knows it.
///
/// Knows nothing of where changes come from (the publishing store, a peer): each is taken once, by
/// its revision. A configuration never goes back to a lower version. Upstreams that vanish all at
/// once, or just after an outage of the store, are kept for a moment: their records lapse while
/// the store is away and come back with it.
class PublishedView
{
public:
    /// How long the record of a vanished upstream is kept when it may only have lapsed.
    static constexpr milliseconds lapseGrace {1'900};
    /// Deletions so soon after an outage may be lapses.
    static constexpr milliseconds outageEcho {2'500};
    /// Part of the upstreams that vanish at once only by a lapse.
    static constexpr double lapsePart = 0.4;
    static constexpr std::size_t maxRemembered = 2'048; ///< Changes kept for peers.

    explicit PublishedView(ItemDecoder read);

    // Commands

    /// Takes over changes. \return false if they leave a gap after what is known.
    bool applyUpdate(const ViewUpdate &update, Instant now);
    /// Notes that the store answers again after an outage.
    void noteStoreRecovered(Instant now) { this->outageOver = now; }
    /// Drops the records whose grace is over. \return true if any was.
    bool expireRecords(Instant now);
    /// Takes the journal entries since the last call.
    std::vector<journal::Entry> takeJournalEntries();

    // Queries

    std::uint64_t revision() const { return this->known; }
    std::shared_ptr<const FleetState> state() const { return this->current; }
    /// Returns what changed after \a revision, or everything if that is no longer remembered.
    ViewUpdate changesAfter(std::uint64_t revision) const;

private:
    struct Held
    {
        PublishedItem item;
        DecodedItem fact;
    };

    std::vector<PublishedItem> missingFrom(const ViewUpdate &update) const;
    bool lapses(const std::vector<const PublishedItem *> &deletions, Instant now) const;
    void apply(const PublishedItem &item);
    void remove(const PublishedItem &item);
    void note(const UpstreamRecord &record, const UpstreamRecord *before);
    void rebuild();

    const ItemDecoder read;
    std::uint64_t known = 0;
    std::uint64_t forgotten = 0; ///< Changes up to this revision are not remembered one by one.
    std::map<std::string, Held> held;
    std::deque<PublishedItem> recent;      ///< In the order of revisions.
    std::map<std::string, Instant> lapsed; ///< Keys of vanished upstreams that are kept so long.
    std::shared_ptr<const RouteTable> routes;
    std::shared_ptr<const FleetState> current = std::make_shared<FleetState>();
    Instant outageOver = Instant::min();
    std::vector<journal::Entry> entries;
};

} // namespace azurespindle::routing

#endif
