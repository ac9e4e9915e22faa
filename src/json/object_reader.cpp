#include "json/object_reader.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azurespindle::json {
namespace {

constexpr std::size_t maxValueBytes = 60;
constexpr std::int64_t millisecondsPerDay = 86'400'000;

std::string describeValue(const nlohmann::json *value)
{
    if (value == nullptr) {
        return "nothing";
    }
    std::string text = value->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxValueBytes) {
        text = text.substr(0, maxValueBytes) + "…";
    }
    return text;
}

template<typename Number> std::string describeRange(const char *kind, const Range<Number> &range)
{
    return std::string(kind) + " from " + nlohmann::json(range.minimum).dump() + " to "
        + nlohmann::json(range.maximum).dump();
}

std::string describeChoices(const std::vector<std::string> &choices)
{
    std::string text;
    for (const std::string &choice : choices) {
        text += (text.empty() ? "" : ", ") + ("\"" + choice + "\"");
    }
    return "one of " + text;
}

} // namespace

std::string Fault::message() const
{
    return this->path + ": found " + this->found + ", allowed: " + this->allowed;
}

std::string listFaults(const Faults &faults)
{
    std::string text;
    for (const Fault &fault : faults) {
        text += "\n  " + fault.message();
    }
    return text;
}

ObjectReader::ObjectReader(const nlohmann::json &value, std::string path, Faults &faults)
    : value(value), objectPath(std::move(path)), faults(faults)
{
    if (!this->value.is_object()) {
        this->faults.push_back({this->objectPath, describeValue(&this->value), "an object"});
    }
}

const nlohmann::json *ObjectReader::find(const std::string &name)
{
    this->requestedFields.insert(name);
    if (!this->value.is_object()) {
        return nullptr;
    }
    const auto found = this->value.find(name);
    return found == this->value.end() ? nullptr : &*found;
}

std::string ObjectReader::pathOf(const std::string &name) const
{
    return this->objectPath + "." + name;
}

void ObjectReader::addFault(const std::string &name, const std::string &allowed)
{
    this->faults.push_back({this->pathOf(name), describeValue(this->find(name)), allowed});
}

std::vector<std::string> ObjectReader::names() const
{
    std::vector<std::string> all;
    if (this->value.is_object()) {
        for (const auto &field : this->value.items()) {
            all.push_back(field.key());
        }
    }
    return all;
}

bool ObjectReader::has(const std::string &name)
{
    return this->find(name) != nullptr;
}

std::string ObjectReader::requiredText(const std::string &name)
{
    const nlohmann::json *field = this->find(name);
    if (field != nullptr && field->is_string() && !field->get_ref<const std::string &>().empty()) {
        return field->get<std::string>();
    }
    this->addFault(name, "a text that is not empty");
    return {};
}

std::string ObjectReader::text(const std::string &name, const std::string &fallback)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return fallback;
    }
    if (field->is_string()) {
        return field->get<std::string>();
    }
    this->addFault(name, "a text");
    return fallback;
}

std::string ObjectReader::choice(const std::string &name, const std::vector<std::string> &choices,
                                 const std::string &fallback)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return fallback;
    }
    if (field->is_string()) {
        std::string text = field->get<std::string>();
        if (std::find(choices.begin(), choices.end(), text) != choices.end()) {
            return text;
        }
    }
    this->addFault(name, describeChoices(choices));
    return fallback;
}

std::int64_t ObjectReader::integer(const std::string &name, Range<std::int64_t> range,
                                   std::int64_t fallback)
{
    return this->has(name) ? this->requiredInteger(name, range) : fallback;
}

std::int64_t ObjectReader::requiredInteger(const std::string &name, Range<std::int64_t> range)
{
    const nlohmann::json *field = this->find(name);
    const bool tooLarge = field != nullptr && field->is_number_unsigned()
        && field->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    if (field != nullptr && field->is_number_integer() && !tooLarge) {
        const auto number = field->get<std::int64_t>();
        if (number >= range.minimum && number <= range.maximum) {
            return number;
        }
    }
    this->addFault(name, describeRange("a whole number", range));
    return range.minimum;
}

double ObjectReader::number(const std::string &name, Range<double> range, double fallback)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return fallback;
    }
    if (field->is_number()) {
        const auto number = field->get<double>();
        if (std::isfinite(number) && number >= range.minimum && number <= range.maximum) {
            return number;
        }
    }
    this->addFault(name, describeRange("a number", range));
    return fallback;
}

std::chrono::milliseconds ObjectReader::duration(const std::string &name,
                                                 std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(
        this->integer(name, {1, millisecondsPerDay}, fallback.count()));
}

bool ObjectReader::boolean(const std::string &name, bool fallback)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return fallback;
    }
    if (field->is_boolean()) {
        return field->get<bool>();
    }
    this->addFault(name, "true or false");
    return fallback;
}

std::vector<std::string> ObjectReader::textList(const std::string &name)
{
    std::vector<std::string> list;
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return list;
    }
    if (!field->is_array()) {
        this->addFault(name, "a list of texts");
        return list;
    }
    for (std::size_t index = 0; index < field->size(); ++index) {
        const nlohmann::json &element = (*field)[index];
        if (element.is_string() && !element.get_ref<const std::string &>().empty()) {
            list.push_back(element.get<std::string>());
            continue;
        }
        const std::string path = this->pathOf(name) + "[" + std::to_string(index) + "]";
        this->faults.push_back({path, describeValue(&element), "a text that is not empty"});
    }
    return list;
}

void ObjectReader::object(const std::string &name, const std::function<void(ObjectReader &)> &read)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return;
    }
    ObjectReader reader(*field, this->pathOf(name), this->faults);
    read(reader);
    reader.finish();
}

void ObjectReader::objectList(const std::string &name,
                              const std::function<void(ObjectReader &)> &read)
{
    const nlohmann::json *field = this->find(name);
    if (field == nullptr) {
        return;
    }
    if (!field->is_array()) {
        this->addFault(name, "a list of objects");
        return;
    }
    for (std::size_t index = 0; index < field->size(); ++index) {
        const std::string path = this->pathOf(name) + "[" + std::to_string(index) + "]";
        ObjectReader reader((*field)[index], path, this->faults);
        read(reader);
        reader.finish();
    }
}

void ObjectReader::finish()
{
    if (!this->value.is_object()) {
        return;
    }
    for (const auto &[name, field] : this->value.items()) {
        if (this->requestedFields.count(name) == 0) {
            this->faults.push_back(
                {this->pathOf(name), describeValue(&field), "no field of this name"});
        }
    }
}

std::optional<nlohmann::json> parseText(const std::string &text, Faults &faults)
{
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error &error) {
        const std::string position = "byte " + std::to_string(error.byte);
        faults.push_back({"$", "text that breaks off or is wrong at " + position, "JSON"});
        return std::nullopt;
    }
}

} // namespace azurespindle::json
