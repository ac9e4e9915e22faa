#ifndef AZURESPINDLE_BASE_TEXT_FILE_H
#define AZURESPINDLE_BASE_TEXT_FILE_H

#include "base/error.h"

#include <string>

namespace azurespindle {

/// Reads the whole file at \a path.
/// \return the content of the file, or ErrorCode::FileUnreadable with the path as detail.
Result<std::string> readTextFile(const std::string &path);

} // namespace azurespindle

#endif
