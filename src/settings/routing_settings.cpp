#include "settings/routing_settings.h"

#include "base/text_file.h"

namespace azurespindle::settings {
namespace {

constexpr double millisecondsPerSecond = 1'000.0;

milliseconds readSeconds(json::ObjectReader &reader, const std::string &name, milliseconds fallback)
{
    const double given = reader.number(
        name, {0.1, 86'400.0}, static_cast<double>(fallback.count()) / millisecondsPerSecond);
    return milliseconds(static_cast<std::int64_t>(given * millisecondsPerSecond));
}

FleetBounds readBounds(json::ObjectReader &reader)
{
    FleetBounds bounds;
    bounds.retryShare = reader.number("retryShare", {0.0, 10.0}, bounds.retryShare);
    bounds.retryBurst = reader.number("retryBurst", {0.0, 1e6}, bounds.retryBurst);
    bounds.retryWindow = readSeconds(reader, "retryWindowSeconds", bounds.retryWindow);
    bounds.stopTimeout = readSeconds(reader, "stopSeconds", bounds.stopTimeout);
    return bounds;
}

} // namespace

bool isRoutingSettings(const nlohmann::json &document)
{
    return document.is_object() && document.contains("publisherAddress");
}

RoutingSettings parseRoutingSettings(const nlohmann::json &document, json::Faults &faults)
{
    json::ObjectReader reader(document, "$", faults);
    RoutingSettings settings;
    settings.name = reader.requiredText("name");
    settings.zone = reader.requiredText("zone");
    settings.callerAddress = readAddress(reader, "callerAddress");
    settings.readyAddress = readAddress(reader, "readyAddress");
    settings.readyPath = reader.text("readyPath", settings.readyPath);
    settings.memberAddress = readAddress(reader, "memberAddress");
    if (reader.has("announcedMemberAddress")) {
        settings.announcedMemberAddress = readAddress(reader, "announcedMemberAddress");
    }
    settings.publisherAddress = readAddress(reader, "publisherAddress");
    if (reader.has("metricsAddress")) {
        settings.metricsAddress = readAddress(reader, "metricsAddress");
    }
    settings.seeds = readSeeds(reader);
    reader.object("regionOfZone", [&](json::ObjectReader &regions) {
        for (const std::string &zone : regions.names()) {
            settings.regionOfZone[zone] = regions.requiredText(zone);
        }
    });
    const std::string format = reader.choice("logFormat", {"text", "json"}, "json");
    settings.logFormat = format == "json" ? LogFormat::Json : LogFormat::Text;
    settings.descriptors = readSize(reader, "descriptors", {64, 10'000'000}, settings.descriptors);
    settings.processorShare
        = reader.number("processorShare", {0.001, 1e3}, settings.processorShare);
    settings.linkMegabits = reader.number("linkMegabits", {0.001, 1e6}, settings.linkMegabits);
    settings.memoryMegabytes
        = reader.number("memoryMegabytes", {16.0, 16'777'216.0}, settings.memoryMegabytes);
    reader.object("bounds",
                  [&](json::ObjectReader &bounds) { settings.bounds = readBounds(bounds); });
    reader.finish();
    return settings;
}

Result<RoutingSettings> loadRoutingSettings(const std::string &path)
{
    Result<std::string> text = readTextFile(path);
    if (!text.ok()) {
        return text.error();
    }
    json::Faults faults;
    const auto document = json::parseText(text.value(), faults);
    RoutingSettings settings;
    if (document) {
        settings = parseRoutingSettings(*document, faults);
    }
    if (!faults.empty()) {
        return Error {ErrorCode::DocumentInvalid, path + json::listFaults(faults)};
    }
    return settings;
}

} // namespace azurespindle::settings
