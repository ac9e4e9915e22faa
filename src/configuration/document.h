#ifndef AZURESPINDLE_CONFIGURATION_DOCUMENT_H
#define AZURESPINDLE_CONFIGURATION_DOCUMENT_H

#include "base/time_types.h"
#include "json/object_reader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::configuration {

/// Scheduling policy of a workspace.
struct WorkspacePolicy
{
    double weight = 1.0;                ///< Relative share of tokens among the workspaces.
    std::size_t maxQueued = 256;        ///< Most requests queued in one entry process.
    milliseconds queueTimeout {20'000}; ///< Longest time in the queue before a refusal.

    auto operator<=>(const WorkspacePolicy &other) const = default;
};

/// Concurrency limits, latency thresholds and desired state of an upstream.
struct UpstreamPolicy
{
    std::size_t coldConcurrency = 2;     ///< Fleet-wide generations at once on a cold engine.
    std::size_t maxConcurrency = 256;    ///< Fleet-wide generations at once on a warm engine.
    double memoryTarget = 0.92;          ///< Usable share of the engine's KV cache memory.
    milliseconds slowGap {154};          ///< Mean gap between tokens above which they are late.
    milliseconds slowFirstToken {2'000}; ///< Time above which a first token is late.
    bool honoursFencing = true;          ///< The engine refuses orders with an old fencing token.
    std::string model;   ///< Model to load; empty for the one that the VM list names.
    std::string version; ///< Version to load; empty for the version of the model.
    std::string role;    ///< Role to take; empty if the upstream keeps its role.

    auto operator<=>(const UpstreamPolicy &other) const = default;
};

/// A model that callers may name in a request.
struct Model
{
    std::string name;
    std::string version;               ///< Version that engines are ordered to load; empty for any.
    std::vector<std::string> adapters; ///< Adapters that engines are ordered to load.

    auto operator<=>(const Model &other) const = default;
};

/// Fleet-wide limits on the rate at which engines are ordered to load models.
struct OrderPolicy
{
    double loadsPerMinute = 12.0; ///< Loads that the weight store can serve, over the whole fleet.
    double maxLoadingShare = 0.1; ///< Share of a pool's engines that may be unavailable at once.

    auto operator<=>(const OrderPolicy &other) const = default;
};

/// A service other than an engine that callers may name in a request.
struct Service
{
    std::string name;
    bool repeatable = false; ///< True if POST calls may be retried after an unknown outcome.

    auto operator<=>(const Service &other) const = default;
};

/// Kind of object that an exception or an out-of-service mark applies to.
enum class SubjectKind { Workspace, Upstream, Zone, Vm };

/// Returns the name of the JSON field that selects the kind, such as "workspace".
const char *name(SubjectKind kind);

/// Overrides of the default policy for one workspace, upstream or zone, with their reason.
struct Exception
{
    SubjectKind kind = SubjectKind::Workspace;
    std::string subject;
    std::string reason;
    // Overridden policy fields; a field without a value keeps the default.
    std::optional<double> weight;
    std::optional<std::size_t> maxQueued;
    std::optional<milliseconds> queueTimeout;
    std::optional<std::size_t> coldConcurrency;
    std::optional<std::size_t> maxConcurrency;
    std::optional<double> memoryTarget;
    std::optional<milliseconds> slowGap;
    std::optional<milliseconds> slowFirstToken;
    std::optional<bool> honoursFencing;
    std::optional<std::string> model;
    std::optional<std::string> version;
    std::optional<std::string> role;

    bool operator==(const Exception &other) const = default;
};

/// A zone or VM that operators have taken out of service.
struct OutOfServiceMark
{
    SubjectKind kind = SubjectKind::Zone;
    std::string subject;
    std::string reason;

    bool operator==(const OutOfServiceMark &other) const = default;
};

/// A group of zones that are near one another.
struct Region
{
    std::string name;
    std::vector<std::string> zones;

    bool operator==(const Region &other) const = default;
};

/// The whole published configuration. Documents with equal revisions have the same content.
struct Document
{
    std::uint64_t revision = 0;
    WorkspacePolicy workspaceDefaults;
    UpstreamPolicy upstreamDefaults;
    double retryShare = 0.1; ///< Retries allowed, as a ratio of the first attempts.
    OrderPolicy orders;
    std::vector<Model> models;
    std::vector<Service> services;
    std::vector<Region> regions; ///< Zones outside all regions count as one region.
    std::vector<Exception> exceptions;
    std::vector<OutOfServiceMark> outOfServiceMarks;

    bool operator==(const Document &other) const = default;
};

/// An effective policy and the sources of its values, as `azurespindle configuration` shows them.
template<typename Policy> struct Resolved
{
    Policy policy;
    /// Either "defaults" or "exception N (KIND SUBJECT): REASON"; later ones take precedence.
    std::vector<std::string> sources;
};

/// Parses a Document from JSON.
/// \param faults receives every error found; the fields concerned have their default values
Document parseDocument(const nlohmann::json &json, json::Faults &faults);

/// Returns the effective policy of \a workspace: the defaults with its exceptions applied.
Resolved<WorkspacePolicy> workspacePolicy(const Document &document, const std::string &workspace);

/// Returns the effective policy of \a upstream in \a zone. An exception for the upstream takes
/// precedence over one for its zone.
Resolved<UpstreamPolicy> upstreamPolicy(const Document &document, const std::string &upstream,
                                        const std::string &zone);

/// Returns the first mark that takes \a vm or its \a zone out of service, or nothing.
std::optional<OutOfServiceMark> outOfServiceMark(const Document &document, const std::string &vm,
                                                 const std::string &zone);

/// Returns the name of the region that contains \a zone, or an empty string if none does.
std::string regionOf(const Document &document, const std::string &zone);

/// Returns one line of text for each change, such as "zone north-1 marked out: maintenance".
std::vector<std::string> differences(const Document &before, const Document &after);

} // namespace azurespindle::configuration

#endif
