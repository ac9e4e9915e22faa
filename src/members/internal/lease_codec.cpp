// Encoding of the messages about leases and permits.

#include "members/internal/frame_codec.h"

#include <cmath>

namespace azurespindle::members::internal {

void write(Packer &out, const decision::UpstreamObservations &evidence)
{
    out.pack_array(6);
    out.pack(evidence.firstTokensInTime);
    out.pack(evidence.firstTokensLate);
    out.pack(evidence.gapsInTime);
    out.pack(evidence.gapsLate);
    out.pack(evidence.failures);
    out.pack(evidence.peakOutstanding);
}

void read(const Object &from, decision::UpstreamObservations &evidence)
{
    ArrayReader in(from);
    evidence.firstTokensInTime = in.as<std::uint32_t>();
    evidence.firstTokensLate = in.as<std::uint32_t>();
    evidence.gapsInTime = in.as<std::uint32_t>();
    evidence.gapsLate = in.as<std::uint32_t>();
    evidence.failures = in.as<std::uint32_t>();
    evidence.peakOutstanding = in.as<std::uint32_t>();
}

void write(Packer &out, const decision::LeaseRequest &request)
{
    out.pack_array(6);
    out.pack(request.holder);
    out.pack(request.upstream);
    out.pack(request.inUse);
    out.pack(request.wanted);
    write(out, request.observations);
    packList(out, request.workspaces);
}

void read(const Object &from, decision::LeaseRequest &request)
{
    ArrayReader in(from);
    request.holder = in.as<std::string>();
    request.upstream = in.as<std::string>();
    request.inUse = in.as<std::uint32_t>();
    request.wanted = in.as<std::uint32_t>();
    read(in.next(), request.observations);
    unpackList(in.next(), request.workspaces);
}

void write(Packer &out, const decision::WorkspaceUsage &usage)
{
    out.pack_array(4);
    out.pack(usage.workspace);
    out.pack(usage.weight);
    out.pack(usage.queued);
    out.pack(usage.served);
}

void read(const Object &from, decision::WorkspaceUsage &usage)
{
    ArrayReader in(from);
    usage.workspace = in.as<decision::WorkspaceKey>();
    usage.weight = in.as<float>();
    usage.queued = in.as<bool>();
    usage.served = in.as<std::int32_t>();
    if (!std::isfinite(usage.weight) || usage.weight < 0.0F) {
        throw msgpack::type_error();
    }
}

void write(Packer &out, const decision::RemoteUsage &usage)
{
    out.pack_array(2);
    out.pack(usage.workspace);
    out.pack(usage.served);
}

void read(const Object &from, decision::RemoteUsage &usage)
{
    ArrayReader in(from);
    usage.workspace = in.as<decision::WorkspaceKey>();
    usage.served = in.as<std::int32_t>();
}

void write(Packer &out, const LeaseRequests &requests)
{
    packList(out, requests.requests);
}

void read(const Object &from, LeaseRequests &requests)
{
    unpackList(from, requests.requests);
}

void write(Packer &out, const decision::EngineReport &report)
{
    out.pack_array(6);
    out.pack(report.boot);
    out.pack(report.memoryTokens);
    out.pack(report.memoryUsed);
    out.pack(report.running);
    out.pack(report.waiting);
    out.pack(report.preemptions);
}

void read(const Object &from, decision::EngineReport &report)
{
    ArrayReader in(from);
    report.boot = in.as<std::uint64_t>();
    report.memoryTokens = in.as<decision::Tokens>();
    report.memoryUsed = in.as<decision::Tokens>();
    report.running = in.as<std::uint32_t>();
    report.waiting = in.as<std::uint32_t>();
    report.preemptions = in.as<std::uint64_t>();
}

void write(Packer &out, const GrantWithReport &granted)
{
    const decision::LeaseGrant &grant = granted.grant;
    out.pack_array(10);
    out.pack(grant.upstream);
    out.pack(grant.concurrency);
    out.pack(grant.memoryShare);
    out.pack(static_cast<std::uint32_t>(grant.duration.count()));
    out.pack(grant.standalone);
    out.pack(static_cast<std::uint32_t>(grant.standaloneDuration.count()));
    out.pack(granted.hasReport);
    write(out, granted.report);
    out.pack(grant.contended);
    packList(out, grant.remoteUsage);
}

void read(const Object &from, GrantWithReport &granted)
{
    ArrayReader in(from);
    granted.grant.upstream = in.as<std::string>();
    granted.grant.concurrency = in.as<std::uint32_t>();
    granted.grant.memoryShare = in.as<double>();
    granted.grant.duration = milliseconds(in.as<std::uint32_t>());
    granted.grant.standalone = in.as<std::uint32_t>();
    granted.grant.standaloneDuration = milliseconds(in.as<std::uint32_t>());
    granted.hasReport = in.as<bool>();
    read(in.next(), granted.report);
    granted.grant.contended = in.as<bool>();
    unpackList(in.next(), granted.grant.remoteUsage);
}

void write(Packer &out, const LeaseGrants &grants)
{
    packList(out, grants.grants);
}

void read(const Object &from, LeaseGrants &grants)
{
    unpackList(from, grants.grants);
}

void write(Packer &out, const decision::PermitRequest &request)
{
    out.pack_array(7);
    out.pack(request.requester);
    out.pack(request.pool);
    out.pack(request.upstream);
    out.pack(request.revision);
    out.pack(static_cast<std::uint8_t>(request.phase));
    out.pack(request.ready);
    out.pack(request.warm);
}

void read(const Object &from, decision::PermitRequest &request)
{
    ArrayReader in(from);
    request.requester = in.as<std::string>();
    request.pool = in.as<std::string>();
    request.upstream = in.as<std::string>();
    request.revision = in.as<std::uint64_t>();
    request.phase = in.enumeration<decision::OrderPhase>(decision::OrderPhase::Loading);
    request.ready = in.as<bool>();
    request.warm = in.as<bool>();
}

void write(Packer &out, const PermitRequests &requests)
{
    packList(out, requests.requests);
}

void read(const Object &from, PermitRequests &requests)
{
    unpackList(from, requests.requests);
}

void write(Packer &out, const decision::PermitAnswer &answer)
{
    out.pack_array(6);
    out.pack(answer.upstream);
    out.pack(answer.revision);
    out.pack(answer.granted);
    out.pack(answer.rolloutActive);
    out.pack(static_cast<std::uint32_t>(answer.duration.count()));
    out.pack(answer.reason);
}

void read(const Object &from, decision::PermitAnswer &answer)
{
    ArrayReader in(from);
    answer.upstream = in.as<std::string>();
    answer.revision = in.as<std::uint64_t>();
    answer.granted = in.as<bool>();
    answer.rolloutActive = in.as<bool>();
    answer.duration = milliseconds(in.as<std::uint32_t>());
    answer.reason = in.as<std::string>();
}

void write(Packer &out, const PermitAnswers &answers)
{
    packList(out, answers.answers);
}

void read(const Object &from, PermitAnswers &answers)
{
    unpackList(from, answers.answers);
}

} // namespace azurespindle::members::internal
