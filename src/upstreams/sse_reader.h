#ifndef AZURESPINDLE_UPSTREAMS_SSE_READER_H
#define AZURESPINDLE_UPSTREAMS_SSE_READER_H

#include "decision/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurespindle::upstreams {

/// One output token that an engine streamed.
struct TokenEvent
{
    std::string generation;
    decision::Tokens offset = 0; ///< Position of the token in the output, from 0.
    std::string text;
    bool operator==(const TokenEvent &other) const = default;
};

/// The events that some bytes of an engine's stream completed.
struct SseBatch
{
    std::vector<TokenEvent> tokens;
    bool finished = false;  ///< The end marker was received.
    bool malformed = false; ///< The stream is invalid and cannot be read any further.
};

/// Incremental parser of an engine's server-sent events; the bytes may be split anywhere.
class SseReader
{
public:
    /// Largest incomplete event in bytes; a larger one makes the stream malformed.
    static constexpr std::size_t maxEventBytes = 65'536;

    /// Appends \a bytes to the stream. \return the events that they complete.
    SseBatch read(std::string_view bytes);

private:
    void readEvent(std::string_view event, SseBatch &batch);

    std::string buffer; ///< Bytes of the incomplete event at the end.
};

} // namespace azurespindle::upstreams

#endif
