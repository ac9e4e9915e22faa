#include "cli/fleet_explain.h"

#include "http/client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace azurespindle::cli {
namespace {

constexpr milliseconds memberTimeout {2'000};
constexpr int httpStatusOk = 200;
/// Start of the response of a process that has no recent events for the ID.
constexpr const char *noEventsPrefix = "nothing recent concerns";

bool fetch(const std::string &address, const std::string &path, std::string &body)
{
    http::ClientRequest request;
    request.url = "http://" + address + path;
    request.connectTimeout = memberTimeout;
    request.totalTimeout = memberTimeout;
    const http::TransferResult result = http::fetch(request, body);
    return result.end == http::TransferEnd::Complete && result.status == httpStatusOk;
}

MemberExplanation queryMember(const std::string &member, const std::string &address,
                              const std::string &id)
{
    MemberExplanation explanation {member, "", false};
    explanation.answered = fetch(address, "/explain?id=" + id, explanation.text);
    if (explanation.text.rfind(noEventsPrefix, 0) == 0) {
        explanation.text.clear();
    }
    return explanation;
}

bool isLive(const std::string &state)
{
    return state == "alive" || state == "suspect";
}

} // namespace

std::string mergeExplanations(const std::vector<MemberExplanation> &members)
{
    std::vector<std::pair<std::string, std::string>> lines; // Pairs of time and line.
    std::string unresponsive;
    for (const MemberExplanation &explanation : members) {
        if (!explanation.answered) {
            unresponsive += "no answer from " + explanation.member + "\n";
            continue;
        }
        std::istringstream in(explanation.text);
        for (std::string line; std::getline(in, line);) {
            const std::size_t space = std::min(line.find(' '), line.size());
            lines.emplace_back(line.substr(0, space),
                               line.substr(0, space) + " " + explanation.member
                                   + line.substr(space));
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::string text;
    for (const auto &[time, line] : lines) {
        text += line + "\n";
    }
    return text.empty() && unresponsive.empty() ? "nothing recent concerns it in any member\n"
                                                : text + unresponsive;
}

std::vector<MemberExplanation> explainFromMembers(const std::string &address, const std::string &id)
{
    std::string body;
    if (!fetch(address, "/status", body)) {
        return {};
    }
    std::vector<MemberExplanation> explanations;
    const auto status = nlohmann::json::parse(body, nullptr, false);
    if (!status.is_object()) {
        return {};
    }
    for (const auto &member : status.value("members", nlohmann::json::array())) {
        if (isLive(member.value("state", ""))) {
            explanations.push_back(
                queryMember(member.value("name", ""), member.value("callerAddress", ""), id));
        }
    }
    return explanations;
}

} // namespace azurespindle::cli
