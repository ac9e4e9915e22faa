#ifndef AZURESPINDLE_CALLERS_COMPLETION_REQUEST_H
#define AZURESPINDLE_CALLERS_COMPLETION_REQUEST_H

#include "decision/types.h"
#include "http/server.h"
#include "json/object_reader.h"

#include <string>

namespace azurespindle::callers {

/// Completion endpoint that a caller used.
enum class CompletionKind { Text, Chat };

/// A parsed and validated completion request.
struct CompletionRequest
{
    CompletionKind kind = CompletionKind::Text;
    std::string model;
    std::string prompt;        ///< The prompt text, or all chat messages concatenated.
    std::string upstreamBody;  ///< JSON request body for the engine.
    decision::Request request; ///< For the dispatcher; its id is set later.
};

/// Largest value of max_tokens, and its default.
constexpr decision::Tokens maxOutputTokens = 131'072;
constexpr decision::Tokens defaultOutputTokens = 65'536;

/// Parses body and headers of `POST /v1/completions` or `/v1/chat/completions`.
/// Adds every fault to \a faults; the result is valid only if there is none.
CompletionRequest parseCompletion(CompletionKind kind, const http::ServerRequest &request,
                                  json::Faults &faults);

/// Reads workspace, class and priority from the headers into \a into. Adds invalid values to
/// \a faults, with paths `$header.NAME`.
void readCallerHeaders(const http::ServerRequest &request, decision::Request &into,
                       json::Faults &faults);

/// Estimates the number of tokens of a text from its length in bytes.
decision::Tokens estimateTokens(const std::string &text);

/// Returns one hash for each complete block at the start of the prompt, up to a maximum number.
/// Each hash is seeded with the previous one, the first with the model's name.
std::vector<std::uint64_t> prefixBlocks(const std::string &model, const std::string &prompt);

} // namespace azurespindle::callers

#endif
