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

constexpr milliseconds stepDuration {500};
constexpr milliseconds loadDuration {3'000};
/// Time from the end of loading until an engine is warm.
constexpr milliseconds warmUpDuration {4'000};
/// Time after its last new request until an engine is idle.
constexpr milliseconds drainDuration {1'500};

/// Engine that loads versions for a fixed time.
struct FakeEngine
{
    std::string version = "v1";
    std::string loading;    ///< Version that is being loaded; empty: none.
    std::string controller; ///< Member whose rollout controller manages the engine.
    bool up = true;
    bool accepting = true;
    bool honoursFencing = true;
    std::uint64_t fence = 0; ///< Fencing token of the last order accepted.
    int orders = 0;
    Instant busyUntil = Instant::max(); ///< An engine that accepts requests is always busy.
    Instant loadCompletesAt;
    Instant warmAt;
};

/// Simulates the rollout controllers of members "a" and "b", the permits and the engines in virtual
/// time.
class RolloutReplay
{
public:
    explicit RolloutReplay(const Json &options)
        : engineCount(options.value("engines", 6)), limits {options.value("loadsPerMinute", 60.0),
                                                            options.value("maxLoadingShare", 0.1),
                                                            static_cast<std::size_t>(engineCount)}
    {
        this->controllers.emplace("a", RolloutController("a#1"));
        this->controllers.emplace("b", RolloutController("b#1"));
        for (int index = 1; index <= this->engineCount; ++index) {
            FakeEngine engine;
            engine.controller = index * 2 <= this->engineCount ? "a" : "b";
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
            this->publishToAll();
        } else if (type == "EngineLost") {
            this->engines.at(subject).up = false;
        } else if (type == "EngineBack") {
            FakeEngine fresh;
            fresh.controller = this->engines.at(subject).controller;
            this->engines.at(subject) = fresh;
        } else if (type == "Pause") {
            this->paused = subject;
        } else if (type == "Wake") {
            this->paused.clear();
        } else if (type == "LateOrder") {
            // Sent by a process that was paused between its last check and sending.
            EngineOrder order {subject, event.at("fence"), {}, Instant::max()};
            order.image.version = event.at("version");
            this->deliverOrder(this->engines.at(subject).controller, order);
        }
    }

    /// Advances the simulation to \a end. \return the effects as lines of JSON.
    std::string advance(Instant end)
    {
        while (this->now + stepDuration <= end) {
            this->now += stepDuration;
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
            this->completeLoading(engine);
        }
        for (auto &[name, controller] : this->controllers) {
            // An order that was decided immediately before a pause is sent when the process
            // resumes.
            if (name == this->paused) {
                continue;
            }
            for (const EngineOrder &order : std::exchange(this->delayedOrders[name], {})) {
                this->deliverOrder(name, order);
            }
            for (const auto &[upstream, engine] : this->engines) {
                if (engine.controller == name && engine.up) {
                    this->performEffects(
                        name,
                        controller.recordObservation(this->observe(upstream, engine), this->now));
                }
            }
            this->performEffects(name, controller.tick(this->now));
        }
        this->updateExtremes();
    }

    void completeLoading(FakeEngine &engine) const
    {
        if (!engine.loading.empty() && this->now >= engine.loadCompletesAt) {
            engine.version = std::exchange(engine.loading, "");
            engine.warmAt = this->now + warmUpDuration;
        }
    }

    EngineObservation observe(const std::string &name, const FakeEngine &engine) const
    {
        const bool busy = engine.loading.empty() && this->now < engine.busyUntil;
        return {name,           {"", engine.version, {}, ""},
                engine.loading, busy ? 3U : 0U,
                busy ? 3U : 0U, engine.loading.empty() && this->now >= engine.warmAt};
    }

    void publishToAll()
    {
        for (auto &[name, engine] : this->engines) {
            if (engine.controller == this->paused) {
                continue;
            }
            const DesiredImage wanted {
                name, "m", this->revision, {"", this->version, {}, ""}, engine.honoursFencing};
            this->performEffects(
                engine.controller,
                this->controllers.at(engine.controller).setDesiredImage(wanted, this->now));
        }
    }

    void performEffects(const std::string &member, const RolloutEffects &effects)
    {
        for (const RolloutEffect &effect : effects) {
            if (const auto *ask = std::get_if<RequestPermit>(&effect)) {
                this->answerPermitRequest(member, ask->request);
            } else if (const auto *send = std::get_if<SendOrder>(&effect)) {
                this->delayedOrders[member].push_back(send->order);
            } else if (const auto *accepting = std::get_if<SetAccepting>(&effect)) {
                FakeEngine &engine = this->engines.at(accepting->upstream);
                engine.accepting = accepting->accepting;
                engine.busyUntil = engine.accepting ? Instant::max() : this->now + drainDuration;
            } else if (const auto *entry = std::get_if<LogRolloutEvent>(&effect)) {
                Json line {{"event", journal::describe(entry->entry.id).name}};
                for (const journal::Field &field : entry->entry.fields) {
                    line[field.name] = field.value;
                }
                this->addLine(member, line);
            }
        }
    }

    void answerPermitRequest(const std::string &member, const PermitRequest &request)
    {
        const PermitAnswer answer = this->permits.handle(request, this->limits, this->now);
        this->performEffects(member,
                             this->controllers.at(member).handlePermitAnswer(answer, this->now));
    }

    void deliverOrder(const std::string &member, const EngineOrder &order)
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
            engine.loadCompletesAt = this->now + loadDuration;
            engine.fence = order.fencingToken;
            engine.orders += 1;
        }
        this->addLine(member,
                      {{"order", order.upstream},
                       {"fence", order.fencingToken},
                       {"version", order.image.version},
                       {"reply", name(reply)}});
        const std::string detail = this->now >= order.notAfter ? "this process was paused" : "";
        this->performEffects(
            member, this->controllers.at(member).handleOrderReply(order, reply, detail, this->now));
    }

    void addLine(const std::string &member, const Json &line)
    {
        Json effect {{"atMs", this->now.time_since_epoch().count() / 1'000}, {"member", member}};
        effect.update(line);
        this->lines << Json {{"effect", effect}}.dump() << "\n";
    }

    void updateExtremes()
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
    std::string paused; ///< Member whose process is paused; empty: none.
    std::map<std::string, RolloutController> controllers;
    RolloutPermits permits {Instant()};
    std::map<std::string, FakeEngine> engines;
    /// Orders decided but not sent yet, by member.
    std::map<std::string, std::vector<EngineOrder>> delayedOrders;
    std::ostringstream lines;
    int fewestServing = 1'000;
    int mostLoading = 0;
    int cutGenerations = 0; ///< Orders that interrupted running requests.
};

} // namespace

std::string replayRollout(const std::string &recorded, json::Faults &faults)
{
    std::istringstream in(recorded);
    std::string replayed;
    std::optional<RolloutReplay> rollout;
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
