#include "era_script.h"

namespace azurespindle::soak {
namespace {

constexpr std::size_t faultsPerRestoration = 4;
/// Revisions after the copy that only it lacks, so that its next ones are lower than the known
/// ones.
constexpr std::size_t lostWrites = 400;
constexpr int statusUnavailable = 503;
constexpr int leastAgeMs = 300;
constexpr int mostAgeMs = 3'000;
constexpr int leastOutageMs = 100;
constexpr int mostOutageMs = 800;
/// What its writers wrote is back within about this time of the store's return.
constexpr int mostRewriteMs = 1'800;

} // namespace

void EraScript::beginOne()
{
    if (this->pick(faultsPerRestoration) == 0) {
        this->restoreStore();
    } else {
        FaultScript::beginOne();
    }
}

void EraScript::restoreStore()
{
    if (this->restoring) {
        return;
    }
    this->restoring = true;
    const milliseconds age = this->between(leastAgeMs, mostAgeMs);
    const milliseconds outage = this->between(leastOutageMs, mostOutageMs);
    const milliseconds rewrite = this->between(0, mostRewriteMs);
    this->note("the store comes back from a copy in " + std::to_string(age.count()) + ", away for "
               + std::to_string(outage.count()) + ", written again after "
               + std::to_string(rewrite.count()));
    this->fleet.store().takeCopy();
    for (std::size_t write = 0; write < lostWrites; ++write) {
        this->fleet.store().put("other", std::to_string(write));
    }
    this->later(age, [this, outage, rewrite] {
        this->fleet.calm().disturbAll(outage + rewrite);
        this->fleet.store().failWith(statusUnavailable);
        this->fleet.store().comeBackFromCopy();
        this->later(outage, [this, rewrite] {
            this->fleet.store().failWith(0);
            this->later(rewrite, [this] {
                this->fleet.store().writeAgain();
                this->restoring = false;
                this->changeConfiguration();
            });
        });
    });
}

} // namespace azurespindle::soak
