#ifndef AZURESPINDLE_CALLERS_COMPLETION_REQUEST_H
#define AZURESPINDLE_CALLERS_COMPLETION_REQUEST_H

#include "decision/types.h"
#include "http/server.h"
#include "json/object_reader.h"

#include <string>

namespace azurespindle::callers {

/// Which of the two completion interfaces a caller used.
enum class CompletionKind { Text, Chat };

/// A checked request for a generation.
struct CompletionRequest
{
    CompletionKind kind = CompletionKind::Text;
    std::string model;
    std::string prompt;        ///< Text, or all messages one after another.
    std::string upstreamBody;  ///< What the engine is sent.
    decision::Request request; ///< id, prompt size, prefix, fingerprint, workspace, class.
};

/// Largest max_tokens that a caller may ask for, and what a request without one gets.
constexpr decision::Tokens maxOutputTokens = 131'072;
constexpr decision::Tokens defaultOutputTokens = 65'536;

/// Parses body and headers of `POST /v1/completions` or `/v1/chat/completions`.
/// Adds every fault to \a faults; the result counts only if there is none.
CompletionRequest parseCompletion(CompletionKind kind, const http::ServerRequest &request,
                                  json::Faults &faults);

/// Reads workspace, class and priority from the headers; adds faults with paths `$header.NAME`.
void readCallerHeaders(const http::ServerRequest &request, decision::Request &into,
                       json::Faults &faults);

/// Estimates the tokens of a text.
decision::Tokens estimateTokens(const std::string &text);

/// Returns the chained hash of each whole leading block of the prompt.
std::vector<std::uint64_t> prefixBlocks(const std::string &model, const std::string &prompt);

} // namespace azurespindle::callers

#endif
