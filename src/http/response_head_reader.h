#ifndef AZURESPINDLE_HTTP_RESPONSE_HEAD_READER_H
#define AZURESPINDLE_HTTP_RESPONSE_HEAD_READER_H

#include "http/server.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurespindle::http {

/// Why the head of a response, or its trailers, are not sound.
enum class HeadFault {
    StatusLine,  ///< The first line is no status line that a server may send.
    FieldLine,   ///< A line is no field: its name or value has an invalid byte, or it is folded.
    Length,      ///< The stated length is no number, or is stated twice.
    Coding,      ///< The transfer coding is not `chunked`, is stated twice, or is not of HTTP/1.0.
    TwoFramings, ///< The head states a length and a transfer coding.
    Body,        ///< The head states a body though its status does not permit one.
};

/// Returns a description of \a fault for logs.
const char *toText(HeadFault fault);

/// Incremental parser of a response's head, with the interim heads before it and the trailers after
/// its body.
///
/// It reads strictly (RFC 9112): a head that can be understood in two ways is a fault, because two
/// parties that understand it differently take different bytes for the body.
class ResponseHeadReader
{
public:
    /// Reads the next line, with its line end. \return what is wrong with it. Do not call again
    /// after a fault.
    std::optional<HeadFault> readLine(std::string_view line);

    // Queries

    /// Returns true if the final head was read to its end. Later lines are trailers.
    bool isComplete() const { return this->state == State::Trailers; }
    /// Returns the status of the last head begun; 0 before the first.
    int status() const { return this->statusCode; }
    /// Returns the fields of the last head begun, in their order and as they were written.
    const HeaderFields &fields() const { return this->headFields; }
    /// Returns the stated length of the body in bytes.
    std::optional<std::uint64_t> contentLength() const { return this->length; }

private:
    enum class State { StatusLine, Fields, Trailers };

    std::optional<HeadFault> readStatusLine(std::string_view line);
    std::optional<HeadFault> readField(std::string_view line);
    std::optional<HeadFault> readLength(std::string_view value);
    std::optional<HeadFault> readCoding(std::string_view value);
    std::optional<HeadFault> finishHead();

    State state = State::StatusLine;
    bool permitsChunks = false; ///< The version of the protocol knows transfer codings.
    int statusCode = 0;
    HeaderFields headFields;
    std::optional<std::uint64_t> length;
    bool chunked = false;
};

} // namespace azurespindle::http

#endif
