// Message handlers of Coordinator.

#include "members/coordinator.h"

#include <utility>

namespace azurespindle::members {

void Coordinator::onHello(const MemberRecord &record)
{
    Records changed;
    MembershipUpdate allRecords;
    {
        const std::lock_guard lock(this->mutex);
        const Instant now = monotonicNow();
        this->peerHeard = true;
        changed = this->membership.merge({record}, now);
        const Records revived = this->membership.markHeard(record.name, record.incarnation, now);
        changed.insert(changed.end(), revived.begin(), revived.end());
        if (!changed.empty()) {
            allRecords = {this->membership.records(), true};
        }
    }
    if (!changed.empty()) {
        this->network.send(record, allRecords);
    }
    Heartbeat own;
    {
        const std::lock_guard lock(this->mutex);
        own = this->heartbeat();
    }
    this->network.send(record, own);
    this->publishChanges(changed);
}

void Coordinator::onMessage(const std::string &from, const Message &message, std::size_t bytes)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        this->handle(from, *heartbeat);
    } else if (const auto *update = std::get_if<MembershipUpdate>(&message)) {
        this->handle(from, *update);
    } else if (const auto *request = std::get_if<DocumentRequest>(&message)) {
        this->handle(from, *request);
    } else if (const auto *response = std::get_if<DocumentResponse>(&message)) {
        this->handle(from, *response);
    } else if (const auto *requests = std::get_if<LeaseRequests>(&message)) {
        this->hooks.onLeaseRequests(from, *requests);
    } else if (const auto *grants = std::get_if<LeaseGrants>(&message)) {
        this->hooks.onLeaseGrants(from, *grants);
    } else if (const auto *crash = std::get_if<CrashReport>(&message)) {
        this->handle(*crash);
    } else if (const auto *blocked = std::get_if<BlockedRequests>(&message)) {
        this->handle(from, *blocked);
    } else if (const auto *permitRequests = std::get_if<PermitRequests>(&message)) {
        this->hooks.onPermitRequests(from, *permitRequests);
    } else if (const auto *permitAnswers = std::get_if<PermitAnswers>(&message)) {
        this->hooks.onPermitAnswers(*permitAnswers);
    } else if (const auto *report = std::get_if<RouterReport>(&message)) {
        if (this->hooks.onRouterReport) {
            this->hooks.onRouterReport(from, *report);
        }
    } else if (const auto *viewRequest = std::get_if<ViewRequest>(&message)) {
        if (this->hooks.onViewRequest) {
            this->hooks.onViewRequest(from, *viewRequest);
        }
    } else if (const auto *changes = std::get_if<ViewChanges>(&message)) {
        if (this->hooks.onViewChanges) {
            this->hooks.onViewChanges(from, *changes, bytes);
        }
    } else if (const auto *zoneReport = std::get_if<ZoneReport>(&message)) {
        if (this->hooks.onZoneReport) {
            this->hooks.onZoneReport(from, *zoneReport);
        }
    } else if (const auto *fleetReport = std::get_if<FleetReport>(&message)) {
        if (this->hooks.onFleetReport) {
            this->hooks.onFleetReport(from, *fleetReport);
        }
    } else if (const auto *viewStatus = std::get_if<ViewStatus>(&message)) {
        if (this->hooks.onViewStatus) {
            this->hooks.onViewStatus(from, *viewStatus);
        }
    } else if (const auto *notice = std::get_if<PlacementNotice>(&message)) {
        if (this->hooks.onPlacementNotice) {
            this->hooks.onPlacementNotice(*notice);
        }
    }
}

void Coordinator::handle(const std::string &from, const Heartbeat &heartbeat)
{
    Records changed;
    std::optional<MemberRecord> sender;
    MembershipUpdate allRecords;
    std::vector<DocumentRequest> requests;
    BlockedRequests blocked;
    bool sendsTable = false;
    {
        const std::lock_guard lock(this->mutex);
        changed = this->membership.markHeard(from, heartbeat.incarnation, monotonicNow());
        sender = this->membership.find(from);
        this->heartbeats.touch(from) = heartbeat;
        if (heartbeat.toNeighbour) {
            this->inboundHeartbeats[from] = monotonicNow();
        } else {
            this->inboundHeartbeats.erase(from);
        }
        if (sender) {
            requests = this->requestsFor(heartbeat);
            blocked.crashes = this->blockedRequestsFor(from, heartbeat);
        }
        const bool differs = heartbeat.membershipDigest != this->membership.digest();
        sendsTable = sender && this->tables.isDue(from, differs);
        if (sendsTable) {
            allRecords = {this->membership.records(), true};
        }
    }
    if (!sender) {
        return;
    }
    for (const DocumentRequest &request : requests) {
        this->network.send(*sender, request);
    }
    if (sendsTable) {
        this->network.send(*sender, allRecords);
    }
    if (!blocked.crashes.empty()) {
        this->network.send(*sender, blocked);
    }
    this->publishChanges(changed);
}

