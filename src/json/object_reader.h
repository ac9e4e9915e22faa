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

/// One thing wrong with a document: where, what stands there, and what is allowed instead.
struct Fault
{
    std::string path;    ///< JSON path from the root, such as `$.exceptions[2].reason`.
    std::string found;   ///< What stands there, shortened; "nothing" for a missing field.
    std::string allowed; ///< What would be accepted.

    /// Returns "path: found …, allowed …" on one line.
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

/// Reads the fields of one JSON object and collects every fault instead of stopping at the first.
///
///     ObjectReader reader(document, "$", faults);
///     settings.name = reader.requiredText("name");
///     settings.threads = reader.integer("threads", {1, 64}, 4);
///     reader.finish(); // fields nobody asked for are faults
///
/// A value that is at fault reads as its fallback (or an empty value), so that reading can go on.
class ObjectReader
{
public:
    /// Reads \a value, which stands at \a path; a value that is no object is itself a fault.
    ObjectReader(const nlohmann::json &value, std::string path, Faults &faults);

    /// Returns the non-empty text at \a name; a missing or empty one is a fault.
    std::string requiredText(const std::string &name);
    /// Returns the text at \a name, or \a fallback when there is none.
    std::string text(const std::string &name, const std::string &fallback);
    /// Returns the text at \a name if it is one of \a choices; no text reads as \a fallback.
    std::string choice(const std::string &name, const std::vector<std::string> &choices,
                       const std::string &fallback);
    /// Returns the whole number at \a name, or \a fallback when there is none.
    std::int64_t integer(const std::string &name, Range<std::int64_t> range, std::int64_t fallback);
    /// Returns the whole number at \a name; a missing one is a fault.
    std::int64_t requiredInteger(const std::string &name, Range<std::int64_t> range);
    /// Returns the number at \a name, or \a fallback when there is none.
    double number(const std::string &name, Range<double> range, double fallback);
    /// Returns the milliseconds at \a name, at least 1 and at most a day; \a fallback if there is
    /// none.
    std::chrono::milliseconds duration(const std::string &name, std::chrono::milliseconds fallback);
    /// Returns the truth value at \a name, or \a fallback when there is none.
    bool boolean(const std::string &name, bool fallback);
    /// Returns the list of non-empty texts at \a name; no list reads as an empty one.
    std::vector<std::string> textList(const std::string &name);

    /// Calls \a read with the object at \a name, if there is one.
    void object(const std::string &name, const std::function<void(ObjectReader &)> &read);
    /// Calls \a read with each element of the list at \a name, in order.
    void objectList(const std::string &name, const std::function<void(ObjectReader &)> &read);

    /// Returns the names of all fields, in their order.
    std::vector<std::string> names() const;
    /// Returns true if there is a field \a name, and counts it as asked for.
    bool has(const std::string &name);
    /// Adds a fault about the field \a name.
    void addFault(const std::string &name, const std::string &allowed);
    /// Reports every field that was never asked for.
    void finish();

    /// Returns the path of the object itself.
    const std::string &path() const { return this->ownPath; }

private:
    const nlohmann::json *find(const std::string &name);
    std::string pathOf(const std::string &name) const;

    const nlohmann::json &value;
    std::string ownPath;
    Faults &faults;
    std::set<std::string> known;
};

/// Parses \a text; returns nothing and adds a fault that names the byte if it is not JSON.
std::optional<nlohmann::json> parseText(const std::string &text, Faults &faults);

} // namespace azurespindle::json

#endif
