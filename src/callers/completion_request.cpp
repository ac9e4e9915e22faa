#include "callers/completion_request.h"

#include "decision/prefix_index.h"

#include <algorithm>
#include <xxhash.h>

namespace azurespindle::callers {
namespace {

constexpr std::size_t charactersPerToken = 4;
constexpr std::size_t maxPrefixBlocks = 64;
constexpr std::size_t maxNameLength = 128;
constexpr std::size_t maxMessages = 4'096;
/// Fields that are forwarded to the engine unchanged.
constexpr const char *forwardedFields[]
    = {"temperature",      "top_p",         "top_k", "stop", "seed", "user", "frequency_penalty",
       "presence_penalty", "stream_options"};

bool isName(const std::string &text)
{
    const auto allowed = [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
    };
    return text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

std::string readName(const http::ServerRequest &request, const std::string &header,
                     const std::string &fallback, json::Faults &faults)
{
    std::string value = request.header(header);
    if (value.empty()) {
        return fallback;
    }
    if (!isName(value)) {
        faults.push_back({"$header." + header, "\"" + value.substr(0, 40) + "\"",
                          "letters, digits, '-', '_' and '.', at most 128"});
        return fallback;
    }
    return value;
}

std::string readMessages(json::ObjectReader &reader)
{
    std::string prompt;
    std::size_t count = 0;
    reader.objectList("messages", [&](json::ObjectReader &message) {
        const std::string role = message.choice("role", {"system", "user", "assistant"}, "user");
        prompt += role + ": " + message.requiredText("content") + "\n";
        count += 1;
    });
    if (count == 0 || count > maxMessages) {
        reader.addFault("messages", "a list of 1 to 4096 messages");
    }
    return prompt;
}

std::string upstreamBody(const CompletionRequest &completion, const nlohmann::json &forwarded)
{
    nlohmann::ordered_json body = forwarded;
    body["model"] = completion.model;
    body["prompt"] = completion.prompt;
    body["max_tokens"] = completion.request.maxTokens;
    body["stream"] = true;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

decision::Tokens estimateTokens(const std::string &text)
{
    return static_cast<decision::Tokens>(text.size() / charactersPerToken + 1);
}

std::vector<std::uint64_t> prefixBlocks(const std::string &model, const std::string &prompt)
{
    constexpr std::size_t blockBytes = decision::prefixBlockTokens * charactersPerToken;
    std::vector<std::uint64_t> blocks;
    std::uint64_t chain = XXH3_64bits(model.data(), model.size());
    for (std::size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        if (blocks.size() >= maxPrefixBlocks) {
            break;
        }
        chain = XXH3_64bits_withSeed(prompt.data() + at, blockBytes, chain);
        blocks.push_back(chain);
    }
    return blocks;
}

void readCallerHeaders(const http::ServerRequest &request, decision::Request &into,
                       json::Faults &faults)
{
    into.workspace = readName(request, "x-workspace", "default", faults);
    into.trafficClass = readName(request, "x-class", "default", faults);
    const std::string priority = request.header("x-priority");
    if (priority == "interactive") {
        into.priority = decision::Priority::Interactive;
    } else if (priority == "batch") {
        into.priority = decision::Priority::Batch;
    } else if (!priority.empty() && priority != "standard") {
        faults.push_back({"$header.x-priority", "\"" + priority.substr(0, 40) + "\"",
                          "batch, standard or interactive"});
    }
}

CompletionRequest parseCompletion(CompletionKind kind, const http::ServerRequest &request,
                                  json::Faults &faults)
{
    CompletionRequest completion;
    completion.kind = kind;
    readCallerHeaders(request, completion.request, faults);
    const auto document = json::parseText(request.body, faults);
    if (!document) {
        return completion;
    }
    json::ObjectReader reader(*document, "$", faults);
    completion.model = reader.requiredText("model");
    completion.prompt
        = kind == CompletionKind::Chat ? readMessages(reader) : reader.requiredText("prompt");
    completion.request.streamed = reader.boolean("stream", false);
    completion.request.maxTokens = static_cast<decision::Tokens>(
        reader.integer("max_tokens", {1, maxOutputTokens}, defaultOutputTokens));
    reader.integer("n", {1, 1}, 1);
    nlohmann::json forwarded = nlohmann::json::object();
    for (const char *field : forwardedFields) {
        if (reader.has(field)) {
            forwarded[field] = (*document)[field];
        }
    }
    reader.finish();
    completion.request.promptTokens = estimateTokens(completion.prompt);
    completion.request.prefixBlocks = prefixBlocks(completion.model, completion.prompt);
    completion.upstreamBody = upstreamBody(completion, forwarded);
    const std::string identity = completion.request.workspace + "\n" + completion.upstreamBody;
    completion.request.fingerprint = XXH3_64bits(identity.data(), identity.size());
    return completion;
}

} // namespace azurespindle::callers
