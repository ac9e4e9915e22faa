#include "configuration/document.h"

#include <algorithm>
#include <set>
#include <utility>

namespace azurespindle::configuration {
namespace {

constexpr json::Range<double> weightRange {0.01, 1'000.0};
constexpr json::Range<std::int64_t> limitRange {1, 1'000'000};
constexpr json::Range<double> memoryTargetRange {0.1, 1.0};
constexpr json::Range<double> loadRateRange {0.01, 100'000.0};
constexpr json::Range<double> loadingShareRange {0.0, 1.0};
constexpr std::size_t maxExceptions = 1'000;
constexpr std::size_t maxNamedEntries = 10'000;

std::size_t readCount(json::ObjectReader &reader, const std::string &name, std::size_t fallback)
{
    const auto number = reader.integer(name, limitRange, static_cast<std::int64_t>(fallback));
    return static_cast<std::size_t>(number);
}

void readWorkspacePolicy(json::ObjectReader &reader, WorkspacePolicy &policy)
{
    policy.weight = reader.number("weight", weightRange, policy.weight);
    policy.maxQueued = readCount(reader, "maxQueued", policy.maxQueued);
    policy.queueTimeout = reader.duration("queueTimeoutMs", policy.queueTimeout);
}

void readUpstreamPolicy(json::ObjectReader &reader, UpstreamPolicy &policy)
{
    policy.coldConcurrency = readCount(reader, "coldConcurrency", policy.coldConcurrency);
    policy.maxConcurrency = readCount(reader, "maxConcurrency", policy.maxConcurrency);
    policy.memoryTarget = reader.number("memoryTarget", memoryTargetRange, policy.memoryTarget);
    policy.slowGap = reader.duration("slowGapMs", policy.slowGap);
    policy.slowFirstToken = reader.duration("slowFirstTokenMs", policy.slowFirstToken);
    policy.honoursFencing = reader.boolean("honoursFencing", policy.honoursFencing);
    policy.model = reader.text("model", policy.model);
    policy.version = reader.text("version", policy.version);
    policy.role = reader.text("role", policy.role);
    if (policy.coldConcurrency > policy.maxConcurrency) {
        reader.addFault("coldConcurrency", "at most maxConcurrency");
    }
}

void readOrderPolicy(json::ObjectReader &reader, OrderPolicy &policy)
{
    policy.loadsPerMinute = reader.number("loadsPerMinute", loadRateRange, policy.loadsPerMinute);
    policy.maxLoadingShare
        = reader.number("maxLoadingShare", loadingShareRange, policy.maxLoadingShare);
}

/// Reads the subject and reason of an exception or mark. Exactly one of the fields that \a kinds
/// name must be present.
template<typename Subject>
void readSubject(json::ObjectReader &reader, const std::vector<SubjectKind> &kinds,
                 Subject &subject)
{
    std::size_t present = 0;
    std::string allowed;
    for (const SubjectKind kind : kinds) {
        allowed += (allowed.empty() ? "" : ", ") + std::string(name(kind));
        if (!reader.has(name(kind))) {
            continue;
        }
        present += 1;
        subject.kind = kind;
        subject.subject = reader.requiredText(name(kind));
    }
    if (present != 1) {
        reader.addFault(name(kinds.front()), "exactly one of " + allowed);
    }
    subject.reason = reader.requiredText("reason");
}

void readWorkspaceOverrides(json::ObjectReader &set, Exception &exception)
{
    WorkspacePolicy policy;
    readWorkspacePolicy(set, policy);
    if (set.has("weight")) {
        exception.weight = policy.weight;
    }
    if (set.has("maxQueued")) {
        exception.maxQueued = policy.maxQueued;
    }
    if (set.has("queueTimeoutMs")) {
        exception.queueTimeout = policy.queueTimeout;
    }
}

void readUpstreamOverrides(json::ObjectReader &set, UpstreamPolicy policy, Exception &exception)
{
    readUpstreamPolicy(set, policy);
    if (set.has("coldConcurrency")) {
        exception.coldConcurrency = policy.coldConcurrency;
    }
    if (set.has("maxConcurrency")) {
        exception.maxConcurrency = policy.maxConcurrency;
    }
    if (set.has("memoryTarget")) {
        exception.memoryTarget = policy.memoryTarget;
    }
    if (set.has("slowGapMs")) {
        exception.slowGap = policy.slowGap;
    }
    if (set.has("slowFirstTokenMs")) {
        exception.slowFirstToken = policy.slowFirstToken;
    }
    if (set.has("honoursFencing")) {
        exception.honoursFencing = policy.honoursFencing;
    }
    if (set.has("model")) {
        exception.model = policy.model;
    }
    if (set.has("version")) {
        exception.version = policy.version;
    }
    if (set.has("role")) {
        exception.role = policy.role;
    }
}

Exception readException(json::ObjectReader &reader, const UpstreamPolicy &upstreamDefaults)
{
    Exception exception;
    readSubject(reader, {SubjectKind::Workspace, SubjectKind::Upstream, SubjectKind::Zone},
                exception);
    if (!reader.has("set")) {
        reader.addFault("set", "an object with the fields that differ from the defaults");
    }
    reader.object("set", [&](json::ObjectReader &set) {
        if (exception.kind == SubjectKind::Workspace) {
            readWorkspaceOverrides(set, exception);
        } else {
            readUpstreamOverrides(set, upstreamDefaults, exception);
        }
    });
    return exception;
}

template<typename NamedEntry>
void checkNames(json::ObjectReader &reader, const std::string &field,
                const std::vector<NamedEntry> &entries)
{
    std::set<std::string> seen;
    for (const NamedEntry &each : entries) {
        if (!each.name.empty() && !seen.insert(each.name).second) {
            reader.addFault(field, "each name once (\"" + each.name + "\" stands twice)");
        }
    }
    if (entries.size() > maxNamedEntries) {
        reader.addFault(field, "at most " + std::to_string(maxNamedEntries) + " entries");
    }
}

void checkExceptions(json::ObjectReader &reader, const std::vector<Exception> &exceptions)
{
    std::set<std::pair<SubjectKind, std::string>> seen;
    for (const Exception &exception : exceptions) {
        if (!seen.insert({exception.kind, exception.subject}).second) {
            reader.addFault("exceptions",
                            "one exception for each subject (\"" + exception.subject
                                + "\" stands twice)");
        }
    }
    if (exceptions.size() > maxExceptions) {
        reader.addFault("exceptions", "at most " + std::to_string(maxExceptions) + " exceptions");
    }
}

void checkRegions(json::ObjectReader &reader, const std::vector<Region> &regions)
{
    std::set<std::string> seen;
    for (const Region &region : regions) {
        for (const std::string &zone : region.zones) {
            if (!seen.insert(zone).second) {
                reader.addFault("regions", "each zone once (\"" + zone + "\" stands twice)");
            }
        }
    }
}

/// Adds a fault for each exception that wants a model which is not listed under `models`: an engine
/// may only be ordered to load a model that callers may name.
void checkDesiredModels(json::ObjectReader &reader, const Document &document)
{
    for (const Exception &exception : document.exceptions) {
        const bool listed
            = std::any_of(document.models.begin(), document.models.end(), [&](const Model &each) {
                  return !exception.model || exception.model->empty()
                      || each.name == *exception.model;
              });
        if (exception.model && !listed) {
            reader.addFault("exceptions",
                            "a model listed under models (\"" + *exception.model
                                + "\" is wanted for " + exception.subject + ")");
        }
    }
}

template<typename Value> void override(const std::optional<Value> &from, Value &to)
{
    if (from) {
        to = *from;
    }
}

std::string describeSource(std::size_t index, const Exception &exception)
{
    return "exception " + std::to_string(index) + " (" + name(exception.kind) + " "
        + exception.subject + "): " + exception.reason;
}

bool applies(const Exception &exception, SubjectKind kind, const std::string &subject)
{
    return exception.kind == kind && exception.subject == subject;
}

void applyUpstreamOverrides(const Exception &exception, UpstreamPolicy &policy)
{
    override(exception.coldConcurrency, policy.coldConcurrency);
    override(exception.maxConcurrency, policy.maxConcurrency);
    override(exception.memoryTarget, policy.memoryTarget);
    override(exception.slowGap, policy.slowGap);
    override(exception.slowFirstToken, policy.slowFirstToken);
    override(exception.honoursFencing, policy.honoursFencing);
    override(exception.model, policy.model);
    override(exception.version, policy.version);
    override(exception.role, policy.role);
}

template<typename Item> bool contains(const std::vector<Item> &items, const Item &item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

} // namespace

const char *name(SubjectKind kind)
{
    switch (kind) {
    case SubjectKind::Workspace:
        return "workspace";
    case SubjectKind::Upstream:
        return "upstream";
    case SubjectKind::Zone:
        return "zone";
    case SubjectKind::Vm:
        return "vm";
    }
    return "subject";
}

Document parseDocument(const nlohmann::json &json, json::Faults &faults)
{
    json::ObjectReader reader(json, "$", faults);
    Document document;
    document.revision
        = static_cast<std::uint64_t>(reader.requiredInteger("revision", {1, INT64_MAX}));
    reader.object("defaults", [&](json::ObjectReader &defaults) {
        defaults.object("workspace", [&](json::ObjectReader &workspace) {
            readWorkspacePolicy(workspace, document.workspaceDefaults);
        });
        defaults.object("upstream", [&](json::ObjectReader &upstream) {
            readUpstreamPolicy(upstream, document.upstreamDefaults);
        });
        document.retryShare = defaults.number("retryShare", {0.0, 1.0}, document.retryShare);
        defaults.object("orders", [&](json::ObjectReader &orders) {
            readOrderPolicy(orders, document.orders);
        });
    });
    reader.objectList("models", [&](json::ObjectReader &model) {
        document.models.push_back(
            {model.requiredText("name"), model.text("version", ""), model.textList("adapters")});
    });
    reader.objectList("services", [&](json::ObjectReader &service) {
        document.services.push_back(
            {service.requiredText("name"), service.boolean("repeatable", false)});
    });
    reader.objectList("regions", [&](json::ObjectReader &region) {
        document.regions.push_back({region.requiredText("name"), region.textList("zones")});
    });
    reader.objectList("exceptions", [&](json::ObjectReader &exception) {
        document.exceptions.push_back(readException(exception, document.upstreamDefaults));
    });
    reader.objectList("out", [&](json::ObjectReader &mark) {
        OutOfServiceMark out;
        readSubject(mark, {SubjectKind::Zone, SubjectKind::Vm}, out);
        document.outOfServiceMarks.push_back(out);
    });
    checkNames(reader, "models", document.models);
    checkNames(reader, "regions", document.regions);
    checkRegions(reader, document.regions);
    checkDesiredModels(reader, document);
    checkNames(reader, "services", document.services);
    checkExceptions(reader, document.exceptions);
    reader.finish();
    return document;
}

Resolved<WorkspacePolicy> workspacePolicy(const Document &document, const std::string &workspace)
{
    Resolved<WorkspacePolicy> resolved {document.workspaceDefaults, {"defaults"}};
    for (std::size_t index = 0; index < document.exceptions.size(); ++index) {
        const Exception &exception = document.exceptions[index];
        if (!applies(exception, SubjectKind::Workspace, workspace)) {
            continue;
        }
        override(exception.weight, resolved.policy.weight);
        override(exception.maxQueued, resolved.policy.maxQueued);
        override(exception.queueTimeout, resolved.policy.queueTimeout);
        resolved.sources.push_back(describeSource(index, exception));
    }
    return resolved;
}

Resolved<UpstreamPolicy> upstreamPolicy(const Document &document, const std::string &upstream,
                                        const std::string &zone)
{
    Resolved<UpstreamPolicy> resolved {document.upstreamDefaults, {"defaults"}};
    const std::pair<SubjectKind, std::string> subjects[]
        = {{SubjectKind::Zone, zone}, {SubjectKind::Upstream, upstream}};
    for (const auto &[kind, subject] : subjects) {
        for (std::size_t index = 0; index < document.exceptions.size(); ++index) {
            const Exception &exception = document.exceptions[index];
            if (applies(exception, kind, subject)) {
                applyUpstreamOverrides(exception, resolved.policy);
                resolved.sources.push_back(describeSource(index, exception));
            }
        }
    }
    return resolved;
}

std::optional<OutOfServiceMark> outOfServiceMark(const Document &document, const std::string &vm,
                                                 const std::string &zone)
{
    for (const OutOfServiceMark &mark : document.outOfServiceMarks) {
        const std::string &subject = mark.kind == SubjectKind::Zone ? zone : vm;
        if (mark.subject == subject) {
            return mark;
        }
    }
    return std::nullopt;
}

std::string regionOf(const Document &document, const std::string &zone)
{
    for (const Region &region : document.regions) {
        if (contains(region.zones, zone)) {
            return region.name;
        }
    }
    return {};
}

std::vector<std::string> differences(const Document &before, const Document &after)
{
    std::vector<std::string> lines;
    for (const OutOfServiceMark &mark : after.outOfServiceMarks) {
        if (!contains(before.outOfServiceMarks, mark)) {
            lines.push_back(std::string(name(mark.kind)) + " " + mark.subject
                            + " marked out: " + mark.reason);
        }
    }
    for (const OutOfServiceMark &mark : before.outOfServiceMarks) {
        if (!contains(after.outOfServiceMarks, mark)) {
            lines.push_back(std::string(name(mark.kind)) + " " + mark.subject + " marked in");
        }
    }
    for (const Exception &exception : after.exceptions) {
        if (!contains(before.exceptions, exception)) {
            lines.push_back("exception for " + std::string(name(exception.kind)) + " "
                            + exception.subject + " set: " + exception.reason);
        }
    }
    for (const Exception &exception : before.exceptions) {
        const bool kept = std::any_of(after.exceptions.begin(), after.exceptions.end(),
                                      [&](const Exception &other) {
                                          return applies(other, exception.kind, exception.subject);
                                      });
        if (!kept) {
            lines.push_back("exception for " + std::string(name(exception.kind)) + " "
                            + exception.subject + " removed");
        }
    }
    if (before.workspaceDefaults != after.workspaceDefaults) {
        lines.emplace_back("workspace defaults changed");
    }
    if (before.upstreamDefaults != after.upstreamDefaults) {
        lines.emplace_back("upstream defaults changed");
    }
    if (before.models != after.models || before.services != after.services) {
        lines.emplace_back("models or services changed");
    }
    if (before.regions != after.regions) {
        lines.emplace_back("regions changed");
    }
    if (before.orders != after.orders) {
        lines.emplace_back("order limits changed");
    }
    return lines;
}

} // namespace azurespindle::configuration
