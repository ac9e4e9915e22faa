#include "version_script.h"

namespace azurespindle::soak {
namespace {

constexpr std::size_t routeCounts[] = {0, 700, 1'400, 2'848};
constexpr std::size_t mostVersions = 4;
constexpr int mostSeriesMs = 1'200;
constexpr std::size_t mostRequestsPerSecond = 5;

} // namespace

void VersionScript::beginOne()
{
    switch (this->pick(5)) {
    case 0:
    case 1:
        this->publishSeries();
        break;
    case 2:
    case 3:
        this->limitPlain();
        break;
    default:
        FaultScript::beginOne();
        break;
    }
}

void VersionScript::publishSeries()
{
    const std::size_t routes = routeCounts[this->pick(std::size(routeCounts))];
    const std::size_t count = 1 + this->pick(mostVersions);
    this->publishVersion(routes);
    for (std::size_t version = 1; version < count; ++version) {
        this->later(this->between(0, mostSeriesMs),
                    [this, routes] { this->publishVersion(routes); });
    }
}

void VersionScript::limitPlain()
{
    const std::size_t plain = this->pick(this->fleet.settings().plains);
    if (!this->limited.insert(plain).second) {
        return;
    }
    const double limit = static_cast<double>(1 + this->pick(mostRequestsPerSecond));
    const milliseconds time = this->between(6'000, 10'000);
    this->note("plain " + std::to_string(plain) + " takes " + std::to_string(limit)
               + " a second for " + std::to_string(time.count()));
    this->fleet.plain(plain).setNamedLimit(limit);
    const Instant named = monotonicNow();
    this->later(time, [this, plain, limit, named] {
        this->fleet.checkLimit(plain, limit, named);
        this->fleet.plain(plain).setNamedLimit(0.0);
        this->limited.erase(plain);
    });
}

} // namespace azurespindle::soak
