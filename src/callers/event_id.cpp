#include "callers/event_id.h"

#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace azurespindle::callers {
namespace {

constexpr std::size_t workspaceHashLength = 16;

std::string workspaceHash(const std::string &workspace)
{
    char mark[workspaceHashLength + 1];
    const XXH64_hash_t hash = XXH3_64bits(workspace.data(), workspace.size());
    std::snprintf(mark, sizeof(mark), "%016llx", static_cast<unsigned long long>(hash));
    return mark;
}

} // namespace

std::string formatEventId(const std::string &upstream, const std::string &generation,
                          decision::Tokens received)
{
    return upstream + "/" + generation + "/" + std::to_string(received);
}

std::optional<decision::ResumePoint> parseEventId(const std::string &text)
{
    const std::size_t first = text.find('/');
    const std::size_t last = text.rfind('/');
    if (first == std::string::npos || first == last || first == 0 || last == first + 1) {
        return std::nullopt;
    }
    decision::ResumePoint point;
    point.upstream = text.substr(0, first);
    point.generation = text.substr(first + 1, last - first - 1);
    if (point.generation.find('/') != std::string::npos) {
        return std::nullopt;
    }
    const char *end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data() + last + 1, end, point.offset);
    if (code != std::errc() || rest != end) {
        return std::nullopt;
    }
    return point;
}

std::string makeGenerationName(const std::string &workspace, std::uint64_t random,
                               decision::RequestId request, decision::AttemptNumber attempt)
{
    char rest[64];
    std::snprintf(rest, sizeof(rest), "-%016llx-%llu.%u", static_cast<unsigned long long>(random),
                  static_cast<unsigned long long>(request), attempt);
    return workspaceHash(workspace) + rest;
}

bool belongsTo(const std::string &generation, const std::string &workspace)
{
    return generation.rfind(workspaceHash(workspace) + "-", 0) == 0;
}

} // namespace azurespindle::callers
