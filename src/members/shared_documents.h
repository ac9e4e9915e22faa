#ifndef AZURESPINDLE_MEMBERS_SHARED_DOCUMENTS_H
#define AZURESPINDLE_MEMBERS_SHARED_DOCUMENTS_H

#include "configuration/document_keeper.h"
#include "journal/event_id.h"
#include "members/messages.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::members {

/// Returns the name of a kind, such as "configuration".
const char *name(DocumentKind kind);

/// What became of one offer of a document.
struct OfferOutcome
{
    bool accepted = false;
    std::uint64_t known = 0; ///< Highest revision accepted or refused: nothing lower is wanted.
    std::optional<journal::Entry> entry; ///< Nothing for what is known, or was told before.
    nlohmann::json document;             ///< The document, if it was accepted.
};

/// The two documents that all members share, each kept at its highest good revision.
class SharedDocuments
{
public:
    SharedDocuments();

    // Commands

    /// Takes in a document; \a source names where it came from.
    OfferOutcome offer(DocumentKind kind, const std::string &text, const std::string &source);

    // Queries

    std::uint64_t revision(DocumentKind kind) const { return this->keeper(kind).revision(); }
    const std::string &text(DocumentKind kind) const { return this->keeper(kind).text(); }
    /// Returns the last configuration revision that failed its check, 0 if none did.
    std::uint64_t refusedRevision() const;
    /// Returns that revision with its faults as text, or an empty text.
    std::string refusal() const;

private:
    configuration::DocumentKeeper &keeper(DocumentKind kind);
    const configuration::DocumentKeeper &keeper(DocumentKind kind) const;

    std::array<configuration::DocumentKeeper, 2> keepers; ///< By kind.
    std::array<std::string, 2> lastRejected; ///< By kind; a repetition is not journalled again.
};

} // namespace azurespindle::members

#endif
