#include "decision/idempotency_store.h"

#include <charconv>
#include <cstdio>
#include <utility>

namespace azurespindle::decision {
namespace {

constexpr int hexadecimal = 16;

/// Removes the last field from \a text and parses it as a hexadecimal number.
/// \return false if there is no such field or it is not a number.
bool removeLastNumber(std::string &text, std::uint64_t &number)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string::npos) {
        return false;
    }
    const char *begin = text.data() + dot + 1;
    const char *end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(begin, end, number, hexadecimal);
    const bool valid = begin != end && code == std::errc() && rest == end;
    text.resize(dot);
    return valid;
}

} // namespace

const char *name(IdempotencyDecision result)
{
    switch (result) {
    case IdempotencyDecision::Run:
        return "run";
    case IdempotencyDecision::InProgress:
        return "in-progress";
    case IdempotencyDecision::ResponseAvailable:
        return "answered";
    case IdempotencyDecision::ResponseUnavailable:
        return "ran";
    case IdempotencyDecision::Mismatch:
        return "mismatch";
    case IdempotencyDecision::Expired:
        return "expired";
    case IdempotencyDecision::IssuedElsewhere:
        return "not-here";
    case IdempotencyDecision::Full:
        return "full";
    }
    return "unknown";
}

std::string formatIdempotencyKey(const IdempotencyKey &parts)
{
    char numbers[64];
    std::snprintf(numbers, sizeof(numbers), ".%llx.%llx.%016llx",
                  static_cast<unsigned long long>(parts.incarnation),
                  static_cast<unsigned long long>(parts.issuedAtMs),
                  static_cast<unsigned long long>(parts.nonce));
    return parts.issuer + numbers;
}

std::optional<IdempotencyKey> parseIdempotencyKey(const std::string &text)
{
    IdempotencyKey parts;
    std::string rest = text;
    const bool valid = removeLastNumber(rest, parts.nonce)
        && removeLastNumber(rest, parts.issuedAtMs) && removeLastNumber(rest, parts.incarnation)
        && !rest.empty();
    if (!valid) {
        return std::nullopt;
    }
    parts.issuer = rest;
    return parts;
}

IdempotencyStore::IdempotencyStore(std::string issuer, std::uint64_t incarnation, Instant startedAt)
    : issuer(std::move(issuer)), incarnation(incarnation), startedAt(startedAt)
{ }

std::string IdempotencyStore::issue(std::uint64_t nonce, Instant now) const
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - this->startedAt);
    return formatIdempotencyKey(
        {this->issuer, this->incarnation, static_cast<std::uint64_t>(age.count()), nonce});
}

IdempotencyDecision IdempotencyStore::begin(const std::string &key, std::uint64_t fingerprint,
                                            Instant now)
{
    const auto parts = parseIdempotencyKey(key);
    const bool issuedHere
        = parts && parts->issuer == this->issuer && parts->incarnation == this->incarnation;
    // A key with the same numbers in another spelling would get an entry of its own, and the call
    // would run twice.
    if (!issuedHere || formatIdempotencyKey(*parts) != key) {
        return IdempotencyDecision::IssuedElsewhere;
    }
    const Instant issuedAt = this->startedAt + milliseconds(parts->issuedAtMs);
    if (issuedAt > now || now - issuedAt > validity) {
        return IdempotencyDecision::Expired;
    }
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        if (this->entries.size() >= maxKeys) {
            return IdempotencyDecision::Full;
        }
        this->entries[key] = {State::Running, fingerprint, issuedAt, std::nullopt};
        return IdempotencyDecision::Run;
    }
    if (found->second.fingerprint != fingerprint) {
        return IdempotencyDecision::Mismatch;
    }
    if (found->second.state == State::Running) {
        return IdempotencyDecision::InProgress;
    }
    return found->second.response ? IdempotencyDecision::ResponseAvailable
                                  : IdempotencyDecision::ResponseUnavailable;
}

void IdempotencyStore::storeResponse(const std::string &key, const StoredResponse &response)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        return;
    }
    found->second.state = State::Completed;
    if (response.body.size() > maxResponseBytes) {
        return;
    }
    found->second.response = response;
    this->responseOrder.push_back(key);
    this->responseBytes += response.body.size();
    this->evictResponses();
}

void IdempotencyStore::evictResponses()
{
    while (this->responseBytes > maxTotalResponseBytes && !this->responseOrder.empty()) {
        const auto oldest = this->entries.find(this->responseOrder.front());
        this->responseOrder.pop_front();
        if (oldest != this->entries.end() && oldest->second.response) {
            this->responseBytes -= oldest->second.response->body.size();
            oldest->second.response.reset();
        }
    }
}

void IdempotencyStore::release(const std::string &key)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end() && found->second.state == State::Running) {
        this->entries.erase(found);
    }
}

void IdempotencyStore::closeWithoutResponse(const std::string &key)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end() && found->second.state == State::Running) {
        found->second.state = State::Closed;
    }
}

void IdempotencyStore::evictExpired(Instant now)
{
    for (auto each = this->entries.begin(); each != this->entries.end();) {
        const Entry &entry = each->second;
        const bool expired = now - entry.issuedAt > validity && entry.state != State::Running;
        if (!expired) {
            ++each;
            continue;
        }
        if (entry.response) {
            this->responseBytes -= entry.response->body.size();
        }
        each = this->entries.erase(each);
    }
    while (!this->responseOrder.empty() && this->entries.count(this->responseOrder.front()) == 0) {
        this->responseOrder.pop_front();
    }
}

const StoredResponse *IdempotencyStore::find(const std::string &key) const
{
    const auto found = this->entries.find(key);
    const bool kept = found != this->entries.end() && found->second.response.has_value();
    return kept ? &*found->second.response : nullptr;
}

} // namespace azurespindle::decision
