#include "handover_script.h"

namespace azurespindle::soak {
namespace {

constexpr std::size_t mostAtOnce = 3;
constexpr int leastNoticeMs = 1'200;
/// Engines serve on for many seconds at times.
constexpr int mostNoticeMs = 9'000;

} // namespace

void HandoverScript::beginOne()
{
    switch (this->pick(12)) {
    case 0:
        this->changeConfiguration();
        break;
    case 1:
        this->reloadProcess();
        break;
    case 2:
        this->stopProcess(true);
        break;
    case 3:
    case 4:
        this->harmEngine();
        break;
    default:
        this->releaseSeries();
        break;
    }
}

void HandoverScript::releaseSeries()
{
    const std::size_t count = 1 + this->pick(mostAtOnce);
    for (std::size_t each = 0; each < count; ++each) {
        const std::size_t engine = this->pick(this->fleet.settings().engines);
        const bool enoughStay = this->busyEngines.size() * 2 < this->fleet.settings().engines;
        if (enoughStay && this->busyEngines.insert(engine).second) {
            this->release(engine);
        }
    }
}

void HandoverScript::release(std::size_t engine)
{
    const milliseconds notice = this->between(leastNoticeMs, mostNoticeMs);
    const bool tellsTime = this->pick(2) == 0;
    this->note("engine " + std::to_string(engine) + " leaves in " + std::to_string(notice.count())
               + (tellsTime ? "" : ", which it does not tell"));
    this->fleet.announceLeaving(engine, notice, tellsTime);
    this->later(notice, [this, engine] {
        this->fleet.finishLeaving(engine);
        this->busyEngines.erase(engine);
    });
}

} // namespace azurespindle::soak
