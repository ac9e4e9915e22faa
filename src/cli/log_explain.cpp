#include "cli/log_explain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace azurespindle::cli {
namespace {

using Json = nlohmann::ordered_json;

/// Fields that every line has, and that are shown before the others.
const std::set<std::string> &headFields()
{
    static const std::set<std::string> names {"time", "process", "severity", "event", "name"};
    return names;
}

std::string textOf(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

bool names(const LogLine &line, const std::string &id)
{
    const auto same = [&](const auto &field) { return field.second == id; };
    return std::any_of(line.fields.begin(), line.fields.end(), same);
}

/// Returns the upstreams that the lines of a request name.
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

/// Returns true for a line about an upstream itself, or about what the process knows at all.
bool isContext(const LogLine &line, const std::set<std::string> &upstreams)
{
    static const std::set<std::string> ofTheProcess {
        "process-started", "process-stopping",  "process-stopped",        "publisher-lost",
        "publisher-back",  "readiness-changed", "configuration-accepted", "log-lines-dropped"};
    const bool ofAnUpstream
        = line.value("request").empty() && upstreams.count(line.value("upstream")) > 0;
    return ofAnUpstream || ofTheProcess.count(line.name) > 0;
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
        const std::size_t brace = text.find('{');
        if (brace == std::string::npos) {
            continue;
        }
        const Json json = Json::parse(text.substr(brace), nullptr, false);
        if (!json.is_object() || !json.contains("name") || !json.contains("time")) {
            continue;
        }
        LogLine line;
        line.time = textOf(json["time"]);
        line.process = json.contains("process") ? textOf(json["process"]) : "";
        line.name = textOf(json["name"]);
        line.position = lines.size();
        for (const auto &[field, value] : json.items()) {
            if (headFields().count(field) == 0) {
                line.fields.emplace_back(field, textOf(value));
            }
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

std::string explainFromLogs(const std::vector<LogLine> &lines, const std::string &id)
{
    std::vector<LogLine> story;
    for (const LogLine &line : lines) {
        if (names(line, id)) {
            story.push_back(line);
        }
    }
    if (story.empty()) {
        return "no line names " + id + "\n";
    }
    const auto byTime = [](const LogLine &a, const LogLine &b) {
        return a.process == b.process ? a.position < b.position : a.time < b.time;
    };
    const bool ofRequest = !story.front().value("request").empty();
    if (ofRequest) {
        const std::set<std::string> upstreams = upstreamsOf(story);
        std::set<std::string> processes;
        std::string first = story.front().time;
        std::string last = first;
        for (const LogLine &line : story) {
            processes.insert(line.process);
            first = std::min(first, line.time);
            last = std::max(last, line.time);
        }
        for (const LogLine &line : lines) {
            const bool during = line.time >= first && line.time <= last;
            if (during && processes.count(line.process) > 0 && !names(line, id)
                && isContext(line, upstreams)) {
                story.push_back(line);
            }
        }
    }
    std::stable_sort(story.begin(), story.end(), byTime);
    std::string text;
    for (const LogLine &line : story) {
        text += format(line);
    }
    return text;
}

} // namespace azurespindle::cli
