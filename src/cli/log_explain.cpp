#include "cli/log_explain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace azurespindle::cli {
namespace {

using Json = nlohmann::ordered_json;

/// Returns the names of the fields that are common to all lines; they are not kept in
/// LogLine::fields.
const std::set<std::string> &commonFields()
{
    static const std::set<std::string> names {"time", "process", "severity", "event", "name"};
    return names;
}

std::string toText(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

bool containsId(const LogLine &line, const std::string &id)
{
    const auto hasId = [&](const auto &field) { return field.second == id; };
    return std::any_of(line.fields.begin(), line.fields.end(), hasId);
}

/// Returns the upstreams that occur in the lines of a request.
std::set<std::string> upstreamsOf(const std::vector<LogLine> &lines)
{
    std::set<std::string> upstreams;
    for (const LogLine &line : lines) {
        for (const char *field : {"upstream", "from", "to"}) {
            const std::string value = line.value(field);
            if (!value.empty()) {
                upstreams.insert(value);
            }
        }
    }
    return upstreams;
}

/// Returns true for an event of one of \a upstreams that belongs to no request, and for an event of
/// the whole process.
bool isContextEvent(const LogLine &line, const std::set<std::string> &upstreams)
{
    static const std::set<std::string> processEvents {
        "process-started", "process-stopping",  "process-stopped",        "publisher-lost",
        "publisher-back",  "readiness-changed", "configuration-accepted", "log-lines-dropped"};
    const bool isUpstreamEvent
        = line.value("request").empty() && upstreams.count(line.value("upstream")) > 0;
    return isUpstreamEvent || processEvents.count(line.name) > 0;
}

std::string format(const LogLine &line)
{
    std::string text = line.time + " " + line.process + " " + line.name;
    for (const auto &[field, value] : line.fields) {
        const bool quoted = value.empty() || value.find(' ') != std::string::npos;
        text += " " + field + "=" + (quoted ? "\"" + value + "\"" : value);
    }
    return text + "\n";
}

} // namespace

std::string LogLine::value(const std::string &field) const
{
    for (const auto &[name, value] : this->fields) {
        if (name == field) {
            return value;
        }
    }
    return {};
}

std::vector<LogLine> readLog(std::istream &log)
{
    std::vector<LogLine> lines;
    std::string text;
    while (std::getline(log, text)) {
        const std::size_t objectStart = text.find('{');
        if (objectStart == std::string::npos) {
            continue;
        }
        const Json json = Json::parse(text.substr(objectStart), nullptr, false);
        if (!json.is_object() || !json.contains("name") || !json.contains("time")) {
            continue;
        }
        LogLine line;
        line.time = toText(json["time"]);
        line.process = json.contains("process") ? toText(json["process"]) : "";
        line.name = toText(json["name"]);
        line.position = lines.size();
        for (const auto &[field, value] : json.items()) {
            if (commonFields().count(field) == 0) {
                line.fields.emplace_back(field, toText(value));
            }
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

std::string explainFromLogs(const std::vector<LogLine> &lines, const std::string &id)
{
    std::vector<LogLine> selected;
    for (const LogLine &line : lines) {
        if (containsId(line, id)) {
            selected.push_back(line);
        }
    }
    if (selected.empty()) {
        return "no line names " + id + "\n";
    }
    const auto precedes = [](const LogLine &a, const LogLine &b) {
        return a.process == b.process ? a.position < b.position : a.time < b.time;
    };
    const bool isRequest = !selected.front().value("request").empty();
    if (isRequest) {
        const std::set<std::string> upstreams = upstreamsOf(selected);
        std::set<std::string> processes;
        std::string first = selected.front().time;
        std::string last = first;
        for (const LogLine &line : selected) {
            processes.insert(line.process);
            first = std::min(first, line.time);
            last = std::max(last, line.time);
        }
        for (const LogLine &line : lines) {
            const bool duringRequest = line.time >= first && line.time <= last;
            if (duringRequest && processes.count(line.process) > 0 && !containsId(line, id)
                && isContextEvent(line, upstreams)) {
                selected.push_back(line);
            }
        }
    }
    std::stable_sort(selected.begin(), selected.end(), precedes);
    std::string text;
    for (const LogLine &line : selected) {
        text += format(line);
    }
    return text;
}

} // namespace azurespindle::cli
