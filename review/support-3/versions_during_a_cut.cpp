// A zone is cut off from the store while the operator sends a series of large configurations. After
// the cut, the processes have to put the newest one into force.

#include "kit.h"

#include <algorithm>

#include <csignal>
#include <cstdlib>
#include <memory>

using namespace review3;

namespace {

constexpr double historySeconds = 20.0;
constexpr double cutSeconds = 5.5;       // zone_cut, for_s
constexpr double contactSeconds = 3.0;   // contact_ms
constexpr double applySeconds = 2.0;     // config_apply_ms
constexpr double stormGapSeconds = 0.33; // config_storm, gap_s
constexpr int stormVersions = 12;        // config_storm, for_s = 4 at that gap
constexpr int routesBeside = 2'700;
constexpr double watchSeconds = 20.0;
constexpr std::size_t valueBytes = 1'048'576; // value_bytes

const std::string oldKey = "oldkey0000000000000a";
const std::string newKey = "newkey0000000000000b";

std::string routeJson(const std::string &name, const std::string &prefix)
{
    return R"({"name":")" + name + R"(","host":"forge.example","path_prefix":")" + prefix
        + R"(","route_kind":"idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,)"
        + R"("service":"orderdesk","max_attempts":2,"public":false,"sticky":false,)"
        + R"("resumable":false})";
}

/// Returns a configuration. Each has the old key but the last, which has the new one.
std::string configuration(int version, bool last)
{
    std::string routes = routeJson("look", "/look/");
    if (last) {
        routes += "," + routeJson("added", "/added/");
    }
    for (int route = 0; route < routesBeside; ++route) {
        const std::string number = std::to_string(route);
        routes += "," + routeJson("r-" + number, "/beside" + number + "/");
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
        + R"(],"services":[{"name":"orderdesk","health_path":"/healthz","max_conns":110,)"
        + R"("protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
        + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        + R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
        + R"("tenants":[{"name":"ranch","api_keys":[")" + (last ? newKey : oldKey) + R"("]}]})";
}

std::string get(const std::string &path, const std::string &key, int number)
{
    return "GET " + path + " HTTP/1.1\r\nHost: forge.example\r\nAzurespindle-Attempt-Id: a"
        + std::to_string(number) + "\r\nAzurespindle-Deadline-Ms: 1000\r\nAzurespindle-Key: " + key
        + "\r\n\r\n";
}

} // namespace

int main(int count, char **values)
{
    const Arguments arguments = readArguments(count, values);
    Record record(arguments.record);
    const std::string &folder = arguments.folder;
    Store store(historySeconds);
    Proxy toStore(store.port());
    store.onCall = [&record](const std::string &path, std::uint64_t after, std::size_t bytes) {
        if (bytes > 1'000) {
            record.line("store answers " + path + " after " + std::to_string(after) + " with "
                        + std::to_string(bytes) + " bytes");
        }
    };
    const std::string id = "i-0000000001";
    HttpServer server([&](int socket, const Request &request) {
        const std::string attempt = request.header("azurespindle-attempt-id");
        const bool meant = request.header("azurespindle-expected-instance") == id;
        record.line("server gets " + attempt + (meant ? " and runs it" : " meant for another"));
        const std::string head = "Azurespindle-Attempt-Id: " + attempt + "\r\n";
        return writeAll(
            socket,
            meant ? response(200, head + "Azurespindle-Server-Seal: s1\r\n", "order " + attempt)
                  : response(421, head + "Azurespindle-Not-Executed: 1\r\n", ""));
    });
    const std::string first = configuration(1, false);
    if (first.size() + 1'000 > valueBytes) {
        return CouldNotRun;
    }
    store.put("op/config", first);
    store.put("servers/" + id,
              R"({"service":"orderdesk","address":")" + server.address()
                  + R"(","zone":"waco-a","version":"v1","slots":6,"state":"ready",)"
                  + R"("cold_left_ms":0,"sequence":1,"born":1790000000000})");

    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<EntrySettings> all(2);
    for (std::size_t index = 0; index < all.size(); ++index) {
        EntrySettings &each = all[index];
        each.name = "edge-waco-a-" + std::to_string(index + 1);
        each.store = toStore.address();
        each.callerPort = freePort();
        each.readyPort = freePort();
        each.memberPort = freePort();
        each.metricsPort = freePort();
    }
    for (EntrySettings &each : all) {
        for (const EntrySettings &seed : all) {
            each.seeds.push_back("127.0.0.1:" + std::to_string(seed.memberPort));
        }
        entries.push_back(std::make_unique<Entry>(each, folder));
        entries.back()->start();
    }
    int result = Held;
    for (const auto &entry : entries) {
        if (!entry->awaitReady(15.0)) {
            record.line(entry->settings().name + " does not become ready");
            result = CouldNotRun;
        }
    }
    int number = 0;
    const auto ask = [&](const Entry &entry, const std::string &path, const std::string &key) {
        number += 1;
        const Answer answer = call(entry.settings().callerPort, get(path, key, number), 2.0);
        record.line(entry.settings().name + " answers a" + std::to_string(number) + " " + path
                    + (key == oldKey ? " with the old key: " : " with the new key: ")
                    + std::to_string(answer.status));
        return answer.status;
    };
    sleepSeconds(contactSeconds + 2.0);
    for (const auto &entry : entries) {
        if (result == Held && ask(*entry, "/look/1", oldKey) != 200) {
            result = CouldNotRun;
        }
    }
    if (result == Held) {
        const int versions = troubled() ? stormVersions : 1;
        if (troubled()) {
            record.line("the zone is cut off from the store");
            toStore.setCut(true);
            sleepSeconds(0.5);
        }
        const double cutEnds = seconds() - 0.5 + cutSeconds;
        for (int version = 2; version <= versions + 1; ++version) {
            const std::string text = configuration(version, version == versions + 1);
            store.put("op/config", text);
            record.line("version " + std::to_string(version) + " of " + std::to_string(text.size())
                        + " bytes is acknowledged");
            sleepSeconds(stormGapSeconds);
        }
        double checkedFrom = seconds() - stormGapSeconds + applySeconds;
        if (troubled()) {
            sleepSeconds(std::max(0.0, cutEnds - seconds()));
            toStore.setCut(false);
            record.line("the cut has healed");
            checkedFrom = seconds() + contactSeconds + applySeconds;
        }
        const double end = seconds() + watchSeconds;
        int stale = 0;
        while (seconds() < end) {
            for (const auto &entry : entries) {
                const bool counts = seconds() >= checkedFrom;
                const int withOldKey = ask(*entry, "/look/2", oldKey);
                const int added = ask(*entry, "/added/1", newKey);
                const bool isStale = withOldKey == 200 || added == 404 || added == 401;
                stale += counts && isStale ? 1 : 0;
                if (counts && isStale) {
                    record.line("CONFIG: " + entry->settings().name
                                + " acts on an older version than the last");
                }
                if (entry->ended()) {
                    record.line(entry->settings().name + " has ended by itself");
                }
            }
            sleepSeconds(0.5);
        }
        record.line("requests handled as only an older version allows: " + std::to_string(stale));
        result = stale > 0 ? Broken : Held;
    }
    entries.clear();
    std::_Exit(result);
}
