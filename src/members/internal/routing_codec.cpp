// Encoding of the messages between routers.

#include "members/internal/frame_codec.h"

#include <cmath>

namespace azurespindle::members::internal {
namespace {

constexpr std::uint32_t fieldsPerStep = 3;

/// Unpacks sums of speeds, of which there are never more than upstreams that speeds are kept of.
void unpackSpeeds(const Object &from, std::vector<decision::SpeedSum> &sums)
{
    if (ArrayReader(from).size() > decision::UpstreamSpeeds::maxUpstreams) {
        throw msgpack::type_error();
    }
    unpackList(from, sums);
}

/// Returns the era of the store, which is last in a message and absent in those of older members.
std::uint64_t readEra(ArrayReader &in)
{
    return in.atEnd() ? 0 : in.as<std::uint64_t>();
}

/// Sets the era of all revisions in an update, which is transmitted once.
void setEra(routing::ViewUpdate &update, std::uint64_t era)
{
    update.sinceRevision.era = era;
    update.revision.era = era;
    for (routing::PublishedItem &item : update.items) {
        item.revision.era = era;
        if (item.delta) {
            item.delta->baseRevision.era = era;
        }
    }
}

} // namespace

void write(Packer &out, const decision::UpstreamClaim &claim)
{
    out.pack_array(4);
    out.pack(claim.upstream);
    out.pack(claim.claim.attempts);
    out.pack(claim.claim.memory);
    out.pack(claim.claim.prefill);
}

void read(const Object &from, decision::UpstreamClaim &claim)
{
    ArrayReader in(from);
    claim.upstream = in.as<std::string>();
    claim.claim.attempts = in.as<std::uint32_t>();
    claim.claim.memory = in.as<decision::Tokens>();
    claim.claim.prefill = in.as<decision::Tokens>();
}

void write(Packer &out, const decision::RequestCounts &count)
{
    out.pack_array(3);
    out.pack(count.service);
    out.pack(count.requests);
    out.pack(count.resends);
}

void read(const Object &from, decision::RequestCounts &count)
{
    ArrayReader in(from);
    count.service = in.as<std::string>();
    count.requests = in.as<std::uint32_t>();
    count.resends = in.as<std::uint32_t>();
}

void write(Packer &out, const TextDelta &delta)
{
    out.pack_array(5);
    out.pack(delta.baseHash);
    out.pack(delta.resultHash);
    out.pack(delta.resultBytes);
    out.pack_array(static_cast<std::uint32_t>(delta.steps.size()) * fieldsPerStep);
    for (const DeltaStep &step : delta.steps) {
        out.pack(step.copyFrom);
        out.pack(step.copyLength);
        out.pack(step.insertLength);
    }
    out.pack(delta.inserted);
}

void read(const Object &from, TextDelta &delta)
{
    ArrayReader in(from);
    delta.baseHash = in.as<std::uint64_t>();
    delta.resultHash = in.as<std::uint64_t>();
    delta.resultBytes = in.as<std::uint32_t>();
    ArrayReader steps(in.next());
    while (!steps.atEnd()) {
        DeltaStep step;
        step.copyFrom = steps.as<std::uint32_t>();
        step.copyLength = steps.as<std::uint32_t>();
        step.insertLength = steps.as<std::uint32_t>();
        delta.steps.push_back(step);
    }
    delta.inserted = in.as<std::string>();
}

void write(Packer &out, const routing::PublishedItem &item)
{
    out.pack_array(item.delta ? 6 : 4);
    out.pack(item.key);
    out.pack(item.value);
    out.pack(item.revision.number);
    out.pack(item.deleted);
    if (item.delta) {
        out.pack(item.delta->baseRevision.number);
        write(out, item.delta->text);
    }
}

void read(const Object &from, routing::PublishedItem &item)
{
    ArrayReader in(from);
    item.key = in.as<std::string>();
    item.value = in.as<std::string>();
    item.revision = in.as<std::uint64_t>();
    item.deleted = in.as<bool>();
    if (!in.atEnd()) {
        item.delta.emplace();
        item.delta->baseRevision = in.as<std::uint64_t>();
        read(in.next(), item.delta->text);
    }
}

void write(Packer &out, const routing::UpstreamObservation &observation)
{
    out.pack_array(4);
    out.pack(observation.upstream);
    out.pack(observation.incarnation);
    out.pack(static_cast<std::uint8_t>(observation.kind));
    out.pack(observation.timeUntilExit.count());
}

void read(const Object &from, routing::UpstreamObservation &observation)
{
    ArrayReader in(from);
    observation.upstream = in.as<std::string>();
    observation.incarnation = in.as<std::uint64_t>();
    observation.kind = in.enumeration<routing::UpstreamObservation::Kind>(
        routing::UpstreamObservation::Kind::Leaving);
    observation.timeUntilExit = milliseconds(in.as<std::int64_t>());
}

void write(Packer &out, const decision::PartCrashes &blocked)
{
    out.pack_array(2);
    out.pack(blocked.part);
    out.pack(blocked.crashes);
}

void read(const Object &from, decision::PartCrashes &blocked)
{
    ArrayReader in(from);
    blocked.part = in.as<decision::PromptPartId>();
    blocked.crashes = in.as<std::vector<decision::CrashId>>();
}

void write(Packer &out, const decision::NamedLimit &limit)
{
    out.pack_array(limit.requestsPerSecond ? 4 : 3);
    out.pack(limit.upstream);
    out.pack(limit.incarnation);
    out.pack(limit.age.count());
    if (limit.requestsPerSecond) {
        out.pack(*limit.requestsPerSecond);
    }
}

void read(const Object &from, decision::NamedLimit &limit)
{
    ArrayReader in(from);
    limit.upstream = in.as<std::string>();
    limit.incarnation = in.as<std::uint64_t>();
    limit.age = milliseconds(in.as<std::uint32_t>());
    if (!in.atEnd()) {
        limit.requestsPerSecond = in.as<double>();
        if (!std::isfinite(*limit.requestsPerSecond) || *limit.requestsPerSecond < 0.0) {
            throw msgpack::type_error();
        }
    }
}

void write(Packer &out, const decision::SpeedSum &sum)
{
    out.pack_array(3);
    out.pack(sum.key);
    out.pack(sum.weight);
    out.pack(sum.logDuration);
}

void read(const Object &from, decision::SpeedSum &sum)
{
    ArrayReader in(from);
    sum.key = in.as<decision::SpeedKey>();
    sum.weight = in.as<std::uint32_t>();
    sum.logDuration = in.as<std::uint32_t>();
}

void write(Packer &out, const RouterReport &report)
{
    out.pack_array(11);
    out.pack(report.complete);
    out.pack(report.viewRevision.number);
    out.pack(report.readsStore);
    packList(out, report.claims);
    packList(out, report.requestCounts);
    packList(out, report.observations);
    packList(out, report.blockedParts);
    packList(out, report.limits);
    out.pack(report.sequence);
    packList(out, report.speeds);
    out.pack(report.viewRevision.era);
}

void read(const Object &from, RouterReport &report)
{
    ArrayReader in(from);
    report.complete = in.as<bool>();
    report.viewRevision = in.as<std::uint64_t>();
    report.readsStore = in.as<bool>();
    unpackList(in.next(), report.claims);
    unpackList(in.next(), report.requestCounts);
    unpackList(in.next(), report.observations);
    unpackList(in.next(), report.blockedParts);
    unpackList(in.next(), report.limits);
    report.sequence = in.as<std::uint64_t>();
    unpackSpeeds(in.next(), report.speeds);
    report.viewRevision.era = readEra(in);
}

void write(Packer &out, const ZoneReport &report)
{
    out.pack_array(9);
    out.pack(report.zone);
    out.pack(report.complete);
    out.pack(report.processCount);
    packList(out, report.claims);
    packList(out, report.requestCounts);
    packList(out, report.blockedParts);
    packList(out, report.limits);
    packList(out, report.observations);
    packList(out, report.speeds);
}

void read(const Object &from, ZoneReport &report)
{
    ArrayReader in(from);
    report.zone = in.as<std::string>();
    report.complete = in.as<bool>();
    report.processCount = in.as<std::uint32_t>();
    unpackList(in.next(), report.claims);
    unpackList(in.next(), report.requestCounts);
    unpackList(in.next(), report.blockedParts);
    unpackList(in.next(), report.limits);
    unpackList(in.next(), report.observations);
    unpackSpeeds(in.next(), report.speeds);
}

void write(Packer &out, const FleetReport &report)
{
    out.pack_array(13);
    out.pack(report.complete);
    out.pack(report.acknowledged);
    out.pack(report.processCount);
    out.pack(report.viewRevision.number);
    out.pack(report.readsStore);
    packList(out, report.claims);
    packList(out, report.requestCounts);
    packList(out, report.observations);
    packList(out, report.blockedParts);
    packList(out, report.limits);
    out.pack(report.silentZones);
    packList(out, report.speeds);
    out.pack(report.viewRevision.era);
}

void read(const Object &from, FleetReport &report)
{
    ArrayReader in(from);
    report.complete = in.as<bool>();
    report.acknowledged = in.as<std::uint64_t>();
    report.processCount = in.as<std::uint32_t>();
    report.viewRevision = in.as<std::uint64_t>();
    report.readsStore = in.as<bool>();
    unpackList(in.next(), report.claims);
    unpackList(in.next(), report.requestCounts);
    unpackList(in.next(), report.observations);
    unpackList(in.next(), report.blockedParts);
    unpackList(in.next(), report.limits);
    report.silentZones = in.as<std::vector<std::string>>();
    unpackSpeeds(in.next(), report.speeds);
    report.viewRevision.era = readEra(in);
}

void write(Packer &out, const PlacementNotice &notice)
{
    out.pack_array(1);
    packList(out, notice.claims);
}

void read(const Object &from, PlacementNotice &notice)
{
    ArrayReader in(from);
    unpackList(in.next(), notice.claims);
}

void write(Packer &out, const ViewStatus &status)
{
    out.pack_array(3);
    out.pack(status.revision.number);
    out.pack(status.readsStore);
    out.pack(status.revision.era);
}

void read(const Object &from, ViewStatus &status)
{
    ArrayReader in(from);
    status.revision = in.as<std::uint64_t>();
    status.readsStore = in.as<bool>();
    status.revision.era = readEra(in);
}

void write(Packer &out, const ViewRequest &request)
{
    out.pack_array(2);
    out.pack(request.after.number);
    out.pack(request.after.era);
}

void read(const Object &from, ViewRequest &request)
{
    ArrayReader in(from);
    request.after = in.as<std::uint64_t>();
    request.after.era = readEra(in);
}

void write(Packer &out, const ViewChanges &changes)
{
    out.pack_array(6);
    out.pack(changes.update.isSnapshot);
    out.pack(changes.update.sinceRevision.number);
    out.pack(changes.update.revision.number);
    packCompactList(out, changes.update.items);
    out.pack(changes.update.revision.era);
}

void read(const Object &from, ViewChanges &changes)
{
    ArrayReader in(from);
    changes.update.isSnapshot = in.as<bool>();
    changes.update.sinceRevision = in.as<std::uint64_t>();
    changes.update.revision = in.as<std::uint64_t>();
    unpackCompactList(in, changes.update.items);
    setEra(changes.update, readEra(in));
}

} // namespace azurespindle::members::internal
