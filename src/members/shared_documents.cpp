#include "members/shared_documents.h"

#include "configuration/document.h"
#include "configuration/vm_list.h"

#include <algorithm>

namespace azurespindle::members {
namespace {

using configuration::OfferResult;

json::Faults checkConfiguration(const nlohmann::json &document)
{
    json::Faults faults;
    configuration::parseDocument(document, faults);
    return faults;
}

json::Faults checkVmList(const nlohmann::json &document)
{
    json::Faults faults;
    configuration::parseVmList(document, faults);
    return faults;
}

journal::EventId refusedEvent(DocumentKind kind)
{
    return kind == DocumentKind::Configuration ? journal::EventId::ConfigurationRefused
                                               : journal::EventId::VmListRefused;
}

/// Returns the journal entry for the result of an offer, or nothing if the revision was known.
std::optional<journal::Entry> entryOf(OfferResult offer, DocumentKind kind,
                                      const std::string &source,
                                      const configuration::DocumentStore &store)
{
    const bool refused = offer == OfferResult::Invalid;
    const std::uint64_t revision = refused ? store.refusedRevision() : store.revision();
    std::vector<journal::Field> fields {
        {"document", name(kind)}, {"revision", std::to_string(revision)}, {"source", source}};
    switch (offer) {
    case OfferResult::Accepted:
        return journal::Entry {journal::EventId::ConfigurationAccepted, fields};
    case OfferResult::Stale:
        return journal::Entry {journal::EventId::ConfigurationStale, fields};
    case OfferResult::Invalid:
        fields.push_back({"faults", json::listFaults(store.refusedFaults())});
        return journal::Entry {refusedEvent(kind), fields};
    case OfferResult::Unchanged:
        break;
    }
    return std::nullopt;
}

/// Returns the differences between two configurations as text; empty if there is no previous one.
std::string changesText(const nlohmann::json &before, const nlohmann::json &after)
{
    if (before.is_null()) {
        return {};
    }
    json::Faults ignoredFaults;
    std::string text;
    for (const std::string &line :
         configuration::differences(configuration::parseDocument(before, ignoredFaults),
                                    configuration::parseDocument(after, ignoredFaults))) {
        text.append(text.empty() ? "" : "; ").append(line);
    }
    return text;
}

} // namespace

const char *name(DocumentKind kind)
{
    return kind == DocumentKind::Configuration ? "configuration" : "vm-list";
}

SharedDocuments::SharedDocuments()
    : stores {configuration::DocumentStore(checkConfiguration),
              configuration::DocumentStore(checkVmList)}
{ }

configuration::DocumentStore &SharedDocuments::store(DocumentKind kind)
{
    return this->stores[static_cast<std::size_t>(kind)];
}

const configuration::DocumentStore &SharedDocuments::store(DocumentKind kind) const
{
    return this->stores[static_cast<std::size_t>(kind)];
}

OfferOutcome SharedDocuments::offer(DocumentKind kind, const std::string &text,
                                    const std::string &source)
{
    configuration::DocumentStore &store = this->store(kind);
    const nlohmann::json before = store.document();
    const std::uint64_t revisionBefore = store.revision();
    const std::string textBefore = store.text();
    const OfferResult result = store.offer(text);
    std::string &last = this->lastRejected[static_cast<std::size_t>(kind)];
    const bool rejected = result == OfferResult::Stale || result == OfferResult::Invalid;
    const bool repeated = rejected && last == text;
    last = rejected ? text : std::string();
    OfferOutcome outcome;
    outcome.accepted = result == OfferResult::Accepted;
    outcome.knownRevision = std::max(store.revision(), store.refusedRevision());
    if (!repeated) {
        outcome.entry = entryOf(result, kind, source, store);
    }
    if (outcome.accepted) {
        Exchange &exchange = this->exchanges[static_cast<std::size_t>(kind)];
        exchange.previousRevision = revisionBefore;
        exchange.fromPrevious = makeDelta(textBefore, text);
        outcome.document = store.document();
        if (kind == DocumentKind::Configuration) {
            outcome.entry->fields.push_back({"changes", changesText(before, outcome.document)});
        }
    }
    return outcome;
}

std::optional<DocumentRequest> SharedDocuments::requestFor(DocumentKind kind,
                                                           std::uint64_t revision, Instant now)
{
    const std::uint64_t known = this->store(kind).revision();
    Exchange &exchange = this->exchanges[static_cast<std::size_t>(kind)];
    const bool onItsWay = exchange.requestedAt && now - *exchange.requestedAt < answerTimeout;
    if (revision <= known || onItsWay) {
        return std::nullopt;
    }
    exchange.requestedAt = now;
    return DocumentRequest {kind, exchange.needsWhole ? 0 : known};
}

std::optional<std::string> SharedDocuments::textOf(const DocumentResponse &response)
{
    Exchange &exchange = this->exchanges[static_cast<std::size_t>(response.kind)];
    exchange.requestedAt.reset();
    exchange.needsWhole = false;
    if (!response.delta) {
        return response.text;
    }
    Result<std::string> text = applyDelta(this->store(response.kind).text(), *response.delta);
    if (!text.ok()) {
        exchange.needsWhole = true;
        return std::nullopt;
    }
    return text.takeValue();
}

std::optional<DocumentResponse> SharedDocuments::answer(const DocumentRequest &request) const
{
    const configuration::DocumentStore &store = this->store(request.kind);
    const Exchange &exchange = this->exchanges[static_cast<std::size_t>(request.kind)];
    if (store.revision() == 0) {
        return std::nullopt;
    }
    const bool fits
        = request.knownRevision != 0 && request.knownRevision == exchange.previousRevision;
    return fits ? DocumentResponse {request.kind, "", exchange.fromPrevious}
                : DocumentResponse {request.kind, store.text()};
}

std::uint64_t SharedDocuments::refusedRevision() const
{
    return this->store(DocumentKind::Configuration).refusedRevision();
}

std::string SharedDocuments::refusal() const
{
    const json::Faults &faults = this->store(DocumentKind::Configuration).refusedFaults();
    if (faults.empty()) {
        return {};
    }
    return "revision " + std::to_string(this->refusedRevision()) + json::listFaults(faults);
}

} // namespace azurespindle::members
