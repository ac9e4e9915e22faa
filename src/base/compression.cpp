#include "base/compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace azurespindle {
namespace {

/// Fast; documents of the fleet consist of repeated names, and higher levels gain a few percent.
constexpr int compressionLevel = 1;
constexpr std::size_t chunkBytes = 16'384;

Bytef *zlibBytes(const char *bytes)
{
    return reinterpret_cast<Bytef *>(const_cast<char *>(bytes));
}

} // namespace

std::string compressed(const std::string &text)
{
    uLongf size = compressBound(text.size());
    std::string bytes(size, '\0');
    compress2(zlibBytes(bytes.data()), &size, zlibBytes(text.data()), text.size(),
              compressionLevel);
    bytes.resize(size);
    return bytes;
}

Result<std::string> uncompressed(const std::string &bytes, std::size_t maxBytes)
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK) {
        return Error {ErrorCode::DocumentInvalid, "compressed text cannot be read"};
    }
    stream.next_in = zlibBytes(bytes.data());
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string text;
    std::array<char, chunkBytes> chunk {};
    int status = Z_OK;
    while (status == Z_OK && text.size() <= maxBytes) {
        stream.next_out = zlibBytes(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        status = inflate(&stream, Z_NO_FLUSH);
        text.append(chunk.data(), chunk.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (status != Z_STREAM_END || text.size() > maxBytes) {
        return Error {ErrorCode::DocumentInvalid, "compressed text is malformed or too large"};
    }
    return text;
}

} // namespace azurespindle
