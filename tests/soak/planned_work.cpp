#include "planned_work.h"

#include <algorithm>

namespace azurespindle::soak {

void PlannedWork::noteStop(std::size_t process)
{
    const std::lock_guard lock(this->mutex);
    this->stops[process].push_back(monotonicNow());
}

void PlannedWork::noteEnded(std::size_t process)
{
    const std::lock_guard lock(this->mutex);
    this->endings[process].push_back(monotonicNow());
}

void PlannedWork::note(const std::string &what, std::optional<std::size_t> process)
{
    const std::lock_guard lock(this->mutex);
    this->noted.push_back({monotonicNow(), what, process});
}

void PlannedWork::disturbPlain(milliseconds duration)
{
    const std::lock_guard lock(this->mutex);
    const Instant now = monotonicNow();
    this->plainTroubles.push_back({now, now + duration});
}

std::vector<std::size_t> PlannedWork::stopping() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::size_t> found;
    for (std::size_t process = 0; process < this->stops.size(); ++process) {
        if (this->stops[process].size() > this->endings[process].size()) {
            found.push_back(process);
        }
    }
    return found;
}

std::optional<Instant> PlannedWork::stopDuring(std::size_t process, Instant from, Instant to) const
{
    const std::lock_guard lock(this->mutex);
    const std::vector<Instant> &ends = this->endings[process];
    std::optional<Instant> found;
    for (std::size_t life = 0; life < this->stops[process].size(); ++life) {
        const Instant stoppedAt = this->stops[process][life];
        if (stoppedAt <= to && (life >= ends.size() || from <= ends[life])) {
            found = stoppedAt;
        }
    }
    return found;
}

bool PlannedWork::plainDisturbed(Instant from, Instant to) const
{
    const std::lock_guard lock(this->mutex);
    return std::any_of(this->plainTroubles.begin(), this->plainTroubles.end(),
                       [&](const Period &each) { return each.from <= to && from <= each.to; });
}

std::string PlannedWork::notedBefore(std::size_t process, Instant time, milliseconds age) const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const Noted &each : this->noted) {
        const bool met = !each.process || *each.process == process;
        if (met && each.at <= time && time - each.at <= age) {
            text += "; " + each.what + " "
                + std::to_string(std::chrono::duration_cast<milliseconds>(time - each.at).count())
                + " ms before its end";
        }
    }
    return text;
}

} // namespace azurespindle::soak
