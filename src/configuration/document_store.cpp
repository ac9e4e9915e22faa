#include "configuration/document_store.h"

#include <utility>
#include <xxhash.h>

namespace azurespindle::configuration {
namespace {

std::uint64_t readRevision(const nlohmann::json &document)
{
    const auto found = document.is_object() ? document.find("revision") : document.end();
    const bool hasRevision
        = document.is_object() && found != document.end() && found->is_number_unsigned();
    return hasRevision ? found->get<std::uint64_t>() : 0;
}

} // namespace

DocumentStore::DocumentStore(Validator validate) : validate(std::move(validate))
{ }

OfferResult DocumentStore::offer(const std::string &text)
{
    json::Faults faults;
    std::optional<nlohmann::json> parsed;
    if (text.size() > maxBytes) {
        faults.push_back({"$", std::to_string(text.size()) + " bytes", "at most 1048576 bytes"});
    } else {
        parsed = json::parseText(text, faults);
    }
    const std::uint64_t revision = parsed ? readRevision(*parsed) : 0;
    if (parsed && revision != 0 && revision <= this->currentRevision) {
        return revision == this->currentRevision ? OfferResult::Unchanged : OfferResult::Stale;
    }
    if (parsed && revision == 0) {
        faults.push_back({"$.revision", "nothing usable", "a whole number above 0"});
    }
    if (faults.empty()) {
        faults = this->validate(*parsed);
    }
    if (!faults.empty()) {
        this->lastInvalidRevision = revision;
        this->lastInvalidFaults = std::move(faults);
        return OfferResult::Invalid;
    }
    this->currentRevision = revision;
    this->currentDigest = XXH3_64bits(text.data(), text.size());
    this->currentText = text;
    this->currentDocument = std::move(*parsed);
    return OfferResult::Accepted;
}

} // namespace azurespindle::configuration
