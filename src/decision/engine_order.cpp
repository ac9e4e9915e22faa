#include "decision/engine_order.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

bool contains(const std::vector<std::string> &all, const std::string &one)
{
    return std::find(all.begin(), all.end(), one) != all.end();
}

bool matches(const std::string &actual, const std::string &wanted)
{
    return wanted.empty() || actual == wanted;
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

bool satisfies(const EngineImage &actual, const EngineImage &wanted)
{
    const auto loaded
        = [&](const std::string &adapter) { return contains(actual.adapters, adapter); };
    return matches(actual.model, wanted.model) && matches(actual.version, wanted.version)
        && matches(actual.role, wanted.role)
        && std::all_of(wanted.adapters.begin(), wanted.adapters.end(), loaded);
}

bool servesPool(const EngineImage &image, const std::string &pool)
{
    // An engine that does not tell its model or role is taken at the VM list's word.
    const bool model = image.model.empty() || image.model == pool;
    return model && (image.role.empty() || image.role == servingRole);
}

bool interrupts(const EngineImage &actual, const EngineImage &wanted)
{
    return !matches(actual.model, wanted.model) || !matches(actual.version, wanted.version)
        || !matches(actual.role, wanted.role);
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
