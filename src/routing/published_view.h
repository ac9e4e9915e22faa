#ifndef AZURESPINDLE_ROUTING_PUBLISHED_VIEW_H
#define AZURESPINDLE_ROUTING_PUBLISHED_VIEW_H

#include "base/error.h"
#include "base/recent_map.h"
#include "base/text_delta.h"
#include "base/time_types.h"
#include "journal/event_id.h"
#include "routing/route_table.h"
#include "routing/store_revision.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace azurespindle::routing {

/// The value of an item as the difference from the value that it had at an earlier revision.
struct ValueDelta
{
    StoreRevision baseRevision; ///< Revision at which the earlier value was written.
    TextDelta text;
    bool operator==(const ValueDelta &other) const = default;
};

/// An item of the publishing store: a key with the value that was last written, or its deletion.
struct PublishedItem
{
    std::string key;
    std::string value;      ///< Empty if \a delta is set.
    StoreRevision revision; ///< Revision of the store at which it was written or deleted.
    bool deleted = false;
    std::optional<ValueDelta> delta {}; ///< Replaces the value between peers, if it is large.
    bool operator==(const PublishedItem &other) const = default;
};

/// A zone whose upstreams must not receive requests.
struct EvacuatedZone
{
    std::string zone;
    bool operator==(const EvacuatedZone &other) const = default;
};

/// An item that the router does not use.
struct UnrelatedItem
{
    bool operator==(const UnrelatedItem &other) const = default;
};

/// The decoded content of an item, or an Error if it is malformed.
using DecodedItem
    = std::variant<UnrelatedItem, RoutingConfiguration, UpstreamRecord, EvacuatedZone, Error>;
using ItemDecoder = std::function<DecodedItem(const PublishedItem &item)>;

/// What becomes of an item of the first listing of a new era.
enum class EraMerge {
    Taken,    ///< The listed item replaces what is known.
    Kept,     ///< What is known is newer: its writer said more later.
    Deferred, ///< It had been removed; it is believed if it is still listed after a while.
};

/// An immutable snapshot of the published state on which routing decisions are based.
struct FleetState
{
    std::shared_ptr<const RouteTable> routeTable;    ///< nullptr until a configuration is known.
    std::map<std::string, UpstreamRecord> upstreams; ///< Upstreams by id.
    std::set<std::string> evacuatedZones;
    StoreRevision revision; ///< Revision up to which published changes are included.
};

/// A set of published items that brings a PublishedView up to date.
struct ViewUpdate
{
    bool isSnapshot = false;     ///< True if \a items holds every item that exists.
    StoreRevision sinceRevision; ///< Unless a snapshot: holds all changes after this revision.
    StoreRevision revision;      ///< Revision up to which the update is complete.
    std::vector<PublishedItem> items;
    bool operator==(const ViewUpdate &other) const = default;
};

