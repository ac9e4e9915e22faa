#ifndef AZURESPINDLE_HTTP_INTERNAL_REQUEST_READER_H
#define AZURESPINDLE_HTTP_INTERNAL_REQUEST_READER_H

#include "http/server.h"
#include "settings/settings.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <variant>

namespace azurespindle::http::internal {

/// More bytes are needed.
struct Incomplete
{ };

/// Bytes that are no acceptable request. What follows them is never read as one.
struct Unacceptable
{
    int status = 400;
    std::string detail;
};

using ReadOutcome = std::variant<Incomplete, ServerRequest, Unacceptable>;

/// Reads the requests of one connection, one after the other.
///
/// Whatever two readers could take for requests of different lengths is refused: two lengths, a
/// length beside chunks, folded lines, a second Transfer-Encoding, a space before a colon.
///
///     reader.append(bytes, size);
///     ReadOutcome outcome = reader.next();
class RequestReader
{
public:
    explicit RequestReader(const settings::CallerLimits &limits);

    // Commands

    void append(const char *bytes, std::size_t size);
    /// Takes the next whole request out of the bytes that were appended.
    ReadOutcome next();

    // Queries

    /// Returns true if bytes of a request are there that has not been returned.
    bool begun() const;
    /// Returns the bytes that were appended and not read yet.
    std::size_t unread() const { return this->input.size(); }

private:
    using Parser
        = boost::beast::http::request_parser<boost::beast::http::string_body, std::allocator<char>>;

    void reset();
    void skipEmptyLines();
    bool holdsFoldedLine() const;
    std::optional<Unacceptable> checkFraming() const;
    ServerRequest takeRequest();

    settings::CallerLimits limits;
    std::string input;
    std::optional<Parser> parser;
    bool framingChecked = false;
};

} // namespace azurespindle::http::internal

#endif
