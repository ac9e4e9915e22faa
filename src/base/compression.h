#ifndef AZURESPINDLE_BASE_COMPRESSION_H
#define AZURESPINDLE_BASE_COMPRESSION_H

#include "base/error.h"

#include <cstddef>
#include <string>

namespace azurespindle {

/// Returns \a text in zlib's format.
std::string compressed(const std::string &text);

/// Returns the text that compressed() was given.
/// \param maxBytes largest text that is accepted, so that a few bytes cannot expand without limit.
/// \return the text, or DocumentInvalid if \a bytes is malformed or the text is larger.
Result<std::string> uncompressed(const std::string &bytes, std::size_t maxBytes);

} // namespace azurespindle

#endif
