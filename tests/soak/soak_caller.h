#ifndef AZURESPINDLE_TESTS_SOAK_SOAK_CALLER_H
#define AZURESPINDLE_TESTS_SOAK_SOAK_CALLER_H

#include "soak_fleet.h"
#include "support/raw_connection.h"

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace azurespindle::soak {

/// What a caller asks for.
enum class RequestKind {
    Draft, ///< A generation that runs at most once.
    Check, ///< A generation that may be resumed.
    Order, ///< A call that runs at most once.
    Look,  ///< An idempotent call.
};

const char *name(RequestKind kind);
bool isGeneration(RequestKind kind);
/// Returns the timeout of the route that serves a kind of request.
milliseconds routeTimeout(RequestKind kind);

constexpr int statusOk = 200;

/// One request to send.
struct Request
{
    RequestKind kind = RequestKind::Look;
    std::string callerId;
    std::string target;
    std::uint64_t events = 0;  ///< Asked for, of a generation.
    std::uint64_t padding = 0; ///< Bytes added to the body of an order, which its answer repeats.
    milliseconds deadline {0}; ///< Told to the process; the caller hangs up some time later.
};

/// How fast a caller reads.
struct ReadPace
{
    std::size_t mostBytes = 65'536; ///< At once.
    milliseconds pause {0};         ///< After each time.
};

/// One request as its caller saw it.
struct Seen
{
    RequestKind kind = RequestKind::Look;
    std::string callerId;
    std::size_t process = 0;
    std::uint64_t events = 0; ///< Asked for, of a generation.
    milliseconds deadline {0};
    Instant sent;
    Instant wholeSent; ///< When the last byte had been sent.
    Instant ended;
    int status = 0; ///< 0: no head arrived.
    bool whole = false;
    bool hungUp = false; ///< The caller gave up; the connection was still open.
    std::string echoedId;
    std::string body;
    std::string parseError; ///< Not empty if the bytes are no answer.
};

/// Sends a request on a connection and reads its answer.
/// \param giveUp hangs up once it is true, if given.
/// \return what was seen; \a Seen::whole if the answer came to its end.
Seen exchangeOn(const tests::RawConnection &connection, const Request &request,
                const ReadPace &pace = {}, const std::atomic<bool> *giveUp = nullptr);

/// Returns what is wrong with an answer by itself, or an empty text.
std::string faultOf(const Seen &seen);

/// A caller that sends one request after the other, and keeps its connection while it is open,
/// whatever happens to the process behind it.
class SoakCaller
{
public:
    SoakCaller(SoakFleet &fleet, Findings &findings, RequestKind kind, std::uint64_t number);
    ~SoakCaller();
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    // Commands

    void stop();

    // Queries

    /// Returns the answers so far; to be called after stop().
    const std::vector<Seen> &answers() const { return this->seen; }

private:
    void run();
    void sendOne();
    bool connect();

    SoakFleet &fleet;
    Findings &findings;
    const RequestKind kind;
    const std::uint64_t number;
    std::mt19937_64 random;
    std::unique_ptr<tests::RawConnection> connection;
    std::size_t process = 0;
    std::uint64_t sent = 0;
    std::vector<Seen> seen;
    std::atomic<bool> stopping {false};
    std::thread thread;
};

} // namespace azurespindle::soak

#endif