/// A local view of the published state, built from updates of the publishing store or of peers.
///
/// Each change is applied once, whichever source delivers it first, as its revision identifies it.
/// The configuration is never replaced by one of a lower version. Of several large values that one
/// update brings for an item, only the last is decoded.
///
/// Peers receive large values as differences, as far as these are retained: the configuration is
/// large, and most of its versions differ little.
///
/// A store that comes back from a copy begins a new era with older items. Its first listing is
/// merged with what is known: see EraMerge.
///
/// During an outage of the store, upstreams cannot renew their records, which expire and reappear
/// once the store is available again. Therefore upstreams that disappear in large numbers at once,
/// or shortly after an outage, are kept for a grace period.
class PublishedView
{
public:
    /// Time for which an upstream is kept after a removal that may be a mere expiry.
    static constexpr milliseconds removalGracePeriod {1'900};
    /// Time after an outage during which every removal is taken for an expiry.
    static constexpr milliseconds postOutageWindow {2'500};
    /// Fraction of the upstreams above which removals in one update are taken for an expiry.
    static constexpr double massRemovalFraction = 0.4;
    /// Number of changes that are retained to bring peers up to date.
    static constexpr std::size_t maxRetainedChanges = 2'048;
    /// Size of the values and differences that are retained for that.
    static constexpr std::size_t maxRetainedBytes = 1'048'576;
    /// Number of differences of one item that are sent together. A peer that needs more gets the
    /// whole value, because it holds each value in between while it applies them.
    static constexpr std::size_t maxDeltasInRow = 16;
    /// Size from which values are sent to peers as differences.
    static constexpr std::size_t minDeltaValueBytes = 4'096;

    /// Time for which an item is kept that the first listing of an era lacks, since its writer may
    /// not have written it again yet.
    static constexpr milliseconds eraGracePeriod {2'500};
    /// Time after which an item is believed that was removed in an earlier era and is listed in a
    /// new one: the store removes the records of upstreams that are gone sooner.
    static constexpr milliseconds returnedItemDelay {5'000};
    /// Time for which removals are remembered, longer than the age of a copy.
    static constexpr seconds removalMemory {60};
    static constexpr std::size_t maxRememberedRemovals = 4'096;

    explicit PublishedView(ItemDecoder decode);

    // Commands

    /// Applies \a update. \return false if changes are missing between the view and the update, or
    /// it has a difference from a value that is not known here.
    bool applyUpdate(const ViewUpdate &update, Instant now);
    /// Records that the store is available again after an outage.
    void noteStoreRecovered(Instant now) { this->storeRecoveredAt = now; }
    /// Removes the upstreams whose grace period is over. \return true if there were any.
    bool expireRecords(Instant now);
    /// Returns and clears the journal entries since the last call.
    std::vector<journal::Entry> takeJournalEntries();

    // Queries

    /// Returns the revision up to which all changes were applied.
    StoreRevision revision() const { return this->knownRevision; }
    std::shared_ptr<const FleetState> state() const { return this->current; }
    /// Returns the changes after \a revision, or a snapshot if they are no longer retained.
    ViewUpdate changesAfter(const StoreRevision &revision) const;
    /// Returns \a update, which was applied here, with differences in place of large values.
    ViewUpdate forPeers(const ViewUpdate &update) const;

private:
    /// An item with its decoded content.
    struct StoredItem
    {
        PublishedItem item;
        DecodedItem content;
    };
    /// The last content of an item that was removed.
    struct Removal
    {
        DecodedItem content;
        StoreRevision revision; ///< Of the removal.
        Instant at;
    };
    /// An item that is not believed yet.
    struct DeferredItem
    {
        PublishedItem item;
        Instant until;
    };

    /// Merges the first listing of a new era with what is known.
    void beginEra(const ViewUpdate &listing, Instant now);
    /// Returns what becomes of an item of that listing, whose content is \a listed.
    EraMerge mergeOf(const PublishedItem &item, const DecodedItem &listed, Instant now) const;
    /// Returns true if the known item \a key was kept over a change of era, and \a content, read in
    /// the new era, is older.
    bool wasKeptOver(const std::string &key, const DecodedItem &content) const;
    /// Stores the deferred items whose time has come. \return true if there were any.
    bool storeDeferredItems(Instant now);

    /// Returns \a items with the values that their differences yield, without the differences that
    /// are known already. \return nothing if a difference does not fit the known values.
    std::optional<std::vector<PublishedItem>>
    resolveDeltas(const std::vector<PublishedItem> &items) const;
    /// Applies items in the order of their revisions.
    void applyItems(const std::vector<PublishedItem> &items, Instant now);
    /// Appends the retained changes after \a revision to \a items, with a whole value in place of
    /// differences that are too many or larger together.
    void appendRetainedAfter(const StoreRevision &revision,
                             std::vector<PublishedItem> &items) const;
    /// Returns deletions for the known items that the snapshot \a update lacks, except for items
    /// that are newer than the snapshot.
    std::vector<PublishedItem> deletionsImpliedBy(const ViewUpdate &update) const;
    /// Returns true if \a deletions are probably records that expired during an outage of the
    /// store.
    bool looksLikeExpiry(const std::vector<const PublishedItem *> &deletions, Instant now) const;
    /// \param older earlier values of the same item, latest last, which are used if the value of
    /// \a item cannot be decoded.
    void store(const PublishedItem &item, const std::vector<const PublishedItem *> &older);
    /// Returns \a item as a change to retain: as the difference from \a before if it is large.
    static PublishedItem changeFrom(const PublishedItem &before, const PublishedItem &item);
    /// Takes over a configuration if it is of a higher version.
    void offerConfiguration(const PublishedItem &item, RoutingConfiguration configuration);
    void remove(const PublishedItem &item, Instant now);
    /// Keeps a change for peers.
    void retain(PublishedItem change);
    /// Records in the journal how \a record differs from its predecessor, which may be nullptr.
    void journalChange(const UpstreamRecord &record, const UpstreamRecord *previous);
    void rebuildState();

    const ItemDecoder decode;
    StoreRevision knownRevision;
    StoreRevision discarded; ///< Revision up to which changes are no longer retained.
    std::map<std::string, StoredItem> items;        ///< Current items by key.
    std::deque<PublishedItem> retainedChanges;      ///< Latest changes in the order of revisions.
    std::size_t retainedBytes = 0;                  ///< Size of \a retainedChanges.
    std::map<std::string, Instant> pendingRemovals; ///< End of the grace period by key.
    RecentMap<std::string, Removal> removals {maxRememberedRemovals}; ///< By key.
    std::map<std::string, DeferredItem> deferredItems;                ///< By key.
    bool sawEraChange = false; ///< True once a listing of a later era was merged.
    std::shared_ptr<const RouteTable> routeTable;
    std::shared_ptr<const FleetState> current = std::make_shared<FleetState>();
    Instant storeRecoveredAt = Instant::min();
    std::vector<journal::Entry> entries;
};

} // namespace azurespindle::routing

#endif
