#ifndef AZURESPINDLE_HTTP_INTERNAL_REQUEST_READER_H
#define AZURESPINDLE_HTTP_INTERNAL_REQUEST_READER_H

#include "http/internal/counting_allocator.h"
#include "http/internal/received_body.h"
#include "http/server.h"
#include "settings/settings.h"

#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace azurespindle::http::internal {

/// The outcome when more bytes are needed to complete a request.
struct Incomplete
{ };

constexpr std::string_view headMethod = "HEAD";

/// The outcome for input that is malformed or exceeds a limit. The bytes after it must not be
/// parsed as a request.
struct RejectedRequest
{
    int status = 400;
    std::string detail; ///< Reason, as shown to the caller.
    RefusalReason reason = RefusalReason::Malformed;
    /// Whether its method is HEAD; if not set, the request is the one that is being read.
    std::optional<bool> isHead {};
};

using ReadOutcome = std::variant<Incomplete, ServerRequest, RejectedRequest>;

/// Incremental parser for the requests of one connection, including pipelined ones.
///
/// To prevent request smuggling, it rejects every request whose length two parsers could interpret
/// differently: more than one Content-Length or Transfer-Encoding, Content-Length together with
/// Transfer-Encoding, folded header lines, and a space before the colon of a header.
///
/// The header, the trailers with the last chunk header, and every other chunk header with its
/// extension may each have CallerLimits::headerBytes, the body CallerLimits::bodyBytes.
///
///     reader.append(bytes, size);
///     ReadOutcome outcome = reader.next();
class RequestReader
{
public:
    explicit RequestReader(const settings::CallerLimits &limits);
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    // Commands

    /// Sets the limits of the requests that begin after this call.
    void setLimits(const settings::CallerLimits &limits) { this->nextLimits = limits; }
    /// Appends received bytes to the input.
    void append(const char *bytes, std::size_t size);
    /// Parses the input and returns the next complete request, if there is one.
    ReadOutcome next();
    /// Discards the input and the request that is being read, and releases their memory.
    void clear();

    // Queries

    /// Returns true if the input holds bytes of a request that next() has not returned.
    bool hasPendingInput() const;
    /// Returns the number of appended bytes that have not been parsed yet.
    std::size_t unreadBytes() const { return this->input.size(); }
    /// Returns true if the header of a request is complete and its body is not.
    bool inBody() const { return this->parser->is_header_done(); }
    /// Returns true if the method of the request that is being read is HEAD.
    bool readsHeadRequest() const;
    /// Returns the size of the body received so far, in bytes.
    std::size_t bodyBytes() const { return this->parser->get().body().size(); }
    /// Returns the memory allocated for the input and the request that is being read, in bytes.
    std::size_t heldBytes() const;

private:
    using Parser = boost::beast::http::request_parser<ReceivedBody, CountingAllocator<char>>;

    void reset();
    /// Applies the latest limits to the request whose first byte is about to be parsed.
    void beginRequest();
    /// Removes the first \a bytes of the input.
    void consume(std::size_t bytes);
    void skipEmptyLines();
    bool hasFoldedHeader() const;
    std::optional<RejectedRequest> checkFraming() const;
    ServerRequest takeRequest();

    settings::CallerLimits limits;     ///< Of the request that is being read.
    settings::CallerLimits nextLimits; ///< Of the requests after it.
    std::string input;
    std::size_t fieldBytes = 0; ///< Allocated by the parser for header fields and trailers.
    std::optional<Parser> parser;
    bool framingChecked = false;
};

} // namespace azurespindle::http::internal

#endif
