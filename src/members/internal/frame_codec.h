#ifndef AZURESPINDLE_MEMBERS_INTERNAL_FRAME_CODEC_H
#define AZURESPINDLE_MEMBERS_INTERNAL_FRAME_CODEC_H

#include "base/compression.h"
#include "members/messages.h"

#include <msgpack.hpp>

#include <utility>
#include <vector>

namespace azurespindle::members::internal {

using Packer = msgpack::packer<msgpack::sbuffer>;
using Object = msgpack::object;

/// Sequential reader of a msgpack array's elements. Throws msgpack::type_error if the object is not
/// an array, if there is no further element, or if an element has another type than requested.
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

    /// Returns the next element as a value of an enumeration whose highest value is \a last.
    template<typename Enumeration> Enumeration enumeration(Enumeration last)
    {
        const auto number = this->as<std::uint8_t>();
        if (number > static_cast<std::uint8_t>(last)) {
            throw msgpack::type_error();
        }
        return static_cast<Enumeration>(number);
    }

    std::uint32_t size() const { return this->array.size; }
    bool atEnd() const { return this->position >= this->array.size; }

private:
    msgpack::object_array array {};
    std::uint32_t position = 0;
};

/// Limits of what a frame may hold, so that a small one cannot take much memory.
msgpack::unpack_limit unpackLimits();

// write() packs a value as a msgpack array of its fields, and read() unpacks them in the same
// order; read() throws msgpack::type_error if the array does not match the type. The order and the
// number of fields are part of the protocol.

void write(Packer &out, const MemberRecord &record);
void read(const Object &from, MemberRecord &record);
void write(Packer &out, const decision::LeaseRequest &request);
void read(const Object &from, decision::LeaseRequest &request);
void write(Packer &out, const GrantWithReport &granted);
void read(const Object &from, GrantWithReport &granted);
void write(Packer &out, const decision::WorkspaceUsage &usage);
void read(const Object &from, decision::WorkspaceUsage &usage);
void write(Packer &out, const decision::RemoteUsage &usage);
void read(const Object &from, decision::RemoteUsage &usage);
void write(Packer &out, const decision::PermitRequest &request);
void read(const Object &from, decision::PermitRequest &request);
void write(Packer &out, const decision::PermitAnswer &answer);
void read(const Object &from, decision::PermitAnswer &answer);
void write(Packer &out, const LeaseRequests &requests);
void read(const Object &from, LeaseRequests &requests);
void write(Packer &out, const LeaseGrants &grants);
void read(const Object &from, LeaseGrants &grants);
void write(Packer &out, const PermitRequests &requests);
void read(const Object &from, PermitRequests &requests);
void write(Packer &out, const PermitAnswers &answers);
void read(const Object &from, PermitAnswers &answers);
void write(Packer &out, const decision::UpstreamClaim &claim);
void read(const Object &from, decision::UpstreamClaim &claim);
void write(Packer &out, const decision::RequestCounts &count);
void read(const Object &from, decision::RequestCounts &count);
void write(Packer &out, const TextDelta &delta);
void read(const Object &from, TextDelta &delta);
void write(Packer &out, const routing::PublishedItem &item);
void read(const Object &from, routing::PublishedItem &item);
void write(Packer &out, const routing::UpstreamObservation &observation);
void read(const Object &from, routing::UpstreamObservation &observation);
void write(Packer &out, const decision::PartCrashes &blocked);
void read(const Object &from, decision::PartCrashes &blocked);
void write(Packer &out, const decision::NamedLimit &limit);
void read(const Object &from, decision::NamedLimit &limit);
void write(Packer &out, const decision::SpeedSum &sum);
void read(const Object &from, decision::SpeedSum &sum);
void write(Packer &out, const RouterReport &report);
void read(const Object &from, RouterReport &report);
void write(Packer &out, const ViewRequest &request);
void read(const Object &from, ViewRequest &request);
void write(Packer &out, const ZoneReport &report);
void read(const Object &from, ZoneReport &report);
void write(Packer &out, const FleetReport &report);
void read(const Object &from, FleetReport &report);
void write(Packer &out, const CrashReport &crash);
void read(const Object &from, CrashReport &crash);
void write(Packer &out, const PastCrash &crash);
void read(const Object &from, PastCrash &crash);
void write(Packer &out, const PlacementNotice &notice);
void read(const Object &from, PlacementNotice &notice);
void write(Packer &out, const ViewStatus &status);
void read(const Object &from, ViewStatus &status);
void write(Packer &out, const ViewChanges &changes);
void read(const Object &from, ViewChanges &changes);

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

/// Largest list that is packed compactly, in bytes before compression.
constexpr std::size_t maxCompactListBytes = 4'194'304;
/// Size from which a list that is packed compactly is compressed.
constexpr std::size_t minCompressedListBytes = 1'024;

/// Packs a list that may be long, as two elements: whether it is compressed, and its bytes.
template<typename Item> void packCompactList(Packer &out, const std::vector<Item> &items)
{
    msgpack::sbuffer buffer;
    Packer list(buffer);
    packList(list, items);
    const std::string bytes(buffer.data(), buffer.size());
    const bool compress = bytes.size() >= minCompressedListBytes;
    out.pack(compress);
    out.pack(compress ? compressed(bytes) : bytes);
}

/// Unpacks what packCompactList() packed. Throws msgpack::type_error if it is malformed.
template<typename Item> void unpackCompactList(ArrayReader &in, std::vector<Item> &items)
{
    const bool isCompressed = in.as<bool>();
    std::string bytes = in.as<std::string>();
    if (isCompressed) {
        Result<std::string> text = uncompressed(bytes, maxCompactListBytes);
        if (!text.ok()) {
            throw msgpack::type_error();
        }
        bytes = text.takeValue();
    }
    const msgpack::object_handle list
        = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, unpackLimits());
    unpackList(list.get(), items);
}

} // namespace azurespindle::members::internal

#endif
