#ifndef AZURESPINDLE_BASE_ERROR_H
#define AZURESPINDLE_BASE_ERROR_H

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace azurespindle {

/// Errors that can occur outside the request path. The values appear in logs and must not change.
enum class ErrorCode {
    FileUnreadable = 1,
    JsonMalformed = 2,
    DocumentInvalid = 3,
    AddressMalformed = 4,
    BindFailed = 5,
    UpstreamUnreachable = 6,
    ResponseMalformed = 7,
    FrameMalformed = 8,
    FrameTooLarge = 9,
    TimedOut = 10,
};

/// Returns the error category of ErrorCode.
const std::error_category &errorCategory();

/// Converts \a code to a std::error_code. The standard library prescribes the function's name.
inline std::error_code make_error_code(ErrorCode code) // NOLINT(readability-identifier-naming)
{
    return {static_cast<int>(code), errorCategory()};
}

/// Error code with details, such as a path or an address, for display to an operator.
struct Error
{
    std::error_code code;
    std::string detail;

    /// Returns "message: detail", or only the message if there is no detail.
    std::string message() const;
    bool operator==(const Error &other) const = default;
};

/// Result of an operation: either a value or an Error.
///
///     Result<Settings> settings = loadSettings(path);
///     if (!settings.ok())
///         return report(settings.error());
template<typename Value> class Result
{
public:
    Result(Value value) // NOLINT(google-explicit-constructor)
        : state(std::move(value))
    { }
    Result(Error error) // NOLINT(google-explicit-constructor)
        : state(std::move(error))
    { }

    bool ok() const { return std::holds_alternative<Value>(this->state); }
    const Value &value() const { return std::get<Value>(this->state); }
    Value takeValue() { return std::move(std::get<Value>(this->state)); }
    const Error &error() const { return std::get<Error>(this->state); }

private:
    std::variant<Value, Error> state;
};

} // namespace azurespindle

template<> struct std::is_error_code_enum<azurespindle::ErrorCode> : std::true_type
{ };

#endif
