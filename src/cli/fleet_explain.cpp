#include "cli/fleet_explain.h"

#include "http/client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace azurespindle::cli {
namespace {

constexpr milliseconds memberTimeout {2'000};
constexpr int statusOk = 200;
/// What a process answers when it knows nothing of the subject.
constexpr const char *nothingKnown = "nothing recent concerns";

bool fetch(const std::string &address, const std::string &path, std::string &body)
{
    http::ClientRequest request;
    request.url = "http://" + address + path;
    request.connectTimeout = memberTimeout;
    request.totalTimeout = memberTimeout;
    const http::TransferResult result = http::fetch(request, body);
    return result.end == http::TransferEnd::Complete && result.status == statusOk;
}

MemberExplanation ask(const std::string &member, const std::string &address, const std::string &id)
{
    MemberExplanation explanation {member, "", false};
    explanation.answered = fetch(address, "/explain?id=" + id, explanation.text);
    if (explanation.text.rfind(nothingKnown, 0) == 0) {
        explanation.text.clear();
    }
    return explanation;
}

bool takesPart(const std::string &state)
{
    return state == "alive" || state == "suspect";
}

} // namespace

std::string mergeExplanations(const std::vector<MemberExplanation> &members)
{
    std::vector<std::pair<std::string, std::string>> lines; // By time.
    std::string silent;
    for (const MemberExplanation &each : members) {
        if (!each.answered) {
            silent += "no answer from " + each.member + "\n";
            continue;
        }
        std::istringstream in(each.text);
        for (std::string line; std::getline(in, line);) {
            const std::size_t space = std::min(line.find(' '), line.size());
            lines.emplace_back(line.substr(0, space),
                               line.substr(0, space) + " " + each.member + line.substr(space));
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::string text;
    for (const auto &[time, line] : lines) {
        text += line + "\n";
    }
    return text.empty() && silent.empty() ? "nothing recent concerns it in any member\n"
                                          : text + silent;
}

std::vector<MemberExplanation> explainEverywhere(const std::string &address, const std::string &id)
{
    std::string body;
    if (!fetch(address, "/status", body)) {
        return {};
    }
    std::vector<MemberExplanation> all;
    const auto status = nlohmann::json::parse(body, nullptr, false);
    if (!status.is_object()) {
        return {};
    }
    for (const auto &member : status.value("members", nlohmann::json::array())) {
        if (takesPart(member.value("state", ""))) {
            all.push_back(ask(member.value("name", ""), member.value("callerAddress", ""), id));
        }
    }
    return all;
}

} // namespace azurespindle::cli
