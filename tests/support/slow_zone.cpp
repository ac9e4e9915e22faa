#include "support/slow_zone.h"

#include "platform/fake_platform.h"
#include "platform/item_decoder.h"
#include "platform/many_routes.h"

#include <algorithm>
#include <thread>

namespace azurespindle::tests {
namespace {

constexpr milliseconds reportInterval {200};
constexpr milliseconds storeInterval {20};
constexpr milliseconds pollInterval {20};
/// Size of a store's response for each byte of values, as these are sent in base64.
constexpr double storeBytesPerValueByte = 4.0 / 3.0;
constexpr double microsecondsPerSecond = 1'000'000.0;
constexpr double bitsPerByte = 8.0;
/// Upstreams that a member's report names.
constexpr std::size_t claimedUpstreams = 60;

std::size_t valueBytes(const std::vector<routing::PublishedItem> &items)
{
    std::size_t bytes = 0;
    for (const routing::PublishedItem &item : items) {
        bytes += item.value.size();
    }
    return bytes;
}

} // namespace

SlowZone::SlowZone(std::size_t memberCount, double bitsPerSecond) : bitsPerSecond(bitsPerSecond)
{
    for (std::size_t index = 0; index < memberCount; ++index) {
        auto member = std::make_unique<Member>();
        member->name = "entry-" + std::to_string(index);
        this->names.push_back(member->name);
        this->members.push_back(std::move(member));
    }
    std::sort(this->names.begin(), this->names.end());
    this->timers.subscribe(reportInterval, [this] { this->sendReports(); });
    this->timers.subscribe(storeInterval, [this] { this->answerWatches(); });
    this->timers.start();
}

SlowZone::~SlowZone()
{
    this->timers.stop();
    for (const auto &member : this->members) {
        if (member->synchronizer != nullptr) {
            member->synchronizer->stop();
        }
    }
}

std::size_t SlowZone::indexOf(const std::string &name) const
{
    const auto found = std::find_if(this->members.begin(), this->members.end(),
                                    [&name](const auto &member) { return member->name == name; });
    return static_cast<std::size_t>(found - this->members.begin());
}

void SlowZone::startMember(std::size_t index)
{
    const std::lock_guard lock(this->mutex);
    Member &member = *this->members[index];
    serving::ViewSynchronizerHooks hooks;
    hooks.onState = [](const auto &) {};
    hooks.send = [this, index](const std::string &to, const members::Message &message) {
        this->send(index, this->indexOf(to), message);
    };
    hooks.sendToZone = [this, index](const members::ViewChanges &changes) {
        for (std::size_t other = 0; other < this->members.size(); ++other) {
            if (other != index) {
                this->send(index, other, changes);
            }
        }
    };
    member.running = true;
    member.life += 1;
    member.synchronizer = std::make_unique<serving::ViewSynchronizer>(
        platform::decodeItem, this->storeCallsOf(index), this->timers, member.registry,
        member.journal, std::move(hooks));
    member.synchronizer->start();
}

void SlowZone::stopMember(std::size_t index)
{
    const std::lock_guard lock(this->mutex);
    Member &member = *this->members[index];
    member.running = false;
    member.life += 1;
    member.synchronizer->stop();
}

// Links ------------------------------------------------------------------------------------------

microseconds SlowZone::transmit(Link &link, std::size_t bytes) const
{
    const Instant now = monotonicNow();
    const double bits = static_cast<double>(bytes) * bitsPerByte;
    const microseconds duration(
        static_cast<std::int64_t>(bits / this->bitsPerSecond * microsecondsPerSecond));
    link.freeAt = std::max(link.freeAt, now) + duration;
    return link.freeAt - now;
}

void SlowZone::send(std::size_t from, std::size_t to, const members::Message &message)
{
    std::string payload = members::encode(message);
    const std::lock_guard lock(this->mutex);
    if (!this->members[to]->running || !this->members[from]->running) {
        return;
    }
    this->sentBytes += payload.size();
    const microseconds sent = this->transmit(this->members[from]->up, payload.size());
    const microseconds received = this->transmit(this->members[to]->down, payload.size());
    const std::uint64_t life = this->members[to]->life;
    this->timers.after(std::chrono::ceil<milliseconds>(std::max(sent, received)),
                       [this, from, to, life, payload = std::move(payload)] {
                           const std::lock_guard lock(this->mutex);
                           if (this->members[to]->life == life) {
                               this->receive(from, to, payload);
                           }
                       });
}

void SlowZone::receive(std::size_t from, std::size_t to, const std::string &payload)
{
    Result<members::Message> decoded = members::decode(payload);
    if (!decoded.ok() || !this->members[to]->running) {
        return;
    }
    serving::ViewSynchronizer &synchronizer = *this->members[to]->synchronizer;
    const members::Message message = decoded.takeValue();
    const std::string &sender = this->members[from]->name;
    if (const auto *report = std::get_if<members::RouterReport>(&message)) {
        synchronizer.handleReport(sender, {report->viewRevision, report->readsStore});
    } else if (const auto *request = std::get_if<members::ViewRequest>(&message)) {
        synchronizer.sendChanges(sender, *request);
    } else if (const auto *changes = std::get_if<members::ViewChanges>(&message)) {
        synchronizer.applyChanges(*changes, {sender, payload.size()});
    }
}

void SlowZone::sendReports()
{
    const std::lock_guard lock(this->mutex);
    for (std::size_t index = 0; index < this->members.size(); ++index) {
        Member &member = *this->members[index];
        if (!member.running) {
            continue;
        }
        member.synchronizer->updateReaderRole(this->names, member.name);
        member.synchronizer->tick();
        members::RouterReport report;
        report.viewRevision = member.synchronizer->revision();
        report.readsStore = member.synchronizer->readsStore();
        for (std::size_t upstream = 0; upstream < claimedUpstreams; ++upstream) {
            report.claims.push_back({"engine-" + std::to_string(upstream), {1, 1'000, 0}});
        }
        for (std::size_t other = 0; other < this->members.size(); ++other) {
            if (other != index) {
                this->send(index, other, report);
            }
        }
    }
}

// Store ------------------------------------------------------------------------------------------

routing::StoreCalls SlowZone::storeCallsOf(std::size_t index)
{
    const std::uint64_t life = this->members[index]->life;
    return {[this, index](const std::string &, const routing::StoreResponseHandler &handler) {
                this->answerList(index, handler);
            },
            [this, index, life](std::uint64_t after, milliseconds timeout,
                                const routing::StoreResponseHandler &handler) {
                const std::lock_guard lock(this->mutex);
                this->watches.push_back({after, monotonicNow() + timeout, index, life, handler});
            }};
}

void SlowZone::answerList(std::size_t index, const routing::StoreResponseHandler &handler)
{
    const std::lock_guard lock(this->mutex);
    routing::StoreResponse response;
    response.status = routing::StoreCallStatus::Ok;
    response.revision = this->revision;
    for (const auto &[key, item] : this->items) {
        response.items.push_back(item);
    }
    this->sendFromStore(index, this->members[index]->life, response, handler);
}

void SlowZone::answerWatches()
{
    const std::lock_guard lock(this->mutex);
    const std::vector<Watch> waiting = std::exchange(this->watches, {});
    for (const Watch &watch : waiting) {
        if (this->revision <= watch.after && monotonicNow() < watch.until) {
            this->watches.push_back(watch);
            continue;
        }
        routing::StoreResponse response;
        response.status = routing::StoreCallStatus::Ok;
        response.revision = this->revision;
        for (const auto &[key, item] : this->items) {
            if (item.revision > watch.after) {
                response.items.push_back(item);
            }
        }
        this->sendFromStore(watch.member, watch.life, response, watch.handler);
    }
}

void SlowZone::sendFromStore(std::size_t to, std::uint64_t life,
                             const routing::StoreResponse &response,
                             const routing::StoreResponseHandler &handler)
{
    const auto bytes = static_cast<std::size_t>(storeBytesPerValueByte
                                                * static_cast<double>(valueBytes(response.items)));
    const microseconds received = this->transmit(this->members[to]->down, bytes);
    this->timers.after(std::chrono::ceil<milliseconds>(received),
                       [this, to, life, bytes, response, handler] {
                           const std::lock_guard lock(this->mutex);
                           if (this->members[to]->life == life) {
                               routing::StoreResponse sized = response;
                               sized.bytes = bytes;
                               handler(sized);
                           }
                       });
}

void SlowZone::publish(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    this->revision += 1;
    this->items[key] = {key, value, this->revision, false};
}

// Queries ----------------------------------------------------------------------------------------

std::string SlowZone::versions() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto &member : this->members) {
        const auto state = member->running ? member->synchronizer->state() : nullptr;
        const bool known = state != nullptr && state->routeTable != nullptr;
        text += (text.empty() ? "" : " ")
            + (known ? std::to_string(state->routeTable->configuration().version) : "-");
    }
    return text;
}

bool SlowZone::everyMemberApplies(std::uint64_t version, milliseconds timeout) const
{
    const auto applied = [this, version] {
        const std::lock_guard lock(this->mutex);
        return std::all_of(this->members.begin(), this->members.end(), [&](const auto &member) {
            const auto state = member->running ? member->synchronizer->state() : nullptr;
            return !member->running
                || (state->routeTable != nullptr
                    && state->routeTable->configuration().version == version);
        });
    };
    const Instant until = monotonicNow() + timeout;
    while (!applied()) {
        if (monotonicNow() >= until) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::string largeConfiguration(std::uint64_t version, std::size_t routes)
{
    return platformConfiguration(
        version, manyRoutes(routes) + plainRoute("newest", "v" + std::to_string(version)));
}

} // namespace azurespindle::tests
