#ifndef AZURESPINDLE_TESTS_SOAK_EXCHANGE_H
#define AZURESPINDLE_TESTS_SOAK_EXCHANGE_H

#include "support/raw_connection.h"

#include <atomic>
#include <cstdint>
#include <string>

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
    std::size_t readBytes = 65'536; ///< That the caller reads at once.
    milliseconds readPause {0};     ///< After each time.
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
                const std::atomic<bool> *giveUp = nullptr);

/// Returns what is wrong with an answer by itself, or an empty text.
std::string faultOf(const Seen &seen);

} // namespace azurespindle::soak

#endif
