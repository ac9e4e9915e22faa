#ifndef AZURESPINDLE_CONFIGURATION_DOCUMENT_STORE_H
#define AZURESPINDLE_CONFIGURATION_DOCUMENT_STORE_H

#include "json/object_reader.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace azurespindle::configuration {

/// Result of offering a document to a DocumentStore.
enum class OfferResult {
    Accepted,  ///< The document was valid and is now in force.
    Unchanged, ///< The revision is the one in force.
    Stale,     ///< The revision is lower than the one in force.
    Invalid,   ///< The document failed validation and was refused as a whole.
};

/// Holds the valid published document with the highest revision.
///
/// The revision never decreases: a lower one is refused from every source, even after the source
/// was down or stale for a long time. A document that fails validation leaves the held one in
/// force.
class DocumentStore
{
public:
    /// Validates a parsed document and returns its faults. The store itself checks the revision.
    using Validator = std::function<json::Faults(const nlohmann::json &)>;

    static constexpr std::size_t maxBytes = 1'048'576; ///< Largest document.

    explicit DocumentStore(Validator validate);

    // Commands

    /// Parses and validates \a text and puts it in force if its revision is the highest so far.
    OfferResult offer(const std::string &text);

    // Queries

    /// Returns the revision in force, 0 if there is none.
    std::uint64_t revision() const { return this->currentRevision; }
    /// Returns the XXH3 hash of text(), 0 if no document is in force.
    std::uint64_t digest() const { return this->currentDigest; }
    const std::string &text() const { return this->currentText; }
    const nlohmann::json &document() const { return this->currentDocument; }
    /// Returns the revision of the last invalid document, 0 if there was none or it had no
    /// readable revision.
    std::uint64_t refusedRevision() const { return this->lastInvalidRevision; }
    /// Returns the faults of the last invalid document.
    const json::Faults &refusedFaults() const { return this->lastInvalidFaults; }

private:
    Validator validate;
    std::uint64_t currentRevision = 0;
    std::uint64_t currentDigest = 0;
    std::string currentText;
    nlohmann::json currentDocument;
    std::uint64_t lastInvalidRevision = 0;
    json::Faults lastInvalidFaults;
};

} // namespace azurespindle::configuration

#endif
