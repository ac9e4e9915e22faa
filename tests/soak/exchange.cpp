#include "exchange.h"

#include <boost/beast/http.hpp>

#include <optional>
#include <thread>

namespace azurespindle::soak {
namespace {

namespace beast = boost::beast::http;

/// Beyond its deadline a caller waits so long for an answer before it hangs up.
constexpr milliseconds hangUpMargin {1'000};
constexpr milliseconds readStep {100};
constexpr milliseconds plainDeadline {1'500};
constexpr milliseconds checkDeadline {6'000};
constexpr milliseconds draftDeadline {20'000};

std::string methodOf(RequestKind kind)
{
    return kind == RequestKind::Look ? "GET" : "POST";
}

std::string requestText(const Request &request)
{
    const std::string body = isGeneration(request.kind) ? "events=" + std::to_string(request.events)
        : request.kind == RequestKind::Order
        ? "order " + request.callerId + std::string(request.padding, '.')
        : "";
    std::string text = methodOf(request.kind) + " " + request.target
        + " HTTP/1.1\r\nHost: shop.example\r\n" + "Azurespindle-Attempt-Id: " + request.callerId
        + "\r\nAzurespindle-Key: k1\r\n"
        + "Azurespindle-Deadline-Ms: " + std::to_string(request.deadline.count()) + "\r\n";
    if (isGeneration(request.kind)) {
        text += "Azurespindle-Token-Usage: 3000,2000\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string expectedEvents(const std::string &callerId, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t number = 1; number <= count; ++number) {
        text += "id: " + std::to_string(number) + "\ndata: " + callerId + ":"
            + std::to_string(number) + "\n\n";
    }
    return text;
}

/// Returns where two texts part, with a few characters of both.
std::string difference(const std::string &expected, const std::string &got)
{
    constexpr std::size_t shown = 40;
    std::size_t at = 0;
    while (at < expected.size() && at < got.size() && expected[at] == got[at]) {
        ++at;
    }
    return "at byte " + std::to_string(at) + " expected '" + expected.substr(at, shown)
        + "' but got '" + got.substr(at, shown) + "'";
}

std::string bodyFault(const Seen &seen)
{
    if (seen.status != statusOk) {
        return "";
    }
    if (isGeneration(seen.kind)) {
        const std::string all = expectedEvents(seen.callerId, seen.events);
        const std::string expected = seen.whole ? all : all.substr(0, seen.body.size());
        return seen.body == expected ? "" : difference(expected, seen.body);
    }
    const bool mine = seen.body.find(seen.callerId) != std::string::npos;
    return mine || !seen.whole ? "" : "expected its own answer but got '" + seen.body + "'";
}

} // namespace

const char *name(RequestKind kind)
{
    constexpr const char *names[] = {"draft", "check", "order", "look"};
    return names[static_cast<std::size_t>(kind)];
}

bool isGeneration(RequestKind kind)
{
    return kind == RequestKind::Draft || kind == RequestKind::Check;
}

milliseconds routeTimeout(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Draft:
        return draftDeadline;
    case RequestKind::Check:
        return checkDeadline;
    default:
        return plainDeadline;
    }
}

Seen exchangeOn(const tests::RawConnection &connection, const Request &request,
                const std::atomic<bool> *giveUp)
{
    Seen seen;
    seen.kind = request.kind;
    seen.callerId = request.callerId;
    seen.events = request.events;
    seen.deadline = request.deadline;
    seen.sent = monotonicNow();
    connection.send(requestText(request));
    seen.wholeSent = monotonicNow();
    beast::response_parser<beast::string_body> parser;
    parser.eager(true);
    parser.body_limit(boost::none);
    std::string unread;
    const Instant hangUp = seen.sent + request.deadline + hangUpMargin;
    while (!parser.is_done()) {
        seen.hungUp = monotonicNow() >= hangUp || (giveUp != nullptr && *giveUp);
        if (seen.hungUp) {
            break;
        }
        const std::optional<std::string> bytes = connection.readSome(readStep, request.readBytes);
        if (!bytes) {
            continue;
        }
        boost::system::error_code error;
        if (bytes->empty()) {
            break; // Every answer has a length or chunks: one that is cut is not whole.
        }
        unread += *bytes;
        const std::size_t used = parser.put(boost::asio::buffer(unread), error);
        unread.erase(0, used);
        if (error && error != beast::error::need_more) {
            seen.parseError = error.message();
            break;
        }
        std::this_thread::sleep_for(request.readPause);
    }
    seen.ended = monotonicNow();
    seen.whole = parser.is_done();
    if (parser.is_header_done()) {
        seen.status = static_cast<int>(parser.get().result_int());
        seen.echoedId = std::string(parser.get()["azurespindle-attempt-id"]);
        seen.body = parser.get().body();
    }
    if (seen.whole && !unread.empty()) {
        seen.parseError = "bytes follow the answer: " + unread;
    }
    return seen;
}

std::string faultOf(const Seen &seen)
{
    if (!seen.parseError.empty()) {
        return "the bytes are no answer: " + seen.parseError;
    }
    if (!seen.echoedId.empty() && seen.echoedId != seen.callerId) {
        return "expected the answer to " + seen.callerId + " but got that to " + seen.echoedId;
    }
    const bool turnedAway = seen.status >= 400 && seen.status < 500 && seen.status != 408
        && seen.status != 421 && seen.status != 429;
    if (turnedAway) {
        return "a proper request was turned away with " + std::to_string(seen.status);
    }
    return bodyFault(seen);
}

} // namespace azurespindle::soak
