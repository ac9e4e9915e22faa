#include "members/messages.h"

#include <msgpack.hpp>

#include <cmath>
#include <zlib.h>

namespace azurespindle::members {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;
using Object = msgpack::object;

constexpr std::size_t maxArrayElements = 100'000;
constexpr std::size_t maxDepth = 16;
/// Largest document, uncompressed: a larger one is refused before it is unpacked whole.
constexpr std::size_t maxDocumentBytes = 1'048'576;

/// Reads the elements of a msgpack array one after the other; any misfit throws type_error.
class ArrayReader
{
public:
    explicit ArrayReader(const Object &object)
    {
        if (object.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
        this->array = object.via.array;
    }

    const Object &next()
    {
        if (this->position >= this->array.size) {
            throw msgpack::type_error();
        }
        return this->array.ptr[this->position++];
    }

    template<typename Value> Value as() { return this->next().as<Value>(); }

    /// Returns the next element as an enumeration whose last value is \a last.
    template<typename Enumeration> Enumeration enumeration(Enumeration last)
    {
        const auto number = this->as<std::uint8_t>();
        if (number > static_cast<std::uint8_t>(last)) {
            throw msgpack::type_error();
        }
        return static_cast<Enumeration>(number);
    }

    std::uint32_t size() const { return this->array.size; }

private:
    msgpack::object_array array {};
    std::uint32_t position = 0;
};

void write(Packer &out, const decision::LeaseRequest &request);
void read(const Object &from, decision::LeaseRequest &request);
void write(Packer &out, const GrantWithReport &granted);
void read(const Object &from, GrantWithReport &granted);
void write(Packer &out, const decision::WorkspaceUse &use);
void read(const Object &from, decision::WorkspaceUse &use);
void write(Packer &out, const decision::ForeignService &service);
void read(const Object &from, decision::ForeignService &service);
void write(Packer &out, const decision::PermitRequest &request);
void read(const Object &from, decision::PermitRequest &request);
void write(Packer &out, const decision::PermitAnswer &answer);
void read(const Object &from, decision::PermitAnswer &answer);

// Each type has write and read side by side, with its fields in the same order.

void write(Packer &out, const MemberRecord &record)
{
    out.pack_array(6);
    out.pack(record.name);
    out.pack(record.zone);
    out.pack(record.memberAddress);
    out.pack(record.callerAddress);
    out.pack(record.incarnation);
    out.pack(static_cast<std::uint8_t>(record.state));
}

void read(const Object &from, MemberRecord &record)
{
    ArrayReader in(from);
    record.name = in.as<std::string>();
    record.zone = in.as<std::string>();
    record.memberAddress = in.as<std::string>();
    record.callerAddress = in.as<std::string>();
    record.incarnation = in.as<std::uint64_t>();
    record.state = in.enumeration<MemberState>(MemberState::Left);
}

void write(Packer &out, const Hello &hello)
{
    out.pack_array(2);
    out.pack(hello.version);
    write(out, hello.self);
}

void read(const Object &from, Hello &hello)
{
    ArrayReader in(from);
    hello.version = in.as<std::uint32_t>();
    read(in.next(), hello.self);
}

void write(Packer &out, const Heartbeat &heartbeat)
{
    out.pack_array(6);
    out.pack(heartbeat.incarnation);
    out.pack(heartbeat.configurationRevision);
    out.pack(heartbeat.vmListRevision);
    out.pack(heartbeat.refusedRevision);
    out.pack(heartbeat.membershipDigest);
    out.pack(heartbeat.chosen);
}

void read(const Object &from, Heartbeat &heartbeat)
{
    ArrayReader in(from);
    heartbeat.incarnation = in.as<std::uint64_t>();
    heartbeat.configurationRevision = in.as<std::uint64_t>();
    heartbeat.vmListRevision = in.as<std::uint64_t>();
    heartbeat.refusedRevision = in.as<std::uint64_t>();
    heartbeat.membershipDigest = in.as<std::uint64_t>();
    heartbeat.chosen = in.as<bool>();
}

template<typename Item> void packList(Packer &out, const std::vector<Item> &items)
{
    out.pack_array(static_cast<std::uint32_t>(items.size()));
    for (const Item &item : items) {
        write(out, item);
    }
}

template<typename Item> void unpackList(const Object &from, std::vector<Item> &items)
{
    ArrayReader in(from);
    for (std::uint32_t index = 0; index < in.size(); ++index) {
        Item item;
        read(in.next(), item);
        items.push_back(std::move(item));
    }
}

void write(Packer &out, const MemberNews &news)
{
    out.pack_array(2);
    out.pack(news.whole);
    packList(out, news.records);
}

void read(const Object &from, MemberNews &news)
{
    ArrayReader in(from);
    news.whole = in.as<bool>();
    unpackList(in.next(), news.records);
}

std::string compressed(const std::string &text)
{
    uLongf size = compressBound(text.size());
    std::string bytes(size, '\0');
    compress(reinterpret_cast<Bytef *>(bytes.data()), &size,
             reinterpret_cast<const Bytef *>(text.data()), text.size());
    bytes.resize(size);
    return bytes;
}

std::string uncompressed(const std::string &bytes)
{
    uLongf size = maxDocumentBytes;
    std::string text(size, '\0');
    const int result = uncompress(reinterpret_cast<Bytef *>(text.data()), &size,
                                  reinterpret_cast<const Bytef *>(bytes.data()), bytes.size());
    if (result != Z_OK) {
        throw msgpack::type_error();
    }
    text.resize(size);
    return text;
}

DocumentKind kindOf(std::uint8_t number)
{
    if (number > static_cast<std::uint8_t>(DocumentKind::VmList)) {
        throw msgpack::type_error();
    }
    return static_cast<DocumentKind>(number);
}

void write(Packer &out, const DocumentWanted &wanted)
{
    out.pack_array(1);
    out.pack(static_cast<std::uint8_t>(wanted.kind));
}

void read(const Object &from, DocumentWanted &wanted)
{
    ArrayReader in(from);
    wanted.kind = kindOf(in.as<std::uint8_t>());
}

void write(Packer &out, const DocumentBody &body)
{
    out.pack_array(2);
    out.pack(static_cast<std::uint8_t>(body.kind));
    out.pack(compressed(body.text));
}

void read(const Object &from, DocumentBody &body)
{
    ArrayReader in(from);
    body.kind = kindOf(in.as<std::uint8_t>());
    body.text = uncompressed(in.as<std::string>());
}

void write(Packer &out, const decision::Evidence &evidence)
{
    out.pack_array(6);
    out.pack(evidence.firstTokensInTime);
    out.pack(evidence.firstTokensLate);
    out.pack(evidence.gapsInTime);
    out.pack(evidence.gapsLate);
    out.pack(evidence.failures);
    out.pack(evidence.peakOutstanding);
}

void read(const Object &from, decision::Evidence &evidence)
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
    write(out, request.evidence);
    packList(out, request.workspaces);
}

void read(const Object &from, decision::LeaseRequest &request)
{
    ArrayReader in(from);
    request.holder = in.as<std::string>();
    request.upstream = in.as<std::string>();
    request.inUse = in.as<std::uint32_t>();
    request.wanted = in.as<std::uint32_t>();
    read(in.next(), request.evidence);
    unpackList(in.next(), request.workspaces);
}

void write(Packer &out, const decision::WorkspaceUse &use)
{
    out.pack_array(4);
    out.pack(use.workspace);
    out.pack(use.weight);
    out.pack(use.queued);
    out.pack(use.served);
}

void read(const Object &from, decision::WorkspaceUse &use)
{
    ArrayReader in(from);
    use.workspace = in.as<decision::WorkspaceKey>();
    use.weight = in.as<float>();
    use.queued = in.as<bool>();
    use.served = in.as<std::int32_t>();
    if (!std::isfinite(use.weight) || use.weight < 0.0F) {
        throw msgpack::type_error();
    }
}

void write(Packer &out, const decision::ForeignService &service)
{
    out.pack_array(2);
    out.pack(service.workspace);
    out.pack(service.served);
}

void read(const Object &from, decision::ForeignService &service)
{
    ArrayReader in(from);
    service.workspace = in.as<decision::WorkspaceKey>();
    service.served = in.as<std::int32_t>();
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
    packList(out, grant.foreign);
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
    unpackList(in.next(), granted.grant.foreign);
}

void write(Packer &out, const LeaseGrants &grants)
{
    packList(out, grants.grants);
}

void read(const Object &from, LeaseGrants &grants)
{
    unpackList(from, grants.grants);
}

void write(Packer &out, const CrashNote &note)
{
    out.pack_array(5);
    out.pack(note.pool);
    out.pack(note.fingerprint);
    out.pack(note.source);
    out.pack(note.number);
    out.pack(static_cast<std::uint8_t>(note.verdict));
}

void read(const Object &from, CrashNote &note)
{
    ArrayReader in(from);
    note.pool = in.as<std::string>();
    note.fingerprint = in.as<std::uint64_t>();
    note.source = in.as<std::string>();
    note.number = in.as<std::uint64_t>();
    note.verdict = in.enumeration<CrashVerdict>(CrashVerdict::Acquitted);
}

void write(Packer &out, const decision::PermitRequest &request)
{
    out.pack_array(7);
    out.pack(request.steward);
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
    request.steward = in.as<std::string>();
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
    out.pack(answer.rollout);
    out.pack(static_cast<std::uint32_t>(answer.duration.count()));
    out.pack(answer.reason);
}

void read(const Object &from, decision::PermitAnswer &answer)
{
    ArrayReader in(from);
    answer.upstream = in.as<std::string>();
    answer.revision = in.as<std::uint64_t>();
    answer.granted = in.as<bool>();
    answer.rollout = in.as<bool>();
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

/// Unpacks the alternative of Message whose position is \a type.
template<std::size_t Position = 0> Message unpackAlternative(std::size_t type, const Object &body)
{
    if constexpr (Position < std::variant_size_v<Message>) {
        if (type != Position) {
            return unpackAlternative<Position + 1>(type, body);
        }
        std::variant_alternative_t<Position, Message> message;
        read(body, message);
        return message;
    } else {
        throw msgpack::type_error();
    }
}

} // namespace

const char *name(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Left:
        return "left";
    }
    return "unknown";
}

