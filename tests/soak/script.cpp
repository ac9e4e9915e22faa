#include "script.h"

#include <thread>
#include <utility>

namespace azurespindle::soak {
namespace {

constexpr int leastPauseMs = 80;
constexpr int mostPauseMs = 700;
constexpr milliseconds healPoll {5};

} // namespace

Script::Script(SoakFleet &fleet, VersionProber &prober)
    : fleet(fleet), prober(prober), random(fleet.settings().seed)
{ }

void Script::play(seconds duration)
{
    this->began = monotonicNow();
    const Instant end = this->began + duration;
    while (monotonicNow() < end) {
        this->beginOne();
        this->healDue(monotonicNow() + this->between(leastPauseMs, mostPauseMs));
    }
    this->note("healing");
    while (!this->heals.empty()) {
        this->healDue(this->heals.rbegin()->first);
    }
}

milliseconds Script::between(int least, int most)
{
    return milliseconds(least + static_cast<int>(this->pick(most - least + 1)));
}

void Script::note(const std::string &line)
{
    const auto at = (monotonicNow() - this->began).count() / 1'000;
    this->lines.push_back(std::to_string(at) + " ms " + line);
}

void Script::later(milliseconds delay, Heal heal)
{
    this->heals.emplace(monotonicNow() + delay, std::move(heal));
}

void Script::healDue(Instant until)
{
    do {
        while (!this->heals.empty() && this->heals.begin()->first <= monotonicNow()) {
            const Heal heal = this->heals.begin()->second;
            this->heals.erase(this->heals.begin());
            heal();
        }
        std::this_thread::sleep_for(healPoll);
    } while (monotonicNow() < until);
}

void Script::publishVersion(std::size_t furtherRoutes)
{
    const std::uint64_t version = this->fleet.publishConfiguration(furtherRoutes);
    this->prober.notePublished(version);
    this->note("configuration " + std::to_string(version) + " with " + std::to_string(furtherRoutes)
               + " further routes");
}

} // namespace azurespindle::soak
