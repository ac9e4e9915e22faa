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

/// How a workspace is treated.
struct WorkspacePolicy
{
    double weight = 1.0;                ///< Share of tokens beside the other workspaces.
    std::size_t maxQueued = 256;        ///< Requests of the workspace waiting in one entry process.
    milliseconds queueTimeout {20'000}; ///< Longest wait before a truthful refusal.

    auto operator<=>(const WorkspacePolicy &other) const = default;
};

/// How an upstream is treated.
struct UpstreamPolicy
{
    std::size_t coldConcurrency = 2;     ///< Generations a fresh engine bears, fleet-wide.
    std::size_t maxConcurrency = 256;    ///< Generations a warm engine is given, fleet-wide.
    double memoryTarget = 0.92;          ///< Share of the engine's KV memory planned for.
    milliseconds slowGap {154};          ///< A mean gap between tokens that counts as strain.
    milliseconds slowFirstToken {2'000}; ///< A first token later than this counts as strain.
    bool honoursFencing = true; ///< The engine refuses an order with an old fencing number.
    std::string model;          ///< Model to load; empty: the one that the VM list names.
    std::string version;        ///< Version to load; empty: that of the model.
    std::string role;           ///< Role to take; empty: whichever it has.

    auto operator<=>(const UpstreamPolicy &other) const = default;
};

/// A model or a plain service that callers may name.
struct Model
{
    std::string name;
    std::string version;               ///< Version that engines are ordered to load; empty: any.
    std::vector<std::string> adapters; ///< Adapters that engines are ordered to load.

    auto operator<=>(const Model &other) const = default;
};

/// How fast engines are ordered to load.
struct OrderPolicy
{
    double loadsPerMinute = 12.0; ///< What the weight store bears, over the whole fleet.
    double maxLoadingShare = 0.1; ///< Part of a pool's engines that may be away at once.

    auto operator<=>(const OrderPolicy &other) const = default;
};

/// A plain service beside the engines.
struct Service
{
    std::string name;
    bool repeatable = false; ///< Its POST calls may be sent again after an unknown outcome.

    auto operator<=>(const Service &other) const = default;
};

/// What an exception or mark applies to.
enum class SubjectKind { Workspace, Upstream, Zone, Vm };

/// Returns the field name that selects the kind, such as "workspace".
const char *name(SubjectKind kind);

/// One departure from the defaults, with the reason it exists.
struct Exception
{
    SubjectKind kind = SubjectKind::Workspace;
    std::string subject;
    std::string reason;
    /// Only the fields that the exception sets; the others keep the default.
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

/// Zones that are near one another.
struct Region
{
    std::string name;
    std::vector<std::string> zones;

    bool operator==(const Region &other) const = default;
};

/// The whole published configuration. Two documents of one revision are the same document.
struct Document
{
    std::uint64_t revision = 0;
    WorkspacePolicy workspaceDefaults;
    UpstreamPolicy upstreamDefaults;
    double retryShare = 0.1; ///< Retries allowed for each first try.
    OrderPolicy orders;
    std::vector<Model> models;
    std::vector<Service> services;
    std::vector<Region> regions; ///< Zones of no region are near one another.
    std::vector<Exception> exceptions;
    std::vector<OutOfServiceMark> outOfServiceMarks;

    bool operator==(const Document &other) const = default;
};

/// A value together with where it came from, for `azurespindle configuration`.
template<typename Policy> struct Resolved
{
    Policy policy;
    std::vector<std::string> sources; ///< "defaults", or "exception N: reason".
};

/// Fills a Document from JSON; adds every fault to \a faults.
Document parseDocument(const nlohmann::json &json, json::Faults &faults);

/// Returns the policy in force for a workspace.
Resolved<WorkspacePolicy> workspacePolicy(const Document &document, const std::string &workspace);

/// Returns the policy in force for an upstream in \a zone; an exception for the upstream goes
/// before one for its zone.
Resolved<UpstreamPolicy> upstreamPolicy(const Document &document, const std::string &upstream,
                                        const std::string &zone);

/// Returns the mark that takes \a vm in \a zone out of service, if there is one.
std::optional<OutOfServiceMark> outOfServiceMark(const Document &document, const std::string &vm,
                                                 const std::string &zone);

/// Returns the region of \a zone, or an empty text if it is in none.
std::string regionOf(const Document &document, const std::string &zone);

/// Returns one line for each difference, such as "zone north-1 marked out: maintenance".
std::vector<std::string> differences(const Document &before, const Document &after);

} // namespace azurespindle::configuration

#endif
