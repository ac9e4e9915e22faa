#include "decision/key_register.h"

#include <charconv>
#include <cstdio>
#include <utility>

namespace azurespindle::decision {
namespace {

constexpr int hexadecimal = 16;

/// Cuts the last field off \a text and reads it as a hexadecimal number.
bool takeLastNumber(std::string &text, std::uint64_t &number)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string::npos) {
        return false;
    }
    const char *begin = text.data() + dot + 1;
    const char *end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(begin, end, number, hexadecimal);
    const bool whole = begin != end && code == std::errc() && rest == end;
    text.resize(dot);
    return whole;
}

} // namespace

const char *name(KeyVerdict verdict)
{
    switch (verdict) {
    case KeyVerdict::Run:
        return "run";
    case KeyVerdict::InProgress:
        return "in-progress";
    case KeyVerdict::Answered:
        return "answered";
    case KeyVerdict::Ran:
        return "ran";
    case KeyVerdict::Mismatch:
        return "mismatch";
    case KeyVerdict::Expired:
        return "expired";
    case KeyVerdict::NotHere:
        return "not-here";
    case KeyVerdict::Full:
        return "full";
    }
    return "unknown";
}

std::string formatKey(const KeyParts &parts)
{
    char numbers[64];
    std::snprintf(numbers, sizeof(numbers), ".%llx.%llx.%016llx",
                  static_cast<unsigned long long>(parts.life),
                  static_cast<unsigned long long>(parts.bornMs),
                  static_cast<unsigned long long>(parts.nonce));
    return parts.home + numbers;
}

std::optional<KeyParts> parseKey(const std::string &text)
{
    KeyParts parts;
    std::string rest = text;
    const bool whole = takeLastNumber(rest, parts.nonce) && takeLastNumber(rest, parts.bornMs)
        && takeLastNumber(rest, parts.life) && !rest.empty();
    if (!whole) {
        return std::nullopt;
    }
    parts.home = rest;
    return parts;
}

KeyRegister::KeyRegister(std::string home, std::uint64_t life, Instant began)
    : home(std::move(home)), life(life), began(began)
{ }

std::string KeyRegister::mint(std::uint64_t nonce, Instant now) const
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - this->began);
    return formatKey({this->home, this->life, static_cast<std::uint64_t>(age.count()), nonce});
}

KeyVerdict KeyRegister::begin(const std::string &key, std::uint64_t fingerprint, Instant now)
{
    const auto parts = parseKey(key);
    const bool ours = parts && parts->home == this->home && parts->life == this->life;
    // Another spelling of the same numbers would be another entry, and a second run.
    if (!ours || formatKey(*parts) != key) {
        return KeyVerdict::NotHere;
    }
    const Instant born = this->began + milliseconds(parts->bornMs);
    if (born > now || now - born > validity) {
        return KeyVerdict::Expired;
    }
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        if (this->entries.size() >= maxKeys) {
            return KeyVerdict::Full;
        }
        this->entries[key] = {State::Running, fingerprint, born, std::nullopt};
        return KeyVerdict::Run;
    }
    if (found->second.fingerprint != fingerprint) {
        return KeyVerdict::Mismatch;
    }
    if (found->second.state == State::Running) {
        return KeyVerdict::InProgress;
    }
    return found->second.answer ? KeyVerdict::Answered : KeyVerdict::Ran;
}

void KeyRegister::answer(const std::string &key, const KeptAnswer &answer)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        return;
    }
    found->second.state = State::Answered;
    if (answer.body.size() > maxAnswerBytes) {
        return;
    }
    found->second.answer = answer;
    this->answerOrder.push_back(key);
    this->answerBytes += answer.body.size();
    this->dropAnswers();
}

void KeyRegister::dropAnswers()
{
    while (this->answerBytes > maxKeptBytes && !this->answerOrder.empty()) {
        const auto oldest = this->entries.find(this->answerOrder.front());
        this->answerOrder.pop_front();
        if (oldest != this->entries.end() && oldest->second.answer) {
            this->answerBytes -= oldest->second.answer->body.size();
            oldest->second.answer.reset();
        }
    }
}

void KeyRegister::release(const std::string &key)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end() && found->second.state == State::Running) {
        this->entries.erase(found);
    }
}

void KeyRegister::close(const std::string &key)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end() && found->second.state == State::Running) {
        found->second.state = State::Closed;
    }
}

void KeyRegister::passTime(Instant now)
{
    for (auto each = this->entries.begin(); each != this->entries.end();) {
        const Entry &entry = each->second;
        const bool over = now - entry.born > validity && entry.state != State::Running;
        if (!over) {
            ++each;
            continue;
        }
        if (entry.answer) {
            this->answerBytes -= entry.answer->body.size();
        }
        each = this->entries.erase(each);
    }
    while (!this->answerOrder.empty() && this->entries.count(this->answerOrder.front()) == 0) {
        this->answerOrder.pop_front();
    }
}

const KeptAnswer *KeyRegister::find(const std::string &key) const
{
    const auto found = this->entries.find(key);
    const bool kept = found != this->entries.end() && found->second.answer.has_value();
    return kept ? &*found->second.answer : nullptr;
}

} // namespace azurespindle::decision
