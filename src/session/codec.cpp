#include "session/codec.h"

#include <array>
#include <functional>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

namespace azurespindle::session {
namespace {

using Json = nlohmann::ordered_json;
using Reader = json::ObjectReader;
using namespace decision;

constexpr json::Range<std::int64_t> uint32Range {0, UINT32_MAX};
constexpr json::Range<std::int64_t> nonNegativeRange {0, INT64_MAX};

std::uint32_t readCount(Reader &in, const std::string &name, std::uint32_t fallback = 0)
{
    return static_cast<std::uint32_t>(in.integer(name, uint32Range, fallback));
}

std::uint64_t readUint64(Reader &in, const std::string &name, std::uint64_t fallback = 0)
{
    return static_cast<std::uint64_t>(
        in.integer(name, nonNegativeRange, static_cast<std::int64_t>(fallback)));
}

Instant readInstant(Reader &in, const std::string &name)
{
    return Instant(microseconds(in.integer(name, nonNegativeRange, 0)));
}

std::int64_t inMicroseconds(Instant at)
{
    return at.time_since_epoch().count();
}

std::vector<std::uint64_t> readHashes(Reader &in, const std::string &name)
{
    std::vector<std::uint64_t> parsed;
    for (const std::string &text : in.textList(name)) {
        parsed.push_back(std::strtoull(text.c_str(), nullptr, 16));
    }
    return parsed;
}

// The names of types and fields are part of the session format; some differ from those in C++.

// Events ----------------------------------------------------------------------------------------

Priority readPriority(Reader &in)
{
    const std::string text
        = in.choice("priority", {"batch", "standard", "interactive"}, "standard");
    if (text == "interactive") {
        return Priority::Interactive;
    }
    return text == "batch" ? Priority::Batch : Priority::Standard;
}

Event parseRequestArrived(Reader &in)
{
    Request request;
    request.id = readUint64(in, "request");
    request.workspace = in.text("workspace", "default");
    request.trafficClass = in.text("class", "default");
    request.priority = readPriority(in);
    request.promptTokens = readCount(in, "promptTokens");
    request.maxTokens = readCount(in, "maxTokens", 4'096);
    request.prefixBlocks = readHashes(in, "prefixBlocks");
    request.fingerprint = readUint64(in, "fingerprint", request.id);
    request.streamed = in.boolean("streamed", true);
    request.idempotent = in.boolean("repeatable", true);
    in.object("resume", [&](Reader &resume) {
        request.resume
            = ResumePoint {resume.requiredText("upstream"), resume.requiredText("generation"),
                           readCount(resume, "offset")};
    });
    return RequestArrived {request};
}

Event parseTokensArrived(Reader &in)
{
    TokensArrived event;
    event.request = readUint64(in, "request");
    event.attempt = readCount(in, "attempt", 1);
    event.generation = in.text("generation", "g1");
    event.offset = readCount(in, "offset");
    event.count = readCount(in, "count", 1);
    event.finished = in.boolean("finished", false);
    return event;
}

Event parseAttemptFailed(Reader &in)
{
    static const std::array<FailureKind, 7> kinds {
        FailureKind::NotSent,        FailureKind::ConnectionRefused, FailureKind::Rejected,
        FailureKind::ConnectionLost, FailureKind::TimedOut,          FailureKind::GenerationGone,
        FailureKind::UpstreamError};
    std::vector<std::string> names;
    names.reserve(kinds.size());
    for (const FailureKind kind : kinds) {
        names.emplace_back(name(kind));
    }
    AttemptFailed event;
    event.request = readUint64(in, "request");
    event.attempt = readCount(in, "attempt", 1);
    const std::string chosen = in.choice("kind", names, "lost");
    for (const FailureKind kind : kinds) {
        event.kind = chosen == name(kind) ? kind : event.kind;
    }
    event.detail = in.text("detail", "test");
    return event;
}

ListedUpstream parseListedUpstream(Reader &in)
{
    ListedUpstream listed;
    listed.name = in.requiredText("name");
    listed.zone = in.text("zone", "north");
    const std::string condition = in.choice("condition", {"serving", "leaving", "out"}, "serving");
    listed.condition = condition == "serving" ? Condition::Serving
        : condition == "leaving"              ? Condition::Leaving
                                              : Condition::Out;
    listed.policy.maxConcurrency = readCount(in, "maxConcurrency", 64);
    return listed;
}

Event parseUpstreamsListed(Reader &in)
{
    UpstreamsListed event;
    in.objectList("upstreams",
                  [&](Reader &each) { event.upstreams.push_back(parseListedUpstream(each)); });
    return event;
}

Event parsePoliciesChanged(Reader &in)
{
    PoliciesChanged event;
    event.defaults.maxQueued = readCount(in, "maxQueued", 256);
    event.defaults.queueTimeout = milliseconds(in.integer("queueTimeoutMs", uint32Range, 20'000));
    event.retryShare = in.number("retryShare", {0.0, 1.0}, 0.1);
    in.objectList("exceptions", [&](Reader &each) {
        configuration::WorkspacePolicy policy = event.defaults;
        policy.weight = each.number("weight", {0.01, 1'000.0}, 1.0);
        event.exceptions.emplace_back(each.requiredText("workspace"), policy);
    });
    return event;
}

Event parseUpstreamReported(Reader &in)
{
    UpstreamReported event;
    event.upstream = in.requiredText("upstream");
    event.report.boot = readUint64(in, "boot", 1);
    event.report.memoryTokens = readCount(in, "memoryTokens", 40'000);
    event.report.memoryUsed = readCount(in, "memoryUsed");
    event.report.running = readCount(in, "running");
    event.report.waiting = readCount(in, "waiting");
    return event;
}

Event parseLeaseGranted(Reader &in)
{
    LeaseGranted event;
    event.upstream = in.requiredText("upstream");
    event.concurrency = readCount(in, "concurrency");
    event.memoryShare = in.number("memoryShare", {0.0, 1.0}, 1.0);
    event.expires = readInstant(in, "expires");
    event.standalone = readCount(in, "standalone");
    event.standaloneExpires = readInstant(in, "standaloneExpires");
    event.contended = in.boolean("contended", false);
    in.objectList("foreign", [&](Reader &each) {
        event.remoteUsage.push_back({workspaceKey(each.requiredText("workspace")),
                                     static_cast<std::int32_t>(readCount(each, "served"))});
    });
    return event;
}

Event parseCrashReported(Reader &in)
{
    return CrashReported {readUint64(in, "fingerprint"), in.requiredText("upstream"),
                          readUint64(in, "boot")};
}

Event parseCallAnswered(Reader &in)
{
    return CallAnswered {readUint64(in, "request"), readCount(in, "attempt", 1)};
}

using ParseFunction = std::function<Event(Reader &)>;

const std::unordered_map<std::string, ParseFunction> &eventParsers()
{
    static const std::unordered_map<std::string, ParseFunction> parsers {
        {"RequestArrived", parseRequestArrived},
        {"TokensArrived", parseTokensArrived},
        {"CallAnswered", parseCallAnswered},
        {"AttemptFailed", parseAttemptFailed},
        {"CallerLeft", [](Reader &in) -> Event { return CallerLeft {readUint64(in, "request")}; }},
        {"CallerBusy",
         [](Reader &in) -> Event {
             return CallerStalled {readUint64(in, "request"), in.boolean("busy", false)};
         }},
        {"UpstreamsListed", parseUpstreamsListed},
        {"PoliciesChanged", parsePoliciesChanged},
        {"UpstreamReported", parseUpstreamReported},
        {"CacheChanged",
         [](Reader &in) -> Event {
             return CacheChanged {in.requiredText("upstream"), readHashes(in, "added"),
                                  readHashes(in, "dropped")};
         }},
        {"LeaseGranted", parseLeaseGranted},
        {"CrashReported", parseCrashReported},
        {"CrashAcquitted",
         [](Reader &in) -> Event { return CrashSuspectCleared {readUint64(in, "fingerprint")}; }},
        {"Tick", [](Reader &) -> Event { return Tick {}; }},
        {"StopRequested", [](Reader &) -> Event { return StopRequested {}; }},
    };
    return parsers;
}

// Effects ---------------------------------------------------------------------------------------

Json toJson(const StartAttempt &effect)
{
    Json json {{"type", "StartAttempt"},
               {"request", effect.request},
               {"attempt", effect.attempt},
               {"upstream", effect.upstream}};
    if (effect.leaseExpires != Instant::max()) {
        json["leaseExpires"] = inMicroseconds(effect.leaseExpires);
    }
    return json;
}

Json toJson(const ResumeAttempt &effect)
{
    return {{"type", "ResumeAttempt"},         {"request", effect.request},
            {"attempt", effect.attempt},       {"upstream", effect.upstream},
            {"generation", effect.generation}, {"offset", effect.offset},
            {"delayMs", effect.delay.count()}};
}

Json toJson(const CancelAttempt &effect)
{
    return {{"type", "CancelAttempt"},         {"request", effect.request},
            {"attempt", effect.attempt},       {"upstream", effect.upstream},
            {"generation", effect.generation}, {"keep", effect.keep}};
}

Json toJson(const Deliver &effect)
{
    return {{"type", "Deliver"},           {"request", effect.request},
            {"upstream", effect.upstream}, {"generation", effect.generation},
            {"offset", effect.offset},     {"count", effect.count},
            {"skip", effect.skip},         {"last", effect.last}};
}

Json toJson(const DeliverAnswer &effect)
{
    return {{"type", "DeliverAnswer"}, {"request", effect.request}, {"attempt", effect.attempt}};
}

Json toJson(const Refuse &effect)
{
    return {{"type", "Refuse"},
            {"request", effect.request},
            {"code", name(effect.refusal.code)},
            {"outcome", name(effect.refusal.outcome)},
            {"retryAfterMs", effect.refusal.retryAfter.count()},
            {"reason", effect.refusal.reason}};
}

Json toJson(const AskLease &effect)
{
    const UpstreamObservations &observations = effect.observations;
    Json json {{"type", "AskLease"},
               {"upstream", effect.upstream},
               {"inUse", effect.inUse},
               {"wanted", effect.wanted},
               {"firstTokens", {observations.firstTokensInTime, observations.firstTokensLate}},
               {"gaps", {observations.gapsInTime, observations.gapsLate}},
               {"failures", observations.failures}};
    for (const WorkspaceUsage &use : effect.workspaces) {
        json["workspaces"].push_back(
            {{"key", use.workspace}, {"queued", use.queued}, {"served", use.served}});
    }
    return json;
}

Json toJson(const ReportCrash &effect)
{
    return {{"type", "TellCrash"},
            {"fingerprint", effect.fingerprint},
            {"upstream", effect.upstream},
            {"boot", effect.boot}};
}

Json toJson(const ReportSuspectCleared &effect)
{
    return {{"type", "TellAcquittal"},
            {"request", effect.request},
            {"fingerprint", effect.fingerprint}};
}

Json toJson(const Journal &effect)
{
    Json json {{"type", "Journal"}, {"event", journal::describe(effect.entry.id).name}};
    for (const journal::Field &field : effect.entry.fields) {
        json[field.name] = field.value;
    }
    return json;
}

// Sessions --------------------------------------------------------------------------------------

DispatcherOptions parseOptions(Reader &in)
{
    DispatcherOptions options;
    options.leasing = in.boolean("leasing", false);
    options.firstTokenTimeout = milliseconds(in.integer("firstTokenMs", uint32Range, 30'000));
    options.gapTimeout = milliseconds(in.integer("gapMs", uint32Range, 3'000));
    options.callTimeout = milliseconds(in.integer("callMs", uint32Range, 60'000));
    return options;
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        lines.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return lines;
}

} // namespace

Event parseEvent(const nlohmann::json &json, json::Faults &faults)
{
    Reader in(json, "$.event", faults);
    const std::string type = in.requiredText("type");
    const auto parser = eventParsers().find(type);
    if (parser == eventParsers().end()) {
        in.addFault("type", "the name of an event");
        return Tick {};
    }
    Event event = parser->second(in);
    in.finish();
    return event;
}

std::string formatEffect(const Effect &effect)
{
    return std::visit([](const auto &each) { return toJson(each).dump(); }, effect);
}

std::string replay(const std::string &recorded, json::Faults &faults)
{
    DispatcherOptions options;
    options.leasing = false;
    std::optional<Dispatcher> dispatcher;
    std::string replayed;
    std::size_t lineNumber = 0;
    for (const std::string &line : splitLines(recorded)) {
        lineNumber += 1;
        if (line.empty() || line.front() == '#') {
            replayed += line + "\n";
            continue;
        }
        json::Faults lineFaults;
        const auto json = json::parseText(line, lineFaults);
        if (json && json->contains("effect")) {
            continue;
        }
        if (json && json->contains("options")) {
            Reader in((*json)["options"], "$.options", lineFaults);
            options = parseOptions(in);
        } else if (json && json->contains("event")) {
            if (!dispatcher) {
                dispatcher.emplace(options);
            }
            const Event event = parseEvent((*json)["event"], lineFaults);
            const Instant at(microseconds(json->value("at", std::int64_t(0))));
            replayed += line + "\n";
            for (const Effect &effect : dispatcher->handle(event, at)) {
                replayed += "{\"effect\":" + formatEffect(effect) + "}\n";
            }
        }
        if (json && json->contains("options")) {
            replayed += line + "\n";
        }
        for (json::Fault &fault : lineFaults) {
            fault.path = "line " + std::to_string(lineNumber) + " " + fault.path;
            faults.push_back(std::move(fault));
        }
    }
    return replayed;
}

} // namespace azurespindle::session
