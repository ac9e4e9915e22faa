#ifndef AZURESPINDLE_MEMBERS_SHARED_DOCUMENTS_H
#define AZURESPINDLE_MEMBERS_SHARED_DOCUMENTS_H

#include "base/time_types.h"
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
///
/// Members fetch a higher revision from one another: one request at a time for each document, and
/// the difference if the requester has the revision before.
class SharedDocuments
{
public:
    /// How long the answer to a request may take before another one is sent.
    static constexpr milliseconds answerTimeout {1'000};

    SharedDocuments();

    // Commands

    /// Offers a document, which is accepted if it is valid and newer than the current revision.
    /// \param source where the document came from, as written to the journal.
    OfferOutcome offer(DocumentKind kind, const std::string &text, const std::string &source);
    /// Returns the request to send to a member that has \a revision of a document, if that is
    /// higher than the one here and no answer is on its way.
    std::optional<DocumentRequest> requestFor(DocumentKind kind, std::uint64_t revision,
                                              Instant now);
    /// Returns the document that a member sent. \return nothing if it is a difference that does not
    /// fit; the next request then asks for the whole document.
    std::optional<std::string> textOf(const DocumentResponse &response);

    // Queries

    /// Returns the answer to a member's request, or nothing if there is no document.
    std::optional<DocumentResponse> answer(const DocumentRequest &request) const;

    std::uint64_t revision(DocumentKind kind) const { return this->store(kind).revision(); }
    const std::string &text(DocumentKind kind) const { return this->store(kind).text(); }
    /// Returns the last configuration revision that failed validation, 0 if none did.
    std::uint64_t refusedRevision() const;
    /// Returns the last refused configuration revision and its faults, as text; empty if none was
    /// refused.
    std::string refusal() const;

private:
    /// State of fetching one document from members.
    struct Exchange
    {
        std::optional<Instant> requestedAt; ///< Set while an answer is on its way.
        bool needsWhole = false;            ///< The last difference did not fit.
        std::uint64_t previousRevision = 0; ///< Revision before the current one; 0: none.
        TextDelta fromPrevious;             ///< Difference between the two.
    };

    configuration::DocumentStore &store(DocumentKind kind);
    const configuration::DocumentStore &store(DocumentKind kind) const;

    std::array<configuration::DocumentStore, 2> stores; ///< Indexed by DocumentKind.
    std::array<Exchange, 2> exchanges;                  ///< Indexed by DocumentKind.
    /// Texts rejected last, indexed by DocumentKind; a repeated rejection is not journalled again.
    std::array<std::string, 2> lastRejected;
};

} // namespace azurespindle::members

#endif
