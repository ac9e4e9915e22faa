#include "base/text_delta.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace azurespindle {
namespace {

/// Pieces end at the end of a JSON object or a line, so that an insertion moves no later boundary.
constexpr std::string_view pieceEnds = "}\n";
constexpr std::size_t minPieceBytes = 32;
constexpr std::size_t maxPieceBytes = 1'024;
/// A difference with more steps is replaced by the whole result.
constexpr std::size_t maxSteps = 8'192;

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

/// Returns the piece of \a text that begins at \a begin.
std::string_view pieceAt(std::string_view text, std::size_t begin)
{
    const std::string_view rest = text.substr(begin, maxPieceBytes);
    const std::size_t end = rest.find_first_of(pieceEnds, minPieceBytes - 1);
    return end == std::string_view::npos ? rest : rest.substr(0, end + 1);
}

/// Offsets of a text's pieces by their hash; the first one of equal pieces.
using PieceIndex = std::unordered_map<std::uint64_t, std::size_t>;

PieceIndex indexPieces(std::string_view text)
{
    PieceIndex index;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::string_view piece = pieceAt(text, begin);
        index.emplace(hashOf(piece), begin);
        begin += piece.size();
    }
    return index;
}

/// Returns the offset of \a piece in \a base, preferably \a expected, where the previous copy ends.
std::size_t findPiece(std::string_view base, const PieceIndex &index, std::string_view piece,
                      std::size_t expected)
{
    if (base.substr(std::min(expected, base.size()), piece.size()) == piece) {
        return expected;
    }
    const auto found = index.find(hashOf(piece));
    const bool same = found != index.end() && base.substr(found->second, piece.size()) == piece;
    return same ? found->second : std::string_view::npos;
}

Error malformed(const std::string &detail)
{
    return {ErrorCode::DocumentInvalid, "difference of texts: " + detail};
}

} // namespace

TextDelta makeDelta(const std::string &base, const std::string &result)
{
    TextDelta delta;
    delta.baseHash = hashOf(base);
    delta.resultHash = hashOf(result);
    delta.resultBytes = static_cast<std::uint32_t>(result.size());
    const PieceIndex index = indexPieces(base);
    std::size_t begin = 0;
    std::size_t copyEnd = 0; // End of the previous copy in the base.
    while (begin < result.size()) {
        const std::string_view piece = pieceAt(result, begin);
        begin += piece.size();
        const std::size_t from = findPiece(base, index, piece, copyEnd);
        const auto length = static_cast<std::uint32_t>(piece.size());
        if (from == std::string_view::npos) {
            if (delta.steps.empty()) {
                delta.steps.emplace_back();
            }
            delta.steps.back().insertLength += length;
            delta.inserted += piece;
            continue;
        }
        const bool continues
            = !delta.steps.empty() && from == copyEnd && delta.steps.back().insertLength == 0;
        if (continues) {
            delta.steps.back().copyLength += length;
        } else {
            delta.steps.push_back({static_cast<std::uint32_t>(from), length, 0});
        }
        copyEnd = from + length;
    }
    if (delta.steps.size() > maxSteps) {
        delta.steps = {{0, 0, delta.resultBytes}};
        delta.inserted = result;
    }
    return delta;
}

Result<std::string> applyDelta(const std::string &base, const TextDelta &delta)
{
    if (hashOf(base) != delta.baseHash) {
        return malformed("made for another base");
    }
    if (delta.resultBytes > maxDeltaTextBytes) {
        return malformed("the result is too large");
    }
    std::string result;
    result.reserve(delta.resultBytes);
    std::size_t inserted = 0;
    for (const DeltaStep &step : delta.steps) {
        const bool inBase
            = step.copyFrom <= base.size() && step.copyLength <= base.size() - step.copyFrom;
        const bool inInserted = step.insertLength <= delta.inserted.size() - inserted;
        const std::size_t size = result.size() + step.copyLength + step.insertLength;
        if (!inBase || !inInserted || size > delta.resultBytes) {
            return malformed("a step exceeds its text");
        }
        result.append(base, step.copyFrom, step.copyLength);
        result.append(delta.inserted, inserted, step.insertLength);
        inserted += step.insertLength;
    }
    if (result.size() != delta.resultBytes || hashOf(result) != delta.resultHash) {
        return malformed("the result differs");
    }
    return result;
}

} // namespace azurespindle
