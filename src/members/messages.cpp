#include "members/messages.h"

#include "base/compression.h"
#include "members/crash_log.h"
#include "members/internal/frame_codec.h"

namespace azurespindle::members {
namespace {

constexpr std::size_t maxArrayElements = 100'000;
constexpr std::size_t maxDepth = 16;
/// Largest document, in bytes before compression. A larger one is refused without unpacking it
/// completely, so that a small frame cannot expand without limit.
constexpr std::size_t maxDocumentBytes = 1'048'576;

} // namespace

namespace internal {

void write(Packer &out, const MemberRecord &record)
{
    out.pack_array(7);
    out.pack(record.name);
    out.pack(record.zone);
    out.pack(record.memberAddress);
    out.pack(record.callerAddress);
    out.pack(record.incarnation);
    out.pack(static_cast<std::uint8_t>(record.state));
    out.pack(record.capacity);
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
    record.capacity = in.as<std::uint32_t>();
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
    out.pack_array(heartbeat.blockedRequestsDigest ? 7 : 6);
    out.pack(heartbeat.incarnation);
    out.pack(heartbeat.configurationRevision);
    out.pack(heartbeat.vmListRevision);
    out.pack(heartbeat.refusedRevision);
    out.pack(heartbeat.membershipDigest);
    out.pack(heartbeat.toNeighbour);
    if (heartbeat.blockedRequestsDigest) {
        out.pack(*heartbeat.blockedRequestsDigest);
    }
}

void read(const Object &from, Heartbeat &heartbeat)
{
    ArrayReader in(from);
    heartbeat.incarnation = in.as<std::uint64_t>();
    heartbeat.configurationRevision = in.as<std::uint64_t>();
    heartbeat.vmListRevision = in.as<std::uint64_t>();
    heartbeat.refusedRevision = in.as<std::uint64_t>();
    heartbeat.membershipDigest = in.as<std::uint64_t>();
    heartbeat.toNeighbour = in.as<bool>();
    if (!in.atEnd()) { // Absent in frames of older members.
        heartbeat.blockedRequestsDigest = in.as<std::uint64_t>();
    }
}

void write(Packer &out, const MembershipUpdate &update)
{
    out.pack_array(3);
    out.pack(update.complete);
    packCompactList(out, update.records);
}

void read(const Object &from, MembershipUpdate &update)
{
    ArrayReader in(from);
    update.complete = in.as<bool>();
    unpackCompactList(in, update.records);
}

msgpack::unpack_limit unpackLimits()
{
    return {maxArrayElements, 0, maxFrameBytes, 0, 0, maxDepth};
}

void write(Packer &out, const DocumentRequest &request)
{
    out.pack_array(2);
    out.pack(static_cast<std::uint8_t>(request.kind));
    out.pack(request.knownRevision);
}

void read(const Object &from, DocumentRequest &request)
{
    ArrayReader in(from);
    request.kind = in.enumeration<DocumentKind>(DocumentKind::VmList);
    request.knownRevision = in.as<std::uint64_t>();
}

void write(Packer &out, const DocumentResponse &response)
{
    out.pack_array(response.delta ? 3 : 2);
    out.pack(static_cast<std::uint8_t>(response.kind));
    out.pack(compressed(response.text));
    if (response.delta) {
        write(out, *response.delta);
    }
}

void read(const Object &from, DocumentResponse &response)
{
    ArrayReader in(from);
    response.kind = in.enumeration<DocumentKind>(DocumentKind::VmList);
    Result<std::string> text = uncompressed(in.as<std::string>(), maxDocumentBytes);
    if (!text.ok()) {
        throw msgpack::type_error();
    }
    response.text = text.takeValue();
    if (!in.atEnd()) {
        read(in.next(), response.delta.emplace());
    }
}

void write(Packer &out, const CrashReport &crash)
{
    out.pack_array(6);
    out.pack(crash.pool);
    out.pack(crash.fingerprint);
    out.pack(crash.source);
    out.pack(crash.number);
    out.pack(static_cast<std::uint8_t>(crash.status));
    out.pack(crash.parts);
}

void read(const Object &from, CrashReport &crash)
{
    ArrayReader in(from);
    crash.pool = in.as<std::string>();
    crash.fingerprint = in.as<std::uint64_t>();
    crash.source = in.as<std::string>();
    crash.number = in.as<std::uint64_t>();
    crash.status = in.enumeration<CrashStatus>(CrashStatus::Cleared);
    if (!in.atEnd()) { // Absent in frames of older members.
        crash.parts = in.as<std::vector<decision::PromptPartId>>();
    }
}

void write(Packer &out, const PastCrash &crash)
{
    out.pack_array(2);
    write(out, crash.report);
    out.pack(static_cast<std::uint32_t>(crash.age.count()));
}

void read(const Object &from, PastCrash &crash)
{
    ArrayReader in(from);
    read(in.next(), crash.report);
    crash.age = seconds(in.as<std::uint32_t>());
}

void write(Packer &out, const BlockedRequests &blocked)
{
    packList(out, blocked.crashes);
}

void read(const Object &from, BlockedRequests &blocked)
{
    if (ArrayReader(from).size() > CrashLog::maxExchanged * CrashLog::crashesToBlock) {
        throw msgpack::type_error();
    }
    unpackList(from, blocked.crashes);
}

/// Unpacks \a body as the alternative of Message at index \a type. Throws type_error if there is no
/// such alternative or \a body does not match it.
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

} // namespace internal

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
    internal::Packer out(buffer);
    out.pack_array(3);
    out.pack(protocolVersion);
    out.pack(static_cast<std::uint32_t>(message.index()));
    std::visit([&out](const auto &body) { internal::write(out, body); }, message);
    return {buffer.data(), buffer.size()};
}

Result<Message> decode(std::string_view payload)
{
    try {
        std::size_t used = 0;
        const msgpack::object_handle handle = msgpack::unpack(
            payload.data(), payload.size(), used, nullptr, nullptr, internal::unpackLimits());
        if (used != payload.size()) {
            return Error {ErrorCode::FrameMalformed, "bytes follow the frame's body"};
        }
        internal::ArrayReader in(handle.get());
        const auto version = in.as<std::uint32_t>();
        if (version != protocolVersion) {
            return Error {ErrorCode::FrameMalformed, "protocol version " + std::to_string(version)};
        }
        const auto type = in.as<std::uint32_t>();
        return internal::unpackAlternative(type, in.next());
    } catch (const std::exception &error) {
        return Error {ErrorCode::FrameMalformed, error.what()};
    }
}

} // namespace azurespindle::members
