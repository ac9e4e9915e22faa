#ifndef AZURESPINDLE_MEMBERS_SHARED_DOCUMENTS_H
#define AZURESPINDLE_MEMBERS_SHARED_DOCUMENTS_H

#include "configuration/document_store.h"
#include "journal/event_id.h"
#include "members/messages.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::members {

/// Returns the name of a kind, such as "configuration".
const char *name(DocumentKind kind);

/// Result of offering a document.
struct OfferOutcome
{
    bool accepted = false;
    std::uint64_t knownRevision = 0; ///< Highest revision that was accepted or refused so far.
    /// Journal entry to record; none for a known revision or a repeated rejection.
    std::optional<journal::Entry> entry;
    nlohmann::json document; ///< The parsed document if it was accepted, else null.
};

/// Store of the two documents that all members share, the configuration and the VM list, each at
/// the highest valid revision.
class SharedDocuments
{
public:
    SharedDocuments();

    // Commands

    /// Offers a document, which is accepted if it is valid and newer than the current revision.
    /// \param source where the document came from, as written to the journal.
    OfferOutcome offer(DocumentKind kind, const std::string &text, const std::string &source);

    // Queries

    std::uint64_t revision(DocumentKind kind) const { return this->store(kind).revision(); }
    const std::string &text(DocumentKind kind) const { return this->store(kind).text(); }
    /// Returns the last configuration revision that failed validation, 0 if none did.
    std::uint64_t refusedRevision() const;
    /// Returns the last refused configuration revision and its faults, as text; empty if none was
    /// refused.
    std::string refusal() const;

private:
    configuration::DocumentStore &store(DocumentKind kind);
    const configuration::DocumentStore &store(DocumentKind kind) const;

    std::array<configuration::DocumentStore, 2> stores; ///< Indexed by DocumentKind.
    /// Texts rejected last, indexed by DocumentKind; a repeated rejection is not journalled again.
    std::array<std::string, 2> lastRejected;
};

} // namespace azurespindle::members

#endif
