#include "session/order_rollout.h"

#include "decision/rollout_controller.h"
#include "decision/rollout_permits.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace azurespindle::tests {
namespace {

using namespace decision;
using Json = nlohmann::ordered_json;

constexpr milliseconds stepTime {500};
constexpr milliseconds loadTime {3'000};
constexpr milliseconds warmTime {4'000};  ///< From the end of a load to a warm engine.
constexpr milliseconds drainTime {1'500}; ///< What runs ends so long after the last new work.

struct FakeEngine
{
    std::string version = "v1";
    std::string loading;
    std::string steward;
    bool up = true;
    bool accepting = true;
    bool honoursFencing = true;
    std::uint64_t fence = 0;
    int orders = 0;
    Instant busyUntil = Instant::max(); ///< Callers keep it busy while it accepts.
    Instant loadedAt;
    Instant warmFrom;
};

class Rollout
{
public:
    explicit Rollout(const Json &options)
        : engineCount(options.value("engines", 6)), limits {options.value("loadsPerMinute", 60.0),
                                                            options.value("maxLoadingShare", 0.1),
                                                            static_cast<std::size_t>(engineCount)}
    {
        this->stewards.emplace("a", RolloutController("a#1"));
        this->stewards.emplace("b", RolloutController("b#1"));
        for (int index = 1; index <= this->engineCount; ++index) {
            FakeEngine engine;
            engine.steward = index * 2 <= this->engineCount ? "a" : "b";
            engine.honoursFencing = options.value("honoursFencing", true);
            this->engines["e" + std::to_string(index)] = engine;
        }
    }

    void handle(const Json &event)
    {
        const std::string type = event.at("type");
        const std::string subject = event.value("subject", "");
        if (type == "Publish") {
            this->revision = event.at("revision");
            this->version = event.at("version");
            this->wantAll();
        } else if (type == "EngineLost") {
            this->engines.at(subject).up = false;
        } else if (type == "EngineBack") {
            FakeEngine fresh;
            fresh.steward = this->engines.at(subject).steward;
            this->engines.at(subject) = fresh;
        } else if (type == "Pause") {
            this->paused = subject;
        } else if (type == "Wake") {
            this->paused.clear();
        } else if (type == "LateOrder") {
            // Of a process that slept between its last check and the send.
            EngineOrder order {subject, event.at("fence"), {}, Instant::max()};
            order.image.version = event.at("version");
            this->deliver(this->engines.at(subject).steward, order);
        }
    }

    /// Runs until \a end and returns the effects as lines.
    std::string advance(Instant end)
    {
        while (this->now + stepTime <= end) {
            this->now += stepTime;
            this->step();
        }
        std::string effects = this->lines.str();
        this->lines.str("");
        return effects;
    }

    std::string summary() const
    {
        Json versions = Json::object();
        Json orders = Json::object();
        for (const auto &[name, engine] : this->engines) {
            versions[name] = engine.up ? engine.version : "lost";
            orders[name] = engine.orders;
        }
        const Json line {{"type", "Summary"},
                         {"versions", versions},
                         {"orders", orders},
                         {"fewestServing", this->fewestServing},
                         {"mostLoading", this->mostLoading},
                         {"cutGenerations", this->cutGenerations}};
        return Json {{"effect", line}}.dump() + "\n";
    }

private:
    void step()
    {
        for (auto &[name, engine] : this->engines) {
            this->run(engine);
        }
        for (auto &[name, steward] : this->stewards) {
            // An order that was decided right before a pause leaves when the process wakes.
            if (name == this->paused) {
                continue;
            }
            for (const EngineOrder &order : std::exchange(this->held[name], {})) {
                this->deliver(name, order);
            }
            for (const auto &[upstream, engine] : this->engines) {
                if (engine.steward == name && engine.up) {
                    this->perform(
                        name, steward.recordObservation(this->look(upstream, engine), this->now));
                }
            }
            this->perform(name, steward.tick(this->now));
        }
        this->count();
    }

    void run(FakeEngine &engine) const
    {
        if (!engine.loading.empty() && this->now >= engine.loadedAt) {
            engine.version = std::exchange(engine.loading, "");
            engine.warmFrom = this->now + warmTime;
        }
    }

    EngineObservation look(const std::string &name, const FakeEngine &engine) const
    {
        const bool busy = engine.loading.empty() && this->now < engine.busyUntil;
        return {name,           {"", engine.version, {}, ""},
                engine.loading, busy ? 3U : 0U,
                busy ? 3U : 0U, engine.loading.empty() && this->now >= engine.warmFrom};
    }

    void wantAll()
    {
        for (auto &[name, engine] : this->engines) {
            if (engine.steward == this->paused) {
                continue;
            }
            const DesiredImage wanted {
                name, "m", this->revision, {"", this->version, {}, ""}, engine.honoursFencing};
            this->perform(engine.steward,
                          this->stewards.at(engine.steward).setDesiredImage(wanted, this->now));
        }
    }

    void perform(const std::string &member, const RolloutEffects &effects)
    {
        for (const RolloutEffect &effect : effects) {
            if (const auto *ask = std::get_if<RequestPermit>(&effect)) {
                this->answer(member, ask->request);
            } else if (const auto *send = std::get_if<SendOrder>(&effect)) {
                this->held[member].push_back(send->order);
            } else if (const auto *accepting = std::get_if<SetAccepting>(&effect)) {
                FakeEngine &engine = this->engines.at(accepting->upstream);
                engine.accepting = accepting->accepting;
                engine.busyUntil = engine.accepting ? Instant::max() : this->now + drainTime;
            } else if (const auto *entry = std::get_if<LogRolloutEvent>(&effect)) {
                Json line {{"event", journal::describe(entry->entry.id).name}};
                for (const journal::Field &field : entry->entry.fields) {
                    line[field.name] = field.value;
                }
                this->print(member, line);
            }
        }
    }

    void answer(const std::string &member, const PermitRequest &request)
    {
        const PermitAnswer answer = this->permits.handle(request, this->limits, this->now);
        this->perform(member, this->stewards.at(member).handlePermitAnswer(answer, this->now));
    }

    void deliver(const std::string &member, const EngineOrder &order)
    {
        FakeEngine &engine = this->engines.at(order.upstream);
        OrderReply reply = OrderReply::Accepted;
        if (this->now >= order.notAfter || !engine.up) {
            reply = OrderReply::Failed;
        } else if (engine.honoursFencing && order.fencingToken < engine.fence) {
            reply = OrderReply::StaleFencingToken;
        } else if (order.image.version != engine.version && engine.loading.empty()) {
            this->cutGenerations += this->now < engine.busyUntil ? 1 : 0;
            engine.loading = order.image.version;
            engine.loadedAt = this->now + loadTime;
            engine.fence = order.fencingToken;
            engine.orders += 1;
        }
        this->print(member,
                    {{"order", order.upstream},
                     {"fence", order.fencingToken},
                     {"version", order.image.version},
                     {"reply", name(reply)}});
        const std::string detail = this->now >= order.notAfter ? "this process was paused" : "";
        this->perform(member,
                      this->stewards.at(member).handleOrderReply(order, reply, detail, this->now));
    }

    void print(const std::string &member, const Json &line)
    {
        Json effect {{"atMs", this->now.time_since_epoch().count() / 1'000}, {"member", member}};
        effect.update(line);
        this->lines << Json {{"effect", effect}}.dump() << "\n";
    }

    void count()
    {
        int serving = 0;
        int loading = 0;
        for (const auto &[name, engine] : this->engines) {
            serving += engine.up && engine.accepting && engine.loading.empty() ? 1 : 0;
            loading += engine.up && !engine.loading.empty() ? 1 : 0;
        }
        this->fewestServing = std::min(this->fewestServing, serving);
        this->mostLoading = std::max(this->mostLoading, loading);
    }

    const int engineCount;
    const RolloutLimits limits;
    Instant now;
    std::uint64_t revision = 1;
    std::string version;
    std::string paused;
    std::map<std::string, RolloutController> stewards;
    RolloutPermits permits {Instant()};
    std::map<std::string, FakeEngine> engines;
    std::map<std::string, std::vector<EngineOrder>> held; ///< Decided, not sent yet.
    std::ostringstream lines;
    int fewestServing = 1'000;
    int mostLoading = 0;
    int cutGenerations = 0;
};

} // namespace

std::string replayRollout(const std::string &recorded, json::Faults &faults)
{
    std::istringstream in(recorded);
    std::string replayed;
    std::optional<Rollout> rollout;
    for (std::string line; std::getline(in, line);) {
        if (line.empty() || line.front() == '#') {
            replayed += line + "\n";
            continue;
        }
        const auto parsed = json::parseText(line, faults);
        if (!parsed || parsed->contains("effect")) {
            continue;
        }
        const Json json = *parsed;
        if (json.contains("options")) {
            rollout.emplace(json.at("options"));
            replayed += line + "\n";
        } else if (rollout) {
            replayed += rollout->advance(Instant(milliseconds(json.value("atMs", 0))));
            replayed += line + "\n";
            rollout->handle(json.at("event"));
        }
    }
    return rollout ? replayed + rollout->summary() : replayed;
}

} // namespace azurespindle::tests
