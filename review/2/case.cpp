// A model server that does not notice closed connections leaves while it streams. Checks that no
// request goes on at another server while it still works on it.

#include "../support/engine.h"

#include <cstdio>
#include <memory>
#include <stdexcept>

namespace {

using namespace review;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

constexpr int statusOk = 200;
constexpr unsigned slots = 24;
constexpr milliseconds startPatience {20'000};
constexpr milliseconds settleTime {3'000};
constexpr milliseconds deadline {39'000};
constexpr milliseconds streamTime {3'000};
/// It serves on for some seconds after its notice, as the pages allow ("at times many seconds").
constexpr milliseconds serveOn {9'000};
constexpr std::size_t drafts = 16;
constexpr int draftEvents = 200;
/// What the rule allows a server that is being left.
constexpr milliseconds overlapAllowed {400};

const char *const configuration
    = R"({"version":7,"routes":[{"name":"draft","host":"forge.example","path_prefix":"/draft/",)"
      R"("route_kind":"streaming","service":"drafter","timeout_ms":39000,)"
      R"("target_latency_ms":1800,"target_itl_ms":180,"priority":1,"max_attempts":1,)"
      R"("sticky":true}],"services":[{"name":"drafter","max_conns":252,"cold_per_s":27,)"
      R"("engine":{"slots":24,"kv_capacity":34218,"kv_bytes":262144,"link_mbps":38000,)"
      R"("moves":true,"backups":true,"stride":4,"kv_handle_s":5}}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000},"tenants":[{"name":"forge","api_keys":["key-of-forge"]}]})";

std::string requestFor(const std::string &id)
{
    const std::string body = "events=" + std::to_string(draftEvents);
    return "POST /draft/" + id + " HTTP/1.1\r\nHost: forge.example\r\nAzurespindle-Attempt-Id: "
        + id + "\r\nAzurespindle-Key: key-of-forge\r\nAzurespindle-Model: m\r\n"
        + "Azurespindle-Token-Usage: 1500,1000\r\nAzurespindle-Prompt-Prefix: 5c1e07a2:800,"
        + "91bd3f06:700\r\nAzurespindle-Deadline-Ms: " + std::to_string(deadline.count())
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void draft(const EntryProcess &process, const std::string &id, Record &record)
{
    const Socket connection = Socket::connect(process.settings().callerPort);
    record.note("client sends " + id + " to " + process.settings().name);
    const Answer answer = exchange(connection, requestFor(id), deadline);
    const std::string last = "id: " + std::to_string(draftEvents) + "\n";
    const bool complete
        = answer.status() == statusOk && answer.message.body.find(last) != std::string::npos;
    record.note("client got " + id + ": status " + std::to_string(answer.message.status())
                + (complete ? ", complete" : ", not complete") + " after "
                + std::to_string(answer.took.count()) + " ms");
}

/// Returns the number of requests that went on at a server while another one still worked on them.
std::size_t countOverlaps(const std::vector<std::unique_ptr<Engine>> &engines, Record &record)
{
    std::size_t overlaps = 0;
    for (const auto &later : engines) {
        for (const Engine::Work &second : later->works()) {
            for (const auto &earlier : engines) {
                for (const Engine::Work &first : earlier->works()) {
                    const auto ended
                        = first.ended == Clock::time_point {} ? Clock::now() : first.ended;
                    const auto overlap
                        = std::chrono::duration_cast<milliseconds>(ended - second.began);
                    if (first.request == second.request && first.began < second.began
                        && overlap > overlapAllowed) {
                        overlaps += 1;
                        record.tell(first.request + " went on at " + later->id() + ", and "
                                    + earlier->id() + " worked on it for "
                                    + std::to_string(overlap.count()) + " ms more");
                    }
                }
            }
        }
    }
    return overlaps;
}

int play(const std::string &root, const std::string &folder)
{
    Record record(folder + "/record.txt");
    const TemporaryFolder temporary;
    Store store;
    Engine::Copies copies;
    const bool trouble = troubleWanted();
    record.tell(trouble ? "with the disruption" : "without the disruption");
    store.put("op/config", configuration);
    std::vector<std::unique_ptr<Engine>> engines;
    for (int number = 1; number <= 4; ++number) {
        EngineTraits traits;
        traits.dropsOnClose = number != 1; // Most servers do.
        const std::string id = "engine-" + std::to_string(number);
        engines.push_back(std::make_unique<Engine>(id, traits, copies, record));
        store.put("servers/" + id,
                  serverEntry("drafter", number % 2 == 1 ? "waco-a" : "waco-b",
                              engines.back()->port(), slots));
    }
    EntrySettings settings {"edge-1", "waco-a", store.port(), {}};
    EntrySettings otherSettings {"edge-2", "waco-b", store.port(), {}};
    settings.seeds = {settings.memberPort, otherSettings.memberPort};
    otherSettings.seeds = settings.seeds;
    const EntryProcess process(settings, root, temporary.path());
    const EntryProcess other(otherSettings, root, temporary.path());
    if (!waitUntilReady({&process, &other}, startPatience)) {
        record.tell("the entry processes did not get ready");
        return exitNotRun;
    }
    std::this_thread::sleep_for(settleTime);
    std::vector<std::thread> clients;
    for (std::size_t index = 0; index < drafts; ++index) {
        clients.emplace_back([&, index] {
            draft(index % 2 == 0 ? process : other, "draft-" + std::to_string(index), record);
        });
        std::this_thread::sleep_for(milliseconds(60));
    }
    std::this_thread::sleep_for(streamTime);
    if (trouble) {
        engines.front()->setDraining(true);
        store.put("servers/engine-1",
                  serverEntry("drafter", "waco-a", engines.front()->port(), slots, "draining"));
        record.tell("engine-1 reports draining");
        std::this_thread::sleep_for(serveOn);
        store.remove("servers/engine-1");
        engines.front()->exit();
        record.tell("engine-1 exits");
    }
    for (std::thread &each : clients) {
        each.join();
    }
    const std::size_t overlaps = countOverlaps(engines, record);
    record.tell(std::to_string(overlaps)
                + " requests went on while their server still worked on "
                  "them: "
                + (overlaps > 0 ? "BROKEN" : "held"));
    return overlaps > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int count, char **values)
{
    if (count != 3) {
        std::fprintf(stderr, "usage: case-2 ROOT FOLDER\n");
        return exitNotRun;
    }
    try {
        return play(values[1], values[2]);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "case-2: %s\n", error.what());
        return exitNotRun;
    }
}