std::string encode(const Message &message)
{
    msgpack::sbuffer buffer;
    Packer out(buffer);
    out.pack_array(3);
    out.pack(protocolVersion);
    out.pack(static_cast<std::uint32_t>(message.index()));
    std::visit([&out](const auto &body) { write(out, body); }, message);
    return {buffer.data(), buffer.size()};
}

Result<Message> decode(std::string_view payload)
{
    try {
        const msgpack::unpack_limit limits(maxArrayElements, 0, maxFrameBytes, 0, 0, maxDepth);
        std::size_t used = 0;
        const msgpack::object_handle handle
            = msgpack::unpack(payload.data(), payload.size(), used, nullptr, nullptr, limits);
        if (used != payload.size()) {
            return Error {ErrorCode::FrameMalformed, "bytes follow the frame's body"};
        }
        ArrayReader in(handle.get());
        const auto version = in.as<std::uint32_t>();
        if (version != protocolVersion) {
            return Error {ErrorCode::FrameMalformed, "protocol version " + std::to_string(version)};
        }
        const auto type = in.as<std::uint32_t>();
        return unpackAlternative(type, in.next());
    } catch (const std::exception &error) {
        return Error {ErrorCode::FrameMalformed, error.what()};
    }
}

} // namespace azurespindle::members
