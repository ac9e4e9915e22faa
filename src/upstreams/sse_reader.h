#ifndef AZURESPINDLE_UPSTREAMS_SSE_READER_H
#define AZURESPINDLE_UPSTREAMS_SSE_READER_H

#include "decision/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurespindle::upstreams {

/// One token event of an engine.
struct TokenEvent
{
    std::string generation;
    decision::Tokens offset = 0;
    std::string text;
    bool operator==(const TokenEvent &other) const = default;
};

/// What some bytes of an engine's stream amounted to.
struct SseBatch
{
    std::vector<TokenEvent> tokens;
    bool finished = false;  ///< The end mark came.
    bool malformed = false; ///< The stream cannot be understood from here on.
};

/// Cuts an engine's server-sent events into tokens, whatever pieces the bytes come in.
class SseReader
{
public:
    /// An event larger than this is malformed.
    static constexpr std::size_t maxEventBytes = 65'536;

    /// Takes in bytes. \return the events that they complete.
    SseBatch read(std::string_view bytes);

private:
    void readEvent(std::string_view event, SseBatch &batch);

    std::string buffer;
};

} // namespace azurespindle::upstreams

#endif
