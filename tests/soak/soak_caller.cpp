#include "soak_caller.h"

namespace azurespindle::soak {
namespace {

constexpr std::uint64_t steadyPauseMs = 15;
constexpr std::uint64_t mostPauseMs = 70;
constexpr std::uint64_t mostHolderPauseMs = 1'200;
constexpr milliseconds reconnectPause {60};
constexpr milliseconds readyPatience {100};
constexpr std::uint64_t leastEvents = 20;
constexpr std::uint64_t mostSteadyDraftEvents = 500;
constexpr std::uint64_t mostSteadyCheckEvents = 60;
constexpr std::uint64_t mostEvents = 600;
/// Events of a draft that outlasts a stop.
constexpr std::uint64_t leastHolderEvents = 1'400;
constexpr std::uint64_t mostHolderEvents = 2'600;
constexpr std::uint64_t mostOrderBytes = 60'000;
constexpr int slowReceiveBuffer = 4'096; // bytes
constexpr std::size_t slowReadBytes = 2'048;
constexpr milliseconds slowReadPause {25};

const char *name(CallerStyle style)
{
    constexpr const char *names[] = {"steady", "kept", "fresh", "slow", "holder"};
    return names[static_cast<std::size_t>(style)];
}

/// Returns the kinds that callers of a style draw from; Steady ones keep to one of them.
std::vector<RequestKind> kindsOf(CallerStyle style)
{
    using K = RequestKind;
    switch (style) {
    case CallerStyle::Steady:
        return {K::Draft, K::Check, K::Order, K::Look};
    case CallerStyle::Slow:
        return {K::Order, K::Check};
    case CallerStyle::Holder:
        return {K::Draft};
    default:
        return {K::Look,  K::Look,  K::Look,  K::Look,  K::Look,
                K::Order, K::Order, K::Check, K::Check, K::Draft};
    }
}

} // namespace

SoakCaller::SoakCaller(SoakFleet &fleet, Findings &findings, const StopRecord &stops,
                       CallerStyle style, std::uint64_t number)
    : fleet(fleet), findings(findings), stops(stops), style(style), number(number),
      random(fleet.settings().seed * 1'000 + number), thread([this] { this->run(); })
{ }

SoakCaller::~SoakCaller()
{
    this->stop();
}

void SoakCaller::stop()
{
    this->stopping = true;
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void SoakCaller::run()
{
    const bool steady = this->style == CallerStyle::Steady;
    const std::uint64_t leastPause = steady ? steadyPauseMs : 0;
    const std::uint64_t mostPause = steady   ? steadyPauseMs
        : this->style == CallerStyle::Holder ? mostHolderPauseMs
                                             : mostPauseMs;
    while (!this->stopping) {
        if (this->connection == nullptr && !this->connect()) {
            std::this_thread::sleep_for(reconnectPause);
            continue;
        }
        this->sendOne();
        std::this_thread::sleep_for(milliseconds(this->between(leastPause, mostPause)));
    }
}

std::uint64_t SoakCaller::between(std::uint64_t least, std::uint64_t most)
{
    return least + this->random() % (most - least + 1);
}

std::size_t SoakCaller::chooseProcess()
{
    const std::vector<std::size_t> stopped = this->stops.stopping();
    const bool atStopped = this->style != CallerStyle::Steady && this->style != CallerStyle::Holder
        && !stopped.empty() && this->random() % 4 != 0;
    return atStopped ? stopped[this->random() % stopped.size()]
                     : this->random() % this->fleet.settings().processes;
}

bool SoakCaller::connect()
{
    this->process = this->chooseProcess();
    const bool steady = this->style == CallerStyle::Steady;
    if (steady) {
        const tests::RawConnection probe(this->fleet.readyPort(this->process));
        probe.send("GET /readyz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        const std::optional<std::string> answer = probe.readSome(readyPatience);
        if (!answer || answer->find(" 200 ") == std::string::npos) {
            return false;
        }
    }
    this->connection = std::make_unique<tests::RawConnection>(
        steady ? this->fleet.callerPort(this->process) : this->fleet.directPort(this->process),
        tests::Connecting::Finished, this->style == CallerStyle::Slow ? slowReceiveBuffer : 0);
    if (!this->connection->connected()) {
        this->connection.reset();
    }
    return this->connection != nullptr;
}

Request SoakCaller::draw()
{
    const bool steady = this->style == CallerStyle::Steady;
    const std::vector<RequestKind> kinds = kindsOf(this->style);
    this->sent += 1;
    Request request;
    request.kind = kinds[(steady ? this->number : this->random()) % kinds.size()];
    request.callerId = std::string(name(request.kind)) + "-" + name(this->style) + "-"
        + std::to_string(this->number) + "-" + std::to_string(this->sent);
    request.target = "/" + std::string(name(request.kind)) + "/" + request.callerId;
    request.deadline = routeTimeout(request.kind);
    const std::uint64_t most = !steady       ? mostEvents
        : request.kind == RequestKind::Draft ? mostSteadyDraftEvents
                                             : mostSteadyCheckEvents;
    if (this->style == CallerStyle::Slow) {
        request.readBytes = slowReadBytes;
        request.readPause = slowReadPause;
        request.padding = isGeneration(request.kind) ? 0 : this->between(0, mostOrderBytes);
    }
    if (this->style == CallerStyle::Holder) {
        request.events = this->between(leastHolderEvents, mostHolderEvents);
    } else if (isGeneration(request.kind)) {
        request.events = this->between(leastEvents, most);
    }
    return request;
}

void SoakCaller::sendOne()
{
    const Request request = this->draw();
    const bool steady = this->style == CallerStyle::Steady;
    Seen answer = exchangeOn(*this->connection, request, steady ? nullptr : &this->stopping);
    answer.process = this->process;
    const std::string fault = faultOf(answer);
    if (!fault.empty()) {
        this->findings.add("answer",
                           request.callerId + " at entry-" + std::to_string(this->process) + ": "
                               + fault);
    }
    const bool keeps = steady || this->style == CallerStyle::Kept;
    const bool usable
        = keeps && answer.whole && this->connection->readSome(milliseconds(0)) == std::nullopt;
    if (!usable) {
        this->connection.reset();
    }
    if (answer.status == statusOk) {
        answer.body.clear(); // Checked; thousands of them would fill the memory.
    }
    this->seen.push_back(std::move(answer));
}

} // namespace azurespindle::soak
