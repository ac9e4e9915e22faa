#include "decision/request_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace azurespindle::decision {
namespace {

bool isBefore(const WaitingRequest &first, const WaitingRequest &second)
{
    return std::tie(first.priority, first.isBehind, first.arrivedAt)
        < std::tie(second.priority, second.isBehind, second.arrivedAt);
}

/// Returns true if \a later has to wait for its turn while \a earlier, of the same service, waits.
bool holdsBack(const WaitingRequest &earlier, const WaitingRequest &later)
{
    const bool needsLess = static_cast<double>(later.memory)
        < RequestQueue::smallerShare * static_cast<double>(earlier.memory);
    return earlier.overtaken >= RequestQueue::maxOvertakes
        || (earlier.constraints == later.constraints && !needsLess);
}

} // namespace

void RequestQueue::add(WaitingRequest request)
{
    request.isBehind = request.memory > 0 && this->workspacesBehind.count(request.workspace) > 0;
    const auto place
        = std::upper_bound(this->requests.begin(), this->requests.end(), request, isBefore);
    this->requests.insert(place, std::move(request));
}

void RequestQueue::remove(RequestId id)
{
    std::erase_if(this->requests, [id](const WaitingRequest &each) { return each.id == id; });
}

void RequestQueue::recordOvertake(RequestId id)
{
    for (WaitingRequest &each : this->requests) {
        each.overtaken += each.id == id ? 1 : 0;
    }
}

void RequestQueue::setWorkspacesBehind(std::set<std::string> workspaces)
{
    if (workspaces == this->workspacesBehind) {
        return;
    }
    this->workspacesBehind = std::move(workspaces);
    for (WaitingRequest &each : this->requests) {
        each.isBehind = each.memory > 0 && this->workspacesBehind.count(each.workspace) > 0;
    }
    std::stable_sort(this->requests.begin(), this->requests.end(), isBefore);
}

std::vector<RequestId> RequestQueue::ids() const
{
    std::vector<RequestId> ids;
    ids.reserve(this->requests.size());
    for (const WaitingRequest &each : this->requests) {
        ids.push_back(each.id);
    }
    return ids;
}

const WaitingRequest *RequestQueue::find(RequestId id) const
{
    const auto found = std::find_if(this->requests.begin(), this->requests.end(),
                                    [id](const WaitingRequest &each) { return each.id == id; });
    return found == this->requests.end() ? nullptr : &*found;
}

bool RequestQueue::mustWaitBehindOthers(RequestId id) const
{
    const WaitingRequest *request = this->find(id);
    return std::any_of(this->requests.data(), request, [&](const WaitingRequest &each) {
        return each.service == request->service && holdsBack(each, *request);
    });
}

std::vector<RequestId> RequestQueue::idsBefore(RequestId id) const
{
    std::vector<RequestId> ids;
    const WaitingRequest *request = this->find(id);
    for (const WaitingRequest *each = this->requests.data(); each != request; ++each) {
        if (each->service == request->service) {
            ids.push_back(each->id);
        }
    }
    return ids;
}

std::vector<RequestId> QueuePass::passedOver(const std::string &service) const
{
    std::vector<RequestId> ids;
    for (const WaitingRequest &each : this->misses) {
        if (each.service == service) {
            ids.push_back(each.id);
        }
    }
    return ids;
}

bool QueuePass::mayTry(const WaitingRequest &request) const
{
    std::size_t missed = 0;
    for (const WaitingRequest &each : this->misses) {
        if (each.service == request.service) {
            missed += 1;
            const WaitingRequest *current = this->queue.find(each.id);
            if (missed == maxMisses || holdsBack(current == nullptr ? each : *current, request)) {
                return false;
            }
        }
    }
    return true;
}

} // namespace azurespindle::decision
