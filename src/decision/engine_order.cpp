#include "decision/engine_order.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

bool contains(const std::vector<std::string> &all, const std::string &one)
{
    return std::find(all.begin(), all.end(), one) != all.end();
}

bool matches(const std::string &actual, const std::string &desired)
{
    return desired.empty() || actual == desired;
}

} // namespace

std::string toText(const EngineImage &image)
{
    std::string text = image.model + ":" + image.version;
    for (const std::string &adapter : image.adapters) {
        text += "+" + adapter;
    }
    const bool serving = image.role.empty() || image.role == servingRole;
    return serving ? text : text + "/" + image.role;
}

bool satisfies(const EngineImage &actual, const EngineImage &desired)
{
    const auto loaded
        = [&](const std::string &adapter) { return contains(actual.adapters, adapter); };
    return matches(actual.model, desired.model) && matches(actual.version, desired.version)
        && matches(actual.role, desired.role)
        && std::all_of(desired.adapters.begin(), desired.adapters.end(), loaded);
}

bool servesPool(const EngineImage &image, const std::string &pool)
{
    // An engine that does not report its model or role is trusted to be as the VM list says.
    const bool model = image.model.empty() || image.model == pool;
    return model && (image.role.empty() || image.role == servingRole);
}

bool interrupts(const EngineImage &actual, const EngineImage &desired)
{
    return !matches(actual.model, desired.model) || !matches(actual.version, desired.version)
        || !matches(actual.role, desired.role);
}

const char *name(OrderPhase phase)
{
    switch (phase) {
    case OrderPhase::Unseen:
        return "unseen";
    case OrderPhase::Settled:
        return "settled";
    case OrderPhase::Waiting:
        return "waiting";
    case OrderPhase::Draining:
        return "draining";
    case OrderPhase::Ordered:
        return "ordered";
    case OrderPhase::Loading:
        return "loading";
    }
    return "unseen";
}

} // namespace azurespindle::decision
