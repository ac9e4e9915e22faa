#include "standins/engine_model.h"

#include "decision/prefix_index.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::standins {
namespace {

constexpr Tokens poisonToken = 3;
constexpr microseconds restartTime = std::chrono::seconds(2);
constexpr std::size_t historyKept = 256;

bool lessImportant(const decision::Priority a, const std::uint64_t ageA, const decision::Priority b,
                   const std::uint64_t ageB)
{
    return a != b ? a < b : ageA > ageB;
}

} // namespace

EngineModel::EngineModel(EngineOptions options)
    : options(options), boot(options.seed * 1'000 + 1),
      bears(options.startsWarm ? options.maxBatch : options.coldBearable),
      cached(options.prefixCacheTokens / decision::prefixBlockTokens)
{ }

bool EngineModel::knows(const std::string &id) const
{
    const auto same = [&](const Generation &each) { return each.order.id == id; };
    return std::any_of(this->batch.begin(), this->batch.end(), same)
        || std::any_of(this->queue.begin(), this->queue.end(), same);
}

bool EngineModel::admit(const GenerationOrder &order, Instant now)
{
    if (!this->up(now)) {
        return false;
    }
    this->clock = std::max(this->clock, now);
    const std::size_t load = this->batch.size() + this->queue.size() + 1;
    if (static_cast<double>(load) > this->options.collapseFactor * this->bears
        && this->bears < this->options.maxBatch) {
        this->strainedAdmissions += 1;
        if (this->strainedAdmissions >= this->options.collapseAdmissions) {
            this->collapsed += 1;
            this->crash(now, restartTime);
            return false;
        }
    } else {
        this->strainedAdmissions = 0;
    }
    Generation generation;
    generation.order = order;
    generation.prefillLeft = order.promptTokens - this->cachedPrefix(order);
    generation.age = ++this->admitted;
    this->queue.push_back(generation);
    this->rememberPrefix(order);
    this->noteLoad(now);
    if (this->stepEnd == Instant::max()) {
        this->scheduleStep(now);
    }
    return true;
}

Tokens EngineModel::cachedPrefix(const GenerationOrder &order) const
{
    Tokens tokens = 0;
    for (const std::uint64_t block : order.prefixBlocks) {
        if (this->cached.find(block) == nullptr) {
            break;
        }
        tokens += decision::prefixBlockTokens;
    }
    return std::min(tokens, order.promptTokens);
}

void EngineModel::rememberPrefix(const GenerationOrder &order)
{
    // Last block first: a prompt is forgotten from its end.
    std::for_each(order.prefixBlocks.rbegin(), order.prefixBlocks.rend(),
                  [this](std::uint64_t block) { this->rememberBlock(block); });
}

void EngineModel::rememberBlock(std::uint64_t block)
{
    if (this->cached.find(block) == nullptr) {
        this->cacheAdded.push_back(block);
        if (this->cached.size() >= this->cached.capacity()) {
            this->cacheDropped.push_back(*this->cached.oldest());
        }
    }
    this->cached.touch(block);
}

std::pair<std::vector<std::uint64_t>, std::vector<std::uint64_t>> EngineModel::takeCacheChanges()
{
    return {std::exchange(this->cacheAdded, {}), std::exchange(this->cacheDropped, {})};
}

void EngineModel::cancel(const std::string &id)
{
    const auto same = [&](const Generation &each) { return each.order.id == id; };
    this->batch.remove_if(same);
    this->queue.remove_if(same);
}

Tokens EngineModel::memoryUsed() const
{
    Tokens used = 0;
    for (const Generation &each : this->batch) {
        used += each.order.promptTokens + each.produced;
    }
    return used;
}

double EngineModel::stepSeconds(Tokens prefill) const
{
    const double running = static_cast<double>(this->batch.size());
    double time = inSeconds(this->options.baseStep)
        + running * inSeconds(this->options.stepPerGeneration)
        + this->memoryUsed() / 1'000.0 * inSeconds(this->options.stepPerThousandTokens);
    const double strain = std::max(1.0, running / this->bears);
    return time * strain + prefill / this->options.prefillTokensPerSecond;
}

void EngineModel::fillBatch()
{
    while (!this->queue.empty() && this->batch.size() < this->options.maxBatch) {
        const auto next = std::max_element(
            this->queue.begin(), this->queue.end(), [](const Generation &a, const Generation &b) {
                return lessImportant(a.order.priority, a.age, b.order.priority, b.age);
            });
        const Tokens needed = next->order.promptTokens + next->produced + 1;
        const bool fits = this->memoryUsed() + needed <= this->options.memoryTokens;
        if (!fits && !this->batch.empty()) {
            return;
        }
        this->batch.splice(this->batch.end(), this->queue, next);
    }
}

bool EngineModel::preemptOne()
{
    if (this->batch.size() < 2) {
        return false;
    }
    const auto victim = std::min_element(
        this->batch.begin(), this->batch.end(), [](const Generation &a, const Generation &b) {
            return lessImportant(a.order.priority, a.age, b.order.priority, b.age);
        });
    victim->prefillLeft = victim->order.promptTokens + victim->produced;
    this->queue.splice(this->queue.begin(), this->batch, victim);
    this->preempted += 1;
    return true;
}

Tokens EngineModel::prefillStep()
{
    Tokens budget = this->options.prefillChunk;
    for (Generation &each : this->batch) {
        const Tokens taken = std::min(budget, each.prefillLeft);
        each.prefillLeft -= taken;
        budget -= taken;
    }
    return this->options.prefillChunk - budget;
}

void EngineModel::scheduleStep(Instant now)
{
    this->fillBatch();
    if (this->batch.empty()) {
        this->stepEnd = Instant::max();
        return;
    }
    this->stepPrefill = this->prefillStep();
    const double time = this->stepSeconds(this->stepPrefill);
    this->stepEnd = now + microseconds(std::llround(time * 1e6));
}

void EngineModel::runStep(std::vector<Emission> &emissions)
{
    const Instant at = this->stepEnd;
    std::vector<std::string> done;
    bool poisoned = false;
    for (Generation &each : this->batch) {
        if (each.prefillLeft > 0) {
            continue;
        }
        const bool finished = each.produced + 1 >= each.order.outputTokens;
        emissions.push_back({each.order.id, each.produced, at, finished});
        each.produced += 1;
        poisoned = poisoned || (each.order.poison && each.produced >= poisonToken);
        if (finished) {
            done.push_back(each.order.id);
        }
    }
    for (const std::string &id : done) {
        this->cancel(id);
    }
    while (this->memoryUsed() + this->batch.size() > this->options.memoryTokens) {
        if (!this->preemptOne()) {
            break;
        }
    }
    const double load = static_cast<double>(this->batch.size());
    if (load > 0.5 * this->bears && load <= this->options.collapseFactor * this->bears) {
        const double warmer = this->bears * (1.0 + this->options.warmingPerStep);
        this->bears = std::min<double>(warmer, this->options.maxBatch);
    }
    this->noteLoad(at);
    if (poisoned) {
        this->crash(at, restartTime);
        return;
    }
    this->scheduleStep(at);
}

std::vector<Emission> EngineModel::advance(Instant now)
{
    std::vector<Emission> emissions;
    while (this->stepEnd <= now && this->stepEnd != Instant::max()) {
        this->runStep(emissions);
    }
    this->clock = std::max(this->clock, now);
    return emissions;
}

void EngineModel::crash(Instant now, microseconds downFor)
{
    this->reset();
    this->died += 1;
    this->boot += 1;
    this->downUntil = now + downFor;
}

void EngineModel::reset()
{
    this->batch.clear();
    this->queue.clear();
    this->stepEnd = Instant::max();
    this->strainedAdmissions = 0;
    this->bears = this->options.coldBearable;
    this->cached.eraseIf([](std::uint64_t, const Mark &) { return true; });
    this->cacheAdded.clear();
    this->cacheDropped.clear();
    this->history.clear();
}

void EngineModel::turnCold()
{
    this->bears = this->options.coldBearable;
    this->strainedAdmissions = 0;
}

void EngineModel::noteLoad(Instant now)
{
    const LoadReport load {this->boot,
                           this->options.memoryTokens,
                           this->memoryUsed(),
                           static_cast<std::uint32_t>(this->batch.size()),
                           static_cast<std::uint32_t>(this->queue.size()),
                           this->preempted};
    this->history.emplace_back(now, load);
    while (this->history.size() > historyKept) {
        this->history.pop_front();
    }
}

LoadReport EngineModel::report(Instant now) const
{
    LoadReport seen {this->boot, this->options.memoryTokens, 0, 0, 0, this->preempted};
    for (const auto &[at, load] : this->history) {
        if (at + this->options.reportLag > now) {
            break;
        }
        seen = load;
    }
    return seen;
}

Instant EngineModel::nextStep() const
{
    return this->stepEnd;
}

} // namespace azurespindle::standins
