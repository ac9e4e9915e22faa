#ifndef AZURESPINDLE_CONFIGURATION_DOCUMENT_STORE_H
#define AZURESPINDLE_CONFIGURATION_DOCUMENT_STORE_H

#include "json/object_reader.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace azurespindle::configuration {

/// What became of a document that was offered.
enum class OfferResult {
    Accepted,  ///< It is in force now.
    Unchanged, ///< It is the one in force.
    Stale,     ///< A higher revision is in force.
    Invalid,   ///< It failed its check as a whole.
};

/// Keeps the published document of the highest revision that passed its check.
///
/// It never goes back: a lower revision is not taken from anybody, however long the source has
/// been down or stale. A document that fails its check changes nothing.
class DocumentStore
{
public:
    /// Checks a parsed document and returns its faults; a revision is always demanded.
    using Check = std::function<json::Faults(const nlohmann::json &)>;

    static constexpr std::size_t maxBytes = 1'048'576;

    explicit DocumentStore(Check check);

    // Commands

    OfferResult offer(const std::string &text);

    // Queries

    std::uint64_t revision() const { return this->currentRevision; }
    std::uint64_t digest() const { return this->currentDigest; }
    const std::string &text() const { return this->currentText; }
    const nlohmann::json &document() const { return this->currentDocument; }
    /// Returns the revision that was refused last, 0 if none was.
    std::uint64_t refusedRevision() const { return this->lastRefused; }
    const json::Faults &refusedFaults() const { return this->lastFaults; }

private:
    Check check;
    std::uint64_t currentRevision = 0;
    std::uint64_t currentDigest = 0;
    std::string currentText;
    nlohmann::json currentDocument;
    std::uint64_t lastRefused = 0;
    json::Faults lastFaults;
};

} // namespace azurespindle::configuration

#endif
