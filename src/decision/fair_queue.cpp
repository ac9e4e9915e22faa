#include "decision/fair_queue.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

std::size_t rank(Priority priority)
{
    return static_cast<std::size_t>(Priority::Interactive) - static_cast<std::size_t>(priority);
}

} // namespace

void FairQueue::setPolicies(
    const configuration::WorkspacePolicy &newDefaults,
    const std::vector<std::pair<std::string, configuration::WorkspacePolicy>> &newExceptions)
{
    this->defaults = newDefaults;
    this->exceptions = {newExceptions.begin(), newExceptions.end()};
}

const configuration::WorkspacePolicy &FairQueue::policy(const std::string &workspace) const
{
    const auto found = this->exceptions.find(workspace);
    return found == this->exceptions.end() ? this->defaults : found->second;
}

double FairQueue::counter(const std::string &workspace) const
{
    const auto found = this->workspaces.find(workspace);
    return found == this->workspaces.end() ? 0.0 : found->second.counter;
}

FairQueue::Workspace &FairQueue::findOrAdd(const std::string &name)
{
    const auto found = this->workspaces.find(name);
    if (found != this->workspaces.end()) {
        return found->second;
    }
    if (this->workspaces.size() >= maxWorkspaces) {
        this->evictIdle();
    }
    Workspace &workspace = this->workspaces[name];
    workspace.counter = this->virtualTime;
    return workspace;
}

void FairQueue::evictIdle()
{
    for (auto each = this->workspaces.begin(); each != this->workspaces.end();) {
        const bool idle = each->second.queued == 0;
        each = idle ? this->workspaces.erase(each) : std::next(each);
    }
}

void FairQueue::addToActive(const std::string &name, Workspace &workspace)
{
    if (!this->activeByCounter.empty()) {
        this->virtualTime = std::max(this->virtualTime, this->activeByCounter.begin()->first);
    }
    workspace.counter = std::max(workspace.counter, this->virtualTime);
    this->activeByCounter.emplace(workspace.counter, name);
}

void FairQueue::setCounter(const std::string &name, Workspace &workspace, double counter)
{
    if (workspace.queued > 0) {
        auto [first, last] = this->activeByCounter.equal_range(workspace.counter);
        const auto ownEntry
            = std::find_if(first, last, [&](const auto &entry) { return entry.second == name; });
        this->activeByCounter.erase(ownEntry);
        this->activeByCounter.emplace(counter, name);
    }
    workspace.counter = counter;
}

bool FairQueue::push(const std::string &workspace, const QueuedRequest &request)
{
    if (this->queued >= maxQueued) {
        return false;
    }
    Workspace &state = this->findOrAdd(workspace);
    if (state.queued >= this->policy(workspace).maxQueued) {
        return false;
    }
    if (state.queued == 0) {
        this->addToActive(workspace, state);
    }
    state.queues[rank(request.priority)].push_back(request);
    state.queued += 1;
    this->queued += 1;
    return true;
}

void FairQueue::pushFront(const std::string &workspace, const QueuedRequest &request)
{
    Workspace &state = this->findOrAdd(workspace);
    if (state.queued == 0) {
        this->addToActive(workspace, state);
    }
    state.queues[rank(request.priority)].push_front(request);
    state.queued += 1;
    this->queued += 1;
}

void FairQueue::onRemoved(const std::string &name, Workspace &workspace)
{
    workspace.queued -= 1;
    this->queued -= 1;
    if (workspace.queued > 0) {
        return;
    }
    auto [first, last] = this->activeByCounter.equal_range(workspace.counter);
    const auto ownEntry
        = std::find_if(first, last, [&](const auto &entry) { return entry.second == name; });
    this->virtualTime = std::max(this->virtualTime, this->activeByCounter.begin()->first);
    this->activeByCounter.erase(ownEntry);
}

bool FairQueue::remove(const std::string &workspace, RequestId id)
{
    const auto found = this->workspaces.find(workspace);
    if (found == this->workspaces.end()) {
        return false;
    }
    for (std::list<QueuedRequest> &queue : found->second.queues) {
        const auto position = std::find_if(
            queue.begin(), queue.end(), [&](const QueuedRequest &each) { return each.id == id; });
        if (position != queue.end()) {
            queue.erase(position);
            this->onRemoved(workspace, found->second);
            return true;
        }
    }
    return false;
}

void FairQueue::charge(const std::string &workspace, double tokens)
{
    Workspace &state = this->findOrAdd(workspace);
    const double weighted = tokens / this->policy(workspace).weight;
    this->setCounter(workspace, state, state.counter + weighted);
}

void FairQueue::chargeRemote(const std::vector<RemoteUsage> &remote)
{
    std::vector<std::pair<std::string, double>> charges;
    for (const auto &[counter, name] : this->activeByCounter) {
        for (const RemoteUsage &usage : remote) {
            if (usage.served != 0 && workspaceKey(name) == usage.workspace) {
                charges.emplace_back(name, usage.served);
            }
        }
    }
    for (const auto &[name, tokens] : charges) {
        this->charge(name, tokens);
    }
}

std::vector<WorkspaceUsage> FairQueue::waitingWorkspaces(std::size_t limit) const
{
    std::vector<WorkspaceUsage> waiting;
    for (const auto &[counter, name] : this->activeByCounter) {
        if (waiting.size() >= limit) {
            break;
        }
        const double weight = this->policy(name).weight;
        waiting.push_back({workspaceKey(name), static_cast<float>(weight), true, 0});
    }
    return waiting;
}

std::vector<RequestId> FairQueue::takeExpired(Instant now)
{
    std::vector<RequestId> expired;
    std::vector<std::pair<std::string, RequestId>> found;
    for (const auto &[counter, name] : this->activeByCounter) {
        for (const std::list<QueuedRequest> &queue : this->workspaces.at(name).queues) {
            for (const QueuedRequest &request : queue) {
                if (request.expires <= now) {
                    found.emplace_back(name, request.id);
                }
            }
        }
    }
    for (const auto &[name, id] : found) {
        this->remove(name, id);
        expired.push_back(id);
    }
    std::sort(expired.begin(), expired.end());
    return expired;
}

const QueuedRequest *FairQueue::head(const Workspace &workspace)
{
    for (const std::list<QueuedRequest> &queue : workspace.queues) {
        if (!queue.empty()) {
            return &queue.front();
        }
    }
    return nullptr;
}

std::vector<QueuedRequest> FairQueue::firstRequests(const std::string &workspace,
                                                    std::size_t limit) const
{
    std::vector<QueuedRequest> first;
    const auto found = this->workspaces.find(workspace);
    if (found == this->workspaces.end()) {
        return first;
    }
    for (const std::list<QueuedRequest> &queue : found->second.queues) {
        for (const QueuedRequest &request : queue) {
            if (first.size() >= limit) {
                return first;
            }
            first.push_back(request);
        }
    }
    return first;
}

std::vector<QueuedRequest> FairQueue::headRequests(std::size_t limit) const
{
    std::vector<QueuedRequest> heads;
    for (const auto &[counter, name] : this->activeByCounter) {
        if (heads.size() >= limit) {
            break;
        }
        heads.push_back(*head(this->workspaces.at(name)));
    }
    return heads;
}

} // namespace azurespindle::decision
