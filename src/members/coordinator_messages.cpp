// The part of Coordinator that takes in what other members say.

#include "members/coordinator.h"

#include <utility>

namespace azurespindle::members {

void Coordinator::onHello(const MemberRecord &record)
{
    News news;
    MembershipUpdate complete;
    {
        const std::lock_guard lock(this->mutex);
        const Instant now = monotonicNow();
        this->peerHeard = true;
        news = this->membership.merge({record}, now);
        const News heard = this->membership.markHeard(record.name, record.incarnation, now);
        news.insert(news.end(), heard.begin(), heard.end());
        complete = {this->membership.records(), true};
    }
    if (!news.empty()) {
        this->network.send(record, complete);
    }
    Heartbeat own;
    {
        const std::lock_guard lock(this->mutex);
        own = this->heartbeat();
    }
    this->network.send(record, own);
    this->afterChange(news);
}

void Coordinator::onMessage(const std::string &from, const Message &message)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        this->handle(from, *heartbeat);
    } else if (const auto *news = std::get_if<MembershipUpdate>(&message)) {
        this->handle(from, *news);
    } else if (const auto *wanted = std::get_if<DocumentRequest>(&message)) {
        this->handle(from, *wanted);
    } else if (const auto *body = std::get_if<DocumentResponse>(&message)) {
        this->handle(from, *body);
    } else if (const auto *requests = std::get_if<LeaseRequests>(&message)) {
        this->hooks.onLeaseRequests(from, *requests);
    } else if (const auto *grants = std::get_if<LeaseGrants>(&message)) {
        this->hooks.onLeaseGrants(from, *grants);
    } else if (const auto *note = std::get_if<CrashReport>(&message)) {
        this->handle(*note);
    } else if (const auto *permits = std::get_if<PermitRequests>(&message)) {
        this->hooks.onPermitRequests(from, *permits);
    } else if (const auto *answers = std::get_if<PermitAnswers>(&message)) {
        this->hooks.onPermitAnswers(*answers);
    } else if (const auto *report = std::get_if<RouterReport>(&message)) {
        if (this->hooks.onRouterReport) {
            this->hooks.onRouterReport(from, *report);
        }
    } else if (const auto *view = std::get_if<ViewRequest>(&message)) {
        if (this->hooks.onViewRequest) {
            this->hooks.onViewRequest(from, *view);
        }
    } else if (const auto *published = std::get_if<ViewChanges>(&message)) {
        if (this->hooks.onViewChanges) {
            this->hooks.onViewChanges(*published);
        }
    } else if (const auto *zone = std::get_if<ZoneReport>(&message)) {
        if (this->hooks.onZoneReport) {
            this->hooks.onZoneReport(from, *zone);
        }
    }
}

void Coordinator::handle(const std::string &from, const Heartbeat &heartbeat)
{
    News news;
    std::optional<MemberRecord> sender;
    MembershipUpdate complete;
    bool wantsConfiguration = false;
    bool wantsVmList = false;
    bool differs = false;
    {
        const std::lock_guard lock(this->mutex);
        news = this->membership.markHeard(from, heartbeat.incarnation, monotonicNow());
        sender = this->membership.find(from);
        this->heartbeats.touch(from) = heartbeat;
        if (heartbeat.chosen) {
            this->chosenBy[from] = monotonicNow();
        } else {
            this->chosenBy.erase(from);
        }
        wantsConfiguration = heartbeat.configurationRevision
            > this->documents.revision(DocumentKind::Configuration);
        wantsVmList = heartbeat.vmListRevision > this->documents.revision(DocumentKind::VmList);
        differs = heartbeat.membershipDigest != this->membership.digest();
        complete = {this->membership.records(), true};
    }
    if (!sender) {
        return;
    }
    if (wantsConfiguration) {
        this->network.send(*sender, DocumentRequest {DocumentKind::Configuration});
    }
    if (wantsVmList) {
        this->network.send(*sender, DocumentRequest {DocumentKind::VmList});
    }
    if (differs) {
        this->network.send(*sender, complete);
    }
    this->afterChange(news);
}

void Coordinator::handle(const std::string &from, const MembershipUpdate &received)
{
    News news;
    std::optional<MemberRecord> accuser;
    MemberRecord own;
    {
        const std::lock_guard lock(this->mutex);
        const std::uint64_t before = this->membership.self().incarnation;
        news = this->membership.merge(received.records, monotonicNow());
        own = this->membership.self();
        if (own.incarnation != before) {
            accuser = this->membership.find(from);
        }
    }
    this->afterChange(news);
    if (accuser) {
        // Who held this process for dead is not among its neighbours, which hear of it anyway.
        this->network.send(*accuser, MembershipUpdate {{own}, false});
    }
}

void Coordinator::handle(const std::string &from, const DocumentRequest &wanted)
{
    std::string text;
    std::optional<MemberRecord> sender;
    {
        const std::lock_guard lock(this->mutex);
        text = this->documents.text(wanted.kind);
        sender = this->membership.find(from);
    }
    if (sender && !text.empty()) {
        this->network.send(*sender, DocumentResponse {wanted.kind, text});
    }
}

void Coordinator::handle(const std::string &from, const DocumentResponse &body)
{
    this->offer(body.kind, body.text, "member " + from);
}

void Coordinator::handle(const CrashReport &note)
{
    const bool acquitted = note.status == CrashStatus::Cleared;
    const std::string key = (acquitted ? "acquitted/" : "suspected/") + note.source + "/"
        + std::to_string(note.number) + "/" + std::to_string(note.fingerprint);
    {
        const std::lock_guard lock(this->mutex);
        if (std::exchange(this->crashReports.touch(key), true)) {
            return;
        }
    }
    this->hooks.onCrashReport(note);
    this->tellNeighbours(note);
}

void Coordinator::broadcastCrash(const CrashReport &note)
{
    this->handle(note);
}

void Coordinator::send(const std::string &member, const Message &message)
{
    const auto record = this->find(member);
    if (record) {
        this->network.send(*record, message);
    }
}

} // namespace azurespindle::members
