#include "base/text_file.h"

#include <fstream>
#include <sstream>

namespace azurespindle {

Result<std::string> readTextFile(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file) {
        return Error {ErrorCode::FileUnreadable, path};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace azurespindle
