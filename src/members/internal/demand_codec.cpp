// Encoding of what callers demand, as reports between routers contain it.

#include "members/internal/frame_codec.h"

namespace azurespindle::members::internal {
namespace {

void write(Packer &out, const decision::WaitingCount &waiting)
{
    out.pack_array(5);
    out.pack(waiting.service);
    out.pack(waiting.priority);
    out.pack(waiting.requests);
    out.pack(waiting.memory);
    out.pack(waiting.oldest.count());
}

void read(const Object &from, decision::WaitingCount &waiting)
{
    ArrayReader in(from);
    waiting.service = in.as<std::string>();
    waiting.priority = in.as<std::uint32_t>();
    waiting.requests = in.as<std::uint32_t>();
    waiting.memory = in.as<decision::Tokens>();
    waiting.oldest = milliseconds(in.as<std::uint32_t>());
}

void write(Packer &out, const decision::ArrivalRate &rate)
{
    out.pack_array(6);
    out.pack(rate.service);
    out.pack(rate.priority);
    out.pack(rate.perSecond);
    out.pack(rate.memory);
    out.pack(rate.prefill);
    out.pack(rate.stay.count());
}

void read(const Object &from, decision::ArrivalRate &rate)
{
    ArrayReader in(from);
    rate.service = in.as<std::string>();
    rate.priority = in.as<std::uint32_t>();
    rate.perSecond = in.as<double>();
    rate.memory = in.as<decision::Tokens>();
    rate.prefill = in.as<decision::Tokens>();
    rate.stay = milliseconds(in.as<std::uint32_t>());
}

void write(Packer &out, const decision::WorkspaceUse &use)
{
    out.pack_array(2);
    out.pack(use.workspace);
    out.pack(use.tokens);
}

void read(const Object &from, decision::WorkspaceUse &use)
{
    ArrayReader in(from);
    use.workspace = in.as<std::string>();
    use.tokens = in.as<std::uint64_t>();
}

template<typename Entry> void writeAll(Packer &out, const std::vector<Entry> &entries)
{
    out.pack_array(static_cast<std::uint32_t>(entries.size()));
    for (const Entry &each : entries) {
        write(out, each);
    }
}

template<typename Entry> void readAll(const Object &from, std::vector<Entry> &entries)
{
    ArrayReader in(from);
    if (in.size() > decision::DemandReport::maxEntries) {
        throw msgpack::type_error();
    }
    while (!in.atEnd()) {
        Entry entry;
        read(in.next(), entry);
        entries.push_back(std::move(entry));
    }
}

} // namespace

void write(Packer &out, const decision::DemandReport &demand)
{
    out.pack_array(3);
    writeAll(out, demand.waiting);
    writeAll(out, demand.arrivals);
    writeAll(out, demand.workspaces);
}

void read(const Object &from, decision::DemandReport &demand)
{
    ArrayReader in(from);
    readAll(in.next(), demand.waiting);
    readAll(in.next(), demand.arrivals);
    readAll(in.next(), demand.workspaces);
    if (!decision::isPlausible(demand)) {
        throw msgpack::type_error();
    }
}

} // namespace azurespindle::members::internal
