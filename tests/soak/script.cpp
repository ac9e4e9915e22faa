#include "script.h"

#include <thread>
#include <utility>

namespace azurespindle::soak {
namespace {

constexpr int leastPauseMs = 80;
constexpr int mostPauseMs = 700;
constexpr milliseconds healPoll {5};

} // namespace

Script::Script(SoakFleet &fleet) : fleet(fleet), random(fleet.settings().seed)
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
    while (monotonicNow() < until) {
        while (!this->heals.empty() && this->heals.begin()->first <= monotonicNow()) {
            const Heal heal = this->heals.begin()->second;
            this->heals.erase(this->heals.begin());
            heal();
        }
        std::this_thread::sleep_for(healPoll);
    }
    if (!this->heals.empty() && this->heals.begin()->first <= until) {
        const Heal heal = this->heals.begin()->second;
        this->heals.erase(this->heals.begin());
        heal();
    }
}

} // namespace azurespindle::soak
