#include "base/error.h"

namespace azurespindle {
namespace {

class Category : public std::error_category
{
public:
    const char *name() const noexcept override { return "azurespindle"; }
    std::string message(int value) const override;
};

std::string Category::message(int value) const
{
    switch (static_cast<ErrorCode>(value)) {
    case ErrorCode::FileUnreadable:
        return "file cannot be read";
    case ErrorCode::JsonMalformed:
        return "not well-formed JSON";
    case ErrorCode::DocumentInvalid:
        return "document does not pass its check";
    case ErrorCode::AddressMalformed:
        return "address is not of the form IP:PORT";
    case ErrorCode::BindFailed:
        return "cannot listen on address";
    case ErrorCode::UpstreamUnreachable:
        return "upstream cannot be reached";
    case ErrorCode::ResponseMalformed:
        return "response cannot be understood";
    case ErrorCode::FrameMalformed:
        return "peer frame cannot be decoded";
    case ErrorCode::FrameTooLarge:
        return "peer frame exceeds its size limit";
    case ErrorCode::TimedOut:
        return "timed out";
    }
    return "unknown error";
}

} // namespace

const std::error_category &errorCategory()
{
    static const Category category;
    return category;
}

std::string Error::message() const
{
    if (this->detail.empty()) {
        return this->code.message();
    }
    return this->code.message() + ": " + this->detail;
}

} // namespace azurespindle