std::vector<PastCrash> Coordinator::blockedRequestsFor(const std::string &from,
                                                       const Heartbeat &heartbeat)
{
    const Instant now = monotonicNow();
    const bool differs = heartbeat.blockedRequestsDigest
        && *heartbeat.blockedRequestsDigest != this->crashLog.digest(now);
    if (!this->blockedRequestsExchange.isDue(from, differs)) {
        return {};
    }
    return this->crashLog.blockedRequests(now);
}

std::vector<DocumentRequest> Coordinator::requestsFor(const Heartbeat &heartbeat)
{
    const Instant now = monotonicNow();
    std::vector<DocumentRequest> requests;
    for (const auto &[kind, revision] :
         {std::pair(DocumentKind::Configuration, heartbeat.configurationRevision),
          std::pair(DocumentKind::VmList, heartbeat.vmListRevision)}) {
        if (const auto request = this->documents.requestFor(kind, revision, now)) {
            requests.push_back(*request);
        }
    }
    return requests;
}

void Coordinator::handle(const std::string &from, const MembershipUpdate &update)
{
    Records changed;
    std::optional<MemberRecord> staleSender;
    MemberRecord own;
    {
        const std::lock_guard lock(this->mutex);
        const std::uint64_t before = this->membership.self().incarnation;
        changed = this->membership.merge(update.records, monotonicNow());
        own = this->membership.self();
        if (own.incarnation != before) {
            staleSender = this->membership.find(from);
        }
    }
    this->publishChanges(changed);
    if (staleSender) {
        // A sender that considered this process dead may not be one of its neighbours, to which the
        // refutation is gossiped.
        this->network.send(*staleSender, MembershipUpdate {{own}, false});
    }
}

void Coordinator::handle(const std::string &from, const DocumentRequest &request)
{
    std::optional<DocumentResponse> response;
    std::optional<MemberRecord> sender;
    {
        const std::lock_guard lock(this->mutex);
        response = this->documents.answer(request);
        sender = this->membership.find(from);
    }
    if (sender && response) {
        this->network.send(*sender, *response);
    }
}

void Coordinator::handle(const std::string &from, const DocumentResponse &response)
{
    std::optional<std::string> text;
    {
        const std::lock_guard lock(this->mutex);
        text = this->documents.textOf(response);
    }
    if (text) {
        this->offer(response.kind, *text, "member " + from);
    }
}

void Coordinator::handle(const CrashReport &crash)
{
    const bool cleared = crash.status == CrashStatus::Cleared;
    const std::string key = (cleared ? "acquitted/" : "suspected/") + crash.source + "/"
        + std::to_string(crash.number) + "/" + std::to_string(crash.fingerprint);
    {
        const std::lock_guard lock(this->mutex);
        if (std::exchange(this->crashReports.touch(key), true)) {
            return;
        }
        this->crashLog.record(crash, seconds(0), monotonicNow());
    }
    this->hooks.onCrashReport(crash, seconds(0));
    this->sendToNeighbours(crash);
}

void Coordinator::handle(const std::string &from, const BlockedRequests &blocked)
{
    std::vector<PastCrash> learned;
    {
        const std::lock_guard lock(this->mutex);
        for (const PastCrash &crash : blocked.crashes) {
            const bool suspects = crash.report.status == CrashStatus::Suspected;
            if (suspects && this->crashLog.record(crash.report, crash.age, monotonicNow())) {
                learned.push_back(crash);
            }
        }
    }
    if (learned.empty()) {
        return;
    }
    this->journal.record({journal::EventId::BlockedRequestsLearned,
                          {{"member", from}, {"crashes", std::to_string(learned.size())}}});
    for (const PastCrash &crash : learned) {
        this->hooks.onCrashReport(crash.report, crash.age);
    }
}

void Coordinator::broadcastCrash(const CrashReport &crash)
{
    this->handle(crash);
}

void Coordinator::send(const std::string &member, const Message &message)
{
    const auto record = this->find(member);
    if (record) {
        this->network.send(*record, message);
    }
}

void Coordinator::sendToAll(const std::vector<std::string> &members, const Message &message)
{
    std::vector<MemberRecord> known;
    {
        const std::lock_guard lock(this->mutex);
        for (const std::string &member : members) {
            if (const auto record = this->membership.find(member)) {
                known.push_back(*record);
            }
        }
    }
    this->network.sendToAll(std::move(known), message);
}

} // namespace azurespindle::members
