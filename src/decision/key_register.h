#ifndef AZURESPINDLE_DECISION_KEY_REGISTER_H
#define AZURESPINDLE_DECISION_KEY_REGISTER_H

#include "base/time_types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace azurespindle::decision {

/// What an idempotency key says about itself.
struct KeyParts
{
    std::string home;         ///< Member that issued it and alone may run it.
    std::uint64_t life = 0;   ///< Which life of that member.
    std::uint64_t bornMs = 0; ///< Milliseconds since that life began.
    std::uint64_t nonce = 0;
    bool operator==(const KeyParts &other) const = default;
};

/// Formats a key: `home.life.born.nonce`, numbers in hexadecimal.
std::string formatKey(const KeyParts &parts);
/// Parses a key; returns nothing if it is not one of ours.
std::optional<KeyParts> parseKey(const std::string &text);

/// The answer that is kept for a caller who asks again.
struct KeptAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool operator==(const KeptAnswer &other) const = default;
};

/// What the register says to a call under a key.
enum class KeyVerdict {
    Run,        ///< The first time: run it.
    InProgress, ///< It runs now.
    Answered,   ///< It ran; here is its answer.
    Ran,        ///< It ran, or may have; its answer is not kept.
    Mismatch,   ///< The key was used for another call.
    Expired,    ///< Too old for this register to be sure.
    NotHere,    ///< Another member, or another life of this one, issued it.
    Full,       ///< No room to remember it; nothing was run.
};

const char *name(KeyVerdict verdict);

/// The keys that one member issued, in one life. Whoever holds the key may send the call any
/// number of times to any member: only the issuer runs it, and once.
///
/// No agreement among members is needed, because no second register can say Run for the key:
/// other members pass the call on, another life of the member refuses it. What is lost with the
/// process is the knowledge of the outcome, never the limit of one run.
class KeyRegister
{
public:
    static constexpr seconds validity {3'600};
    static constexpr std::size_t maxKeys = 65'536;
    static constexpr std::size_t maxAnswerBytes = 65'536;  ///< One answer.
    static constexpr std::size_t maxKeptBytes = 8'388'608; ///< All answers.

    KeyRegister(std::string home, std::uint64_t life, Instant began);

    // Commands

    /// Issues a key. \a nonce makes it hard to guess.
    std::string mint(std::uint64_t nonce, Instant now) const;
    /// Asks to run the call with this fingerprint. Only Run permits it, and only once.
    KeyVerdict begin(const std::string &key, std::uint64_t fingerprint, Instant now);
    /// Notes the answer of a call that ran.
    void answer(const std::string &key, const KeptAnswer &answer);
    /// Notes that the call provably did not run: the key may be used again.
    void release(const std::string &key);
    /// Notes that the call ended and may have run.
    void close(const std::string &key);
    /// Forgets keys that begin() would call Expired.
    void passTime(Instant now);

    // Queries

    /// Returns the answer of a call that ran, if it is still kept.
    const KeptAnswer *find(const std::string &key) const;
    std::size_t size() const { return this->entries.size(); }
    std::size_t keptBytes() const { return this->answerBytes; }

private:
    enum class State { Running, Answered, Closed };

    struct Entry
    {
        State state = State::Running;
        std::uint64_t fingerprint = 0;
        Instant born;
        std::optional<KeptAnswer> answer;
    };

    void dropAnswers();

    const std::string home;
    const std::uint64_t life;
    const Instant began;
    std::unordered_map<std::string, Entry> entries;
    std::deque<std::string> answerOrder; ///< Oldest first.
    std::size_t answerBytes = 0;
};

} // namespace azurespindle::decision

#endif
