#ifndef AZURESPINDLE_JSON_OBJECT_READER_H
#define AZURESPINDLE_JSON_OBJECT_READER_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurespindle::json {

/// Validation error of a document: its location, the value found and the values allowed.
struct Fault
{
    std::string path;    ///< JSON path from the root, such as `$.exceptions[2].reason`.
    std::string found;   ///< Value found, truncated; "nothing" for a missing field.
    std::string allowed; ///< Description of the accepted values.

    /// Returns "path: found …, allowed: …" on one line.
    std::string message() const;
    bool operator==(const Fault &other) const = default;
};

using Faults = std::vector<Fault>;

/// Returns the faults as text, each on a new, indented line.
std::string listFaults(const Faults &faults);

/// Inclusive bounds of a number.
template<typename Number> struct Range
{
    Number minimum;
    Number maximum;
};

/// Reader for the fields of one JSON object that collects all faults instead of stopping at the
/// first.
///
///     ObjectReader reader(document, "$", faults);
///     settings.name = reader.requiredText("name");
///     settings.threads = reader.integer("threads", {1, 64}, 4);
///     reader.finish(); // unknown fields are faults
///
/// An invalid value is recorded as a fault and read as the fallback, as an empty value, or, for
/// integers and durations, as the minimum of the range, so that reading can continue.
class ObjectReader
{
public:
    /// Creates a reader for \a value at the JSON path \a path; a value that is not an object is a
    /// fault. Keeps references to \a value and \a faults, which must outlive the reader.
    ObjectReader(const nlohmann::json &value, std::string path, Faults &faults);

    /// Returns the string in the field \a name; a missing or empty one is a fault.
    std::string requiredText(const std::string &name);
    /// Returns the string in the field \a name, or \a fallback if the field is missing.
    std::string text(const std::string &name, const std::string &fallback);
    /// Returns the string in the field \a name, or \a fallback if the field is missing. A value
    /// that is not one of \a choices is a fault.
    std::string choice(const std::string &name, const std::vector<std::string> &choices,
                       const std::string &fallback);
    /// Returns the integer in the field \a name, or \a fallback if the field is missing.
    std::int64_t integer(const std::string &name, Range<std::int64_t> range, std::int64_t fallback);
    /// Returns the integer in the field \a name; a missing one is a fault.
    std::int64_t requiredInteger(const std::string &name, Range<std::int64_t> range);
    /// Returns the number in the field \a name, or \a fallback if the field is missing.
    double number(const std::string &name, Range<double> range, double fallback);
    /// Returns the duration in the field \a name, an integer in milliseconds from 1 to one day, or
    /// \a fallback if the field is missing.
    std::chrono::milliseconds duration(const std::string &name, std::chrono::milliseconds fallback);
    /// Returns the Boolean in the field \a name, or \a fallback if the field is missing.
    bool boolean(const std::string &name, bool fallback);
    /// Returns the list of non-empty strings in the field \a name, or an empty list if the field is
    /// missing. Invalid elements are faults and are omitted.
    std::vector<std::string> textList(const std::string &name);

    /// Calls \a read with a reader for the object in the field \a name, if the field exists, and
    /// then calls finish() on that reader.
    void object(const std::string &name, const std::function<void(ObjectReader &)> &read);
    /// Calls \a read with a reader for each element of the list in the field \a name, in order, and
    /// then calls finish() on that reader.
    void objectList(const std::string &name, const std::function<void(ObjectReader &)> &read);

    /// Returns the names of all fields, in the iteration order of the JSON object.
    std::vector<std::string> names() const;
    /// Returns true if the field \a name exists, and marks it as requested.
    bool has(const std::string &name);
    /// Adds a fault for the field \a name and marks the field as requested.
    void addFault(const std::string &name, const std::string &allowed);
    /// Adds a fault for every field that was never requested.
    void finish();

    /// Returns the JSON path of the object.
    const std::string &path() const { return this->objectPath; }

private:
    const nlohmann::json *find(const std::string &name);
    std::string pathOf(const std::string &name) const;

    const nlohmann::json &value;
    std::string objectPath;
    Faults &faults;
    std::set<std::string> requestedFields;
};

/// Parses \a text as JSON.
/// \return the document, or std::nullopt after adding a fault with the byte offset of the error.
std::optional<nlohmann::json> parseText(const std::string &text, Faults &faults);

} // namespace azurespindle::json

#endif
