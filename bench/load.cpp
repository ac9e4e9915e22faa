#include "load.h"

#include "callers/event_id.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurespindle::bench {
namespace {

constexpr double stallThreshold = 0.5;
constexpr int maxAttempts = 4;
constexpr seconds patience {60};

std::string promptText(const Arrival &arrival, decision::Tokens tokens)
{
    std::string prompt = "[tokens=" + std::to_string(tokens) + "] " + arrival.request.workspace
        + " " + std::to_string(arrival.request.id) + " ";
    prompt.resize(
        std::max<std::size_t>(prompt.size(), std::size_t(4) * arrival.request.promptTokens), 'x');
    return prompt;
}

} // namespace

double percentileOf(std::vector<float> &values, double part)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

struct Load::Call
{
    http::ClientRequest request;
    std::string buffer;
    std::string generation;
    std::string lastId;
    decision::Tokens received = 0;
    Instant lastToken;
    int attempts = 0;
    bool done = false;
    bool error = false;
    bool mixed = false;
};

Load::Load(Options given)
    : options(std::move(given)), usable(this->options.entries.size(), true),
      client(std::make_unique<http::Client>())
{ }

Load::~Load()
{
    if (this->thread.joinable()) {
        this->thread.join();
    }
    this->client.reset();
}

void Load::start()
{
    this->started = monotonicNow();
    this->thread = std::thread([this] { this->run(); });
}

void Load::setUsable(std::size_t entry, bool isUsable)
{
    const std::lock_guard lock(this->mutex);
    this->usable[entry] = isUsable;
}

void Load::run()
{
    Workload workload(this->options.workload, this->options.seed);
    while (true) {
        const Arrival arrival = workload.next();
        const microseconds offset = arrival.at.time_since_epoch();
        if (offset >= this->options.duration) {
            return;
        }
        const microseconds wait = this->started + offset - monotonicNow();
        if (wait.count() > 0) {
            std::this_thread::sleep_for(wait);
        }
        this->begin(arrival);
    }
}

std::string Load::nextEntry()
{
    for (std::size_t step = 0; step < this->usable.size(); ++step) {
        this->turn = (this->turn + 1) % this->usable.size();
        if (this->usable[this->turn]) {
            break;
        }
    }
    return this->options.entries[this->turn];
}

SecondOfService &Load::second()
{
    const auto index = static_cast<std::size_t>(inSeconds(monotonicNow() - this->started));
    if (this->seen.seconds.size() <= index) {
        this->seen.seconds.resize(index + 1);
    }
    return this->seen.seconds[index];
}

void Load::begin(const Arrival &arrival)
{
    const double bounded = std::min<double>(arrival.outputTokens, this->options.maxOutput);
    const auto tokens = static_cast<decision::Tokens>(bounded);
    auto call = std::make_shared<Call>();
    call->request.method = "POST";
    call->request.body = nlohmann::json {{"model", "m"},
                                         {"stream", true},
                                         {"max_tokens", 65'536},
                                         {"prompt", promptText(arrival, tokens)}}
                             .dump();
    call->request.headers = {{"x-workspace", arrival.request.workspace},
                             {"x-class", arrival.request.trafficClass},
                             {"x-priority", name(arrival.request.priority)}};
    call->lastToken = monotonicNow();
    const std::lock_guard lock(this->mutex);
    this->open += 1;
    this->seen.begun += 1;
    this->second().begun += 1;
    this->send(call);
}

void Load::send(const std::shared_ptr<Call> &call)
{
    call->attempts += 1;
    call->buffer.clear();
    http::ClientRequest request = call->request;
    request.url = this->nextEntry() + "/v1/completions";
    if (!call->lastId.empty()) {
        request.headers["last-event-id"] = call->lastId;
    }
    http::TransferCallbacks callbacks;
    callbacks.onData = [this, call](std::string_view bytes) {
        const std::lock_guard lock(this->mutex);
        this->take(*call, bytes);
        return true;
    };
    callbacks.onDone = [this, call](const http::TransferResult &result) {
        const std::lock_guard lock(this->mutex);
        this->end(call, result);
    };
    this->client->start(std::move(request), std::move(callbacks));
}

void Load::take(Call &call, std::string_view bytes)
{
    call.buffer += bytes;
    std::size_t begin = 0;
    for (std::size_t at = call.buffer.find("\n\n"); at != std::string::npos;
         at = call.buffer.find("\n\n", begin)) {
        this->takeEvent(call, call.buffer.substr(begin, at - begin));
        begin = at + 2;
    }
    call.buffer.erase(0, begin);
}

void Load::takeEvent(Call &call, const std::string &event)
{
    if (event == "data: [DONE]") {
        call.done = true;
        return;
    }
    if (event.rfind("event: error", 0) == 0) {
        call.error = true;
        return;
    }
    const std::string id = event.substr(4, event.find('\n') - 4);
    const auto point = callers::parseEventId(id);
    const bool foreign = point && !call.generation.empty() && point->generation != call.generation;
    if (!point || foreign || point->offset != call.received + 1) {
        call.mixed = true;
        return;
    }
    const Instant now = monotonicNow();
    const double gap = inSeconds(now - call.lastToken);
    (call.received == 0 ? this->seen.firstTokens : this->seen.gaps)
        .push_back(static_cast<float>(gap));
    SecondOfService &second = this->second();
    second.stallSeconds += call.received > 0 && gap > stallThreshold ? gap : 0.0;
    second.tokens += 1;
    call.generation = point->generation;
    call.lastId = id;
    call.received += 1;
    call.lastToken = now;
}

void Load::end(const std::shared_ptr<Call> &call, const http::TransferResult &result)
{
    const bool silentEnd = !call->done && !call->error
        && (result.end != http::TransferEnd::Complete || result.status == 200);
    if (silentEnd && call->attempts < maxAttempts) {
        this->seen.resumed += call->received > 0 ? 1 : 0;
        this->send(call);
        return;
    }
    this->open -= 1;
    this->seen.mixed += call->mixed ? 1 : 0;
    if (call->done) {
        this->seen.finished += 1;
        this->second().finished += 1;
        return;
    }
    this->second().failed += 1;
    if (call->error) {
        this->seen.broken += 1;
    } else if (call->received > 0) {
        this->seen.cut += 1;
    } else {
        this->seen.refused += 1;
    }
}

LoadResult Load::finish()
{
    this->thread.join();
    const Instant deadline = monotonicNow() + patience;
    while (monotonicNow() < deadline) {
        {
            const std::lock_guard lock(this->mutex);
            if (this->open == 0) {
                break;
            }
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    const std::lock_guard lock(this->mutex);
    this->seen.cut += this->open;
    return this->seen;
}

} // namespace azurespindle::bench
