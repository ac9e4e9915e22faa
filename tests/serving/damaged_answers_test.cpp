// Plays answers that are damaged at any byte against a real process, and judges from the callers'
// and the servers' side alone.

#include "support/raw_fleet.h"
#include "support/suite.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>

namespace azurespindle::tests {
namespace {

constexpr std::uint16_t firstPort = 22'700;
constexpr std::size_t eventsOfAStream = 4;
/// Seeds played by default; AZURESPINDLE_DAMAGED_ANSWERS names another number.
constexpr int defaultSeeds = 400;

enum class Damage {
    None,
    RefusalOfAnother, ///< The refusal of an earlier request, though this one was run.
    RefusalWithoutId, ///< A refusal that names no request, though this one was run.
    AnswerOfAnother,  ///< The success of an earlier request.
    Cut,              ///< The answer ends after some byte.
    Reset,            ///< The answer is reset after some byte.
    SecondHead,       ///< An error's head and text follow the first events.
    ServerError,      ///< The server answers with its own error.
    ForeignPage,      ///< A success without the server's signature.
    TooLong,          ///< The stated length is longer than the body.
    Interim,          ///< 100 and 103 come first; the answer is sound.
    SoundRefusal,     ///< The request is refused and was not run.
    HeadInsideEvent,  ///< A stream without length breaks off at some byte; another answer follows.
    SpoiledLength,    ///< A byte of the stated length is no digit.
    InvalidStatus,    ///< The status is none that a server may send.
};

/// Damages that noDamageIsTakenForAnAnswer plays. Their number is a part of what a seed means.
constexpr std::size_t firstDamages = 12;
/// Damages that noSpoiledAnswerIsTakenForAnAnswer plays first, in turn.
constexpr std::array<Damage, 4> spoilingDamages {
    Damage::None,
    Damage::HeadInsideEvent,
    Damage::SpoiledLength,
    Damage::InvalidStatus,
};

/// How the end of a body is told.
enum class Framing { Length, Chunks, Connection, Count };

const char *const paths[] = {"/draft/1", "/check/1", "/order/1", "/look/1"};

std::string eventText(std::size_t number)
{
    return "id: " + std::to_string(number) + "\ndata: d" + std::to_string(number) + "\n\n";
}

std::string chunkOf(const std::string &bytes)
{
    std::array<char, 20> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

std::string fieldOf(const std::string &request, const std::string &name)
{
    const std::size_t at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

bool isStream(const std::string &path)
{
    return path == paths[0] || path == paths[1];
}

bool mayRepeat(const std::string &path)
{
    return path == paths[1] || path == paths[3];
}

std::string bodyOf(const std::string &id)
{
    return "the whole answer to " + id;
}

std::string framed(const std::string &head, const std::vector<std::string> &pieces, Framing framing)
{
    std::string body;
    if (framing == Framing::Chunks) {
        for (const std::string &piece : pieces) {
            body += chunkOf(piece);
        }
        return head + "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n";
    }
    for (const std::string &piece : pieces) {
        body += piece;
    }
    const std::string length = framing == Framing::Length
        ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
        : "";
    return head + length + "\r\n" + body;
}

/// Makes the answers of one seed and remembers what was done with each request.
class DamagingServers
{
public:
    /// \param countTakeovers true to count a request that goes on from a copy (`Kv-From`) as a run.
    /// To the platform it is the same run as the one before.
    explicit DamagingServers(bool countTakeovers) : countTakeovers(countTakeovers) { }

    RawAnswer answer(const std::string &request)
    {
        const std::string id = fieldOf(request, "Azurespindle-Attempt-Id");
        const std::lock_guard lock(this->mutex);
        Play &play = this->plays[id];
        const auto choose = [&play](std::size_t count) { return play.random() % count; };
        const Damage damage
            = play.attempts == 0 ? play.first : static_cast<Damage>(choose(firstDamages));
        const auto framing = static_cast<Framing>(choose(static_cast<std::size_t>(Framing::Count)));
        play.attempts += 1;
        if (damage == Damage::SoundRefusal) {
            return {refusal(id)};
        }
        const bool goesOn = !fieldOf(request, "Kv-From").empty();
        play.runs += goesOn && !this->countTakeovers ? 0 : 1;
        return this->damaged(play, request, id, damage, framing);
    }

    void prepare(const std::string &id, int seed, const std::string &path, Damage first)
    {
        const std::lock_guard lock(this->mutex);
        Play &play = this->plays[id];
        play.random.seed(static_cast<unsigned>(seed));
        play.first = first;
        play.path = path;
    }

    std::size_t runsOf(const std::string &id) const
    {
        const std::lock_guard lock(this->mutex);
        return this->plays.at(id).runs;
    }

private:
    struct Play
    {
        std::mt19937 random;
        Damage first = Damage::None;
        std::string path;
        std::size_t attempts = 0;
        std::size_t runs = 0; ///< Attempts that a server did not truthfully refuse.
    };

    static std::string headOf(int status, const std::string &id)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n"
            + (id.empty() ? "" : "Azurespindle-Attempt-Id: " + id + "\r\n");
    }

    static std::string refusal(const std::string &id)
    {
        return framed(headOf(503, id) + "Azurespindle-Not-Executed: 1\r\n", {"full"},
                      Framing::Length);
    }

    /// Returns the events after the one that the request states that its caller has.
    static std::vector<std::string> piecesFor(const Play &play, const std::string &request,
                                              const std::string &id)
    {
        if (!isStream(play.path)) {
            return {bodyOf(id)};
        }
        const std::string last = fieldOf(request, "Last-Event-Id");
        std::vector<std::string> events;
        for (std::size_t number = last.empty() ? 1 : std::stoul(last) + 1;
             number <= eventsOfAStream; ++number) {
            events.push_back(eventText(number));
        }
        return events;
    }

    /// Returns a stream without length that breaks off inside its last event, and goes on with
    /// another answer.
    static std::string brokenOff(Play &play, const std::string &head,
                                 const std::vector<std::string> &pieces, const std::string &id)
    {
        std::string bytes = framed(head, pieces, Framing::Connection);
        const std::size_t lastPiece = pieces.empty() ? 0 : pieces.back().size();
        // A stream that breaks off between two events can't be told from one that ends there.
        std::size_t cut = bytes.size() - 1;
        if (lastPiece > 1) {
            cut -= play.random() % (lastPiece - 1);
        }
        bytes.resize(cut);
        std::string second = play.random() % 2 == 0
            ? framed(headOf(500, id), {"broken\n\n"}, Framing::Length)
            : framed(headOf(200, id) + "Content-Type: text/event-stream\r\n", pieces,
                     Framing::Length);
        if (play.random() % 2 == 0) {
            second.erase(std::remove(second.begin(), second.end(), '\r'), second.end());
        }
        return bytes + second;
    }

    static std::string spoiledLength(Play &play, const std::string &head,
                                     const std::vector<std::string> &pieces)
    {
        const std::string field = "Content-Length: ";
        std::string bytes = framed(head, pieces, Framing::Length);
        const std::size_t begin = bytes.find(field) + field.size();
        const std::size_t digits = bytes.find("\r\n", begin) - begin;
        bytes[begin + play.random() % digits] = "~,x-;"[play.random() % 5];
        return bytes;
    }

    RawAnswer damaged(Play &play, const std::string &request, const std::string &id, Damage damage,
                      Framing framing)
    {
        const std::string seal = "Azurespindle-Server-Seal: s." + id + "\r\n";
        const std::string type = isStream(play.path) ? "Content-Type: text/event-stream\r\n" : "";
        const std::string head = headOf(200, id) + seal + type;
        const std::vector<std::string> pieces = piecesFor(play, request, id);
        const std::string whole = framed(head, pieces, framing);
        switch (damage) {
        case Damage::RefusalOfAnother:
            return {refusal("earlier")};
        case Damage::RefusalWithoutId:
            return {refusal("")};
        case Damage::AnswerOfAnother:
            return {
                framed(headOf(200, "earlier") + seal + type,
                       isStream(play.path) ? pieces : std::vector<std::string> {bodyOf("earlier")},
                       framing)};
        case Damage::Cut:
        case Damage::Reset: {
            // Without a length or chunks, an end after whole events looks like the end.
            const Framing told = framing == Framing::Connection ? Framing::Length : framing;
            std::string cut = framed(head, pieces, told);
            cut.resize(play.random() % cut.size());
            return {cut, damage == Damage::Cut ? RawEnd::Close : RawEnd::Reset};
        }
        case Damage::SecondHead: {
            std::vector<std::string> begun(
                pieces.begin(),
                pieces.begin()
                    + std::min<std::ptrdiff_t>(1, static_cast<std::ptrdiff_t>(pieces.size())));
            // Behind a whole body without length or chunks, a head would be a part of the body.
            const Framing told = isStream(play.path) ? Framing::Connection : Framing::Length;
            std::string bytes = framed(head, begun, told);
            if (framing == Framing::Chunks && isStream(play.path)) {
                bytes = head + "Transfer-Encoding: chunked\r\n\r\n";
                for (const std::string &piece : begun) {
                    bytes += chunkOf(piece);
                }
            }
            return {bytes + framed(headOf(500, id), {"broken"}, Framing::Length)};
        }
        case Damage::ServerError:
            return {framed(headOf(500, id) + seal, {"the error of a server"}, framing)};
        case Damage::ForeignPage:
            return {framed(headOf(200, id) + type, {"id: 1\ndata: foreign\n\n"}, framing)};
        case Damage::TooLong: {
            std::string body;
            for (const std::string &piece : pieces) {
                body += piece;
            }
            return {head + "Content-Length: " + std::to_string(body.size() + 5) + "\r\n\r\n"
                    + body};
        }
        case Damage::HeadInsideEvent:
            if (!isStream(play.path)) {
                // Whatever fills a stated length would be a part of the body.
                const std::string told = framed(head, pieces, Framing::Length);
                return {told.substr(0, play.random() % told.size())};
            }
            return {brokenOff(play, head, pieces, id)};
        case Damage::SpoiledLength:
            return {spoiledLength(play, head, pieces)};
        case Damage::InvalidStatus: {
            const std::array<const char *, 4> statuses {"600", "000", "2000", "099"};
            std::string invalid = whole;
            invalid.replace(invalid.find("200"), 3, statuses[play.random() % statuses.size()]);
            return {invalid};
        }
        case Damage::Interim:
            return {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                    + whole};
        default:
            return {whole};
        }
    }

    const bool countTakeovers;
    mutable std::mutex mutex; ///< Guards `plays`.
    std::map<std::string, Play> plays;
};

/// Returns what is wrong with a response, or an empty text.
std::string faultOf(const std::string &path, const std::string &id, const CallerResponse &response,
                    std::size_t runs)
{
    const bool complete = response.end == http::TransferEnd::Complete;
    const bool promisesNotRun = response.status == 503 || response.status == 429
        || response.status == 408 || response.status == 421;
    if (complete && promisesNotRun && !mayRepeat(path) && runs > 0) {
        return "REFUSED though it was run";
    }
    if (!mayRepeat(path) && runs > 1) {
        return "TWICE: run " + std::to_string(runs) + " times";
    }
    if (response.status != 200) {
        const bool sealed = response.headers.count("azurespindle-server-seal") > 0;
        return sealed && response.status != 500 ? "MIXED: another status under a seal" : "";
    }
    if (!isStream(path)) {
        return complete && response.body != bodyOf(id) ? "MIXED: " + response.body : "";
    }
    std::string events;
    for (std::size_t number = 1; number <= eventsOfAStream; ++number) {
        events += eventText(number);
    }
    if (events.rfind(response.body, 0) != 0) {
        return "ORDER: " + response.body;
    }
    return complete && response.body != events ? "ORDER: complete too early: " + response.body : "";
}

int seedsToPlay()
{
    const char *text = std::getenv("AZURESPINDLE_DAMAGED_ANSWERS");
    return text == nullptr ? defaultSeeds : std::atoi(text);
}

} // namespace

class DamagedAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DamagedAnswersTest);
    CPPUNIT_TEST(noDamageIsTakenForAnAnswer);
    CPPUNIT_TEST(noSpoiledAnswerIsTakenForAnAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void noDamageIsTakenForAnAnswer()
    {
        DamagingServers servers(true);
        playSeeds(servers, [](int seed) {
            return static_cast<Damage>(static_cast<std::size_t>(seed) % firstDamages);
        });
    }

    /// Guards against spoiled bytes that reach a caller as an answer (rules MIXED and ORDER).
    void noSpoiledAnswerIsTakenForAnAnswer()
    {
        DamagingServers servers(false);
        playSeeds(servers, [](int seed) {
            return spoilingDamages[static_cast<std::size_t>(seed) % spoilingDamages.size()];
        });
    }

private:
    /// Plays a request for each seed. \param firstDamage returns the damage of its first answer.
    static void playSeeds(DamagingServers &servers,
                          const std::function<Damage(int seed)> &firstDamage)
    {
        RawFleet fleet(firstPort, [&servers](std::size_t, const std::string &request) {
            return servers.answer(request);
        });
        CPPUNIT_ASSERT(fleet.ready());
        std::string faults;
        std::size_t complete = 0;
        const int seeds = seedsToPlay();
        for (int seed = 0; seed < seeds; ++seed) {
            const std::string path = paths[static_cast<std::size_t>(seed) / firstDamages % 4];
            const std::string id = "d" + std::to_string(seed);
            servers.prepare(id, seed, path, firstDamage(seed));
            const CallerResponse response = fleet.send(path, id).get();
            complete += response.status == 200 && response.end == http::TransferEnd::Complete;
            const std::string fault = faultOf(path, id, response, servers.runsOf(id));
            if (!fault.empty()) {
                faults.append("seed ").append(std::to_string(seed)).append(" ").append(path);
                faults.append(": ").append(fault).append("\n");
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
        CPPUNIT_ASSERT_MESSAGE("sound answers arrive",
                               complete > static_cast<std::size_t>(seeds / 8));
    }
};

REGISTER_SUITE(DamagedAnswersTest, "damaged_answers");

} // namespace azurespindle::tests
