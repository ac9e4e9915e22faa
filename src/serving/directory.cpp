#include "serving/directory.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace azurespindle::serving {
namespace {

decision::Condition conditionOf(const configuration::Document &document,
                                const configuration::Vm &vm)
{
    if (configuration::outOfServiceMark(document, vm.name, vm.zone)) {
        return decision::Condition::Out;
    }
    return vm.state == configuration::VmState::Leaving ? decision::Condition::Leaving
                                                       : decision::Condition::Serving;
}

} // namespace

std::size_t Directory::upstreamsPerPool() const
{
    const std::size_t pools = std::max<std::size_t>(1, this->configuration.models.size());
    return std::max<std::size_t>(minUpstreamsPerPool, targetUpstreamsPerProcess / pools);
}

decision::UpstreamsListed rendezvousSubset(const decision::UpstreamsListed &listing,
                                           const std::string &process, std::size_t limit,
                                           const IsSameRegion &isSameRegion)
{
    using Ranked = std::pair<std::uint64_t, const decision::ListedUpstream *>;
    decision::UpstreamsListed selected;
    std::vector<Ranked> sameRegion;
    std::vector<Ranked> otherRegions;
    for (const decision::ListedUpstream &each : listing.upstreams) {
        if (each.condition != decision::Condition::Serving) {
            selected.upstreams.push_back(each);
            continue;
        }
        const std::string key = process + "\n" + each.name;
        (isSameRegion(each.zone) ? sameRegion : otherRegions)
            .emplace_back(XXH3_64bits(key.data(), key.size()), &each);
    }
    std::sort(sameRegion.begin(), sameRegion.end());
    std::sort(otherRegions.begin(), otherRegions.end());
    sameRegion.resize(std::min(limit, sameRegion.size()));
    const std::size_t minimum = std::min(limit, minUpstreamsPerPool);
    for (std::size_t rank = 0; rank < otherRegions.size() && sameRegion.size() < minimum; ++rank) {
        sameRegion.push_back(otherRegions[rank]);
    }
    for (const auto &[hash, upstream] : sameRegion) {
        selected.upstreams.push_back(*upstream);
    }
    return selected;
}

decision::UpstreamsListed Directory::subsetFor(const std::string &process, const std::string &zone,
                                               const std::string &pool) const
{
    const std::string region = configuration::regionOf(this->configuration, zone);
    return rendezvousSubset(
        this->listing(pool), process, this->upstreamsPerPool(), [&](const std::string &other) {
            return configuration::regionOf(this->configuration, other) == region;
        });
}

std::string servicePoolName(const std::string &service)
{
    return "service:" + service;
}

Directory buildDirectory(const configuration::Document &document,
                         const configuration::VmList &vmList)
{
    Directory directory;
    directory.configuration = document;
    directory.vmList = vmList;
    for (const configuration::Model &model : document.models) {
        directory.pools[model.name];
    }
    for (const configuration::Service &service : document.services) {
        directory.pools[servicePoolName(service.name)];
    }
    for (const configuration::Vm &vm : vmList.vms) {
        if (vm.role == configuration::VmRole::Entry) {
            continue;
        }
        const bool engine = vm.role == configuration::VmRole::Engine;
        const auto policy = configuration::upstreamPolicy(document, vm.name, vm.zone).policy;
        const std::string model = policy.model.empty() ? vm.serves : policy.model;
        const auto pool = directory.pools.find(engine ? model : servicePoolName(vm.serves));
        if (pool == directory.pools.end()) {
            continue;
        }
        DirectoryEntry entry;
        entry.listed = {vm.name, vm.zone, conditionOf(document, vm), policy};
        entry.address = vm.address;
        entry.pool = pool->first;
        entry.engine = engine;
        pool->second.push_back(entry);
        directory.upstreams[vm.name] = entry;
    }
    return directory;
}

decision::UpstreamsListed Directory::listing(const std::string &pool) const
{
    decision::UpstreamsListed listing;
    const auto found = this->pools.find(pool);
    if (found != this->pools.end()) {
        for (const DirectoryEntry &entry : found->second) {
            listing.upstreams.push_back(entry.listed);
        }
    }
    return listing;
}

decision::PoliciesChanged Directory::policies() const
{
    decision::PoliciesChanged event;
    event.defaults = this->configuration.workspaceDefaults;
    event.retryShare = this->configuration.retryShare;
    for (const configuration::Exception &exception : this->configuration.exceptions) {
        if (exception.kind != configuration::SubjectKind::Workspace) {
            continue;
        }
        const std::string &workspace = exception.subject;
        event.exceptions.emplace_back(
            workspace, configuration::workspacePolicy(this->configuration, workspace).policy);
    }
    return event;
}

decision::DesiredImage Directory::desiredImage(const DirectoryEntry &entry) const
{
    const configuration::UpstreamPolicy &policy = entry.listed.policy;
    decision::DesiredImage desired;
    desired.upstream = entry.listed.name;
    desired.pool = entry.pool;
    desired.revision = this->configuration.revision;
    desired.honoursFencing = policy.honoursFencing;
    desired.image.model = policy.model;
    desired.image.version = policy.version;
    desired.image.role = policy.role;
    for (const configuration::Model &model : this->configuration.models) {
        if (model.name != entry.pool) {
            continue;
        }
        desired.image.version = policy.version.empty() ? model.version : policy.version;
        desired.image.adapters = model.adapters;
    }
    return desired;
}

std::size_t Directory::engineCount() const
{
    const auto counted = std::count_if(this->upstreams.begin(), this->upstreams.end(),
                                       [](const auto &each) { return each.second.engine; });
    return static_cast<std::size_t>(counted);
}

std::optional<configuration::Service> Directory::service(const std::string &name) const
{
    for (const configuration::Service &service : this->configuration.services) {
        if (service.name == name) {
            return service;
        }
    }
    return std::nullopt;
}

std::string Directory::unavailableReason(const std::string &name, const std::string &zone) const
{
    const auto mark = configuration::outOfServiceMark(this->configuration, name, zone);
    if (mark) {
        return std::string(configuration::name(mark->kind)) + " " + mark->subject
            + " is marked out: " + mark->reason;
    }
    for (const configuration::Vm &vm : this->vmList.vms) {
        if (vm.name == name && vm.state == configuration::VmState::Leaving) {
            return "VM " + name + " is leaving";
        }
    }
    return {};
}

} // namespace azurespindle::serving
