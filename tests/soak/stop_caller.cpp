#include "stop_caller.h"

namespace azurespindle::soak {
namespace {

constexpr int mostPauseMs = 70;
constexpr int mostHolderPauseMs = 1'200;
constexpr milliseconds reconnectPause {40};
constexpr std::uint64_t leastEvents = 20;
constexpr std::uint64_t mostEvents = 600;
/// Events of a draft that outlasts a stop.
constexpr std::uint64_t leastHolderEvents = 1'400;
constexpr std::uint64_t mostHolderEvents = 2'600;
constexpr std::uint64_t mostOrderBytes = 60'000;
constexpr int slowReceiveBuffer = 4'096; // bytes
constexpr ReadPace slowPace {2'048, milliseconds(25)};

} // namespace

const char *name(CallerStyle style)
{
    switch (style) {
    case CallerStyle::Kept:
        return "kept";
    case CallerStyle::Fresh:
        return "fresh";
    case CallerStyle::Slow:
        return "slow";
    case CallerStyle::Holder:
        return "holder";
    }
    return "unknown";
}

StopCaller::StopCaller(SoakFleet &fleet, Findings &findings, const PlannedWork &work,
                       CallerStyle style, std::uint64_t number)
    : fleet(fleet), findings(findings), work(work), style(style), number(number),
      random(fleet.settings().seed * 1'000 + number), thread([this] { this->run(); })
{ }

StopCaller::~StopCaller()
{
    this->stop();
}

void StopCaller::stop()
{
    this->stopping = true;
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void StopCaller::run()
{
    const int mostPause = this->style == CallerStyle::Holder ? mostHolderPauseMs : mostPauseMs;
    while (!this->stopping) {
        if (this->connection == nullptr) {
            this->chooseProcess();
            this->connection = std::make_unique<tests::RawConnection>(
                this->fleet.directPort(this->process), tests::Connecting::Finished,
                this->style == CallerStyle::Slow ? slowReceiveBuffer : 0);
        }
        if (this->connection->connected()) {
            this->sendOne();
            std::this_thread::sleep_for(
                milliseconds(this->random() % static_cast<std::uint64_t>(mostPause)));
        } else {
            this->connection.reset();
            std::this_thread::sleep_for(reconnectPause);
        }
    }
}

void StopCaller::chooseProcess()
{
    const std::vector<std::size_t> stopped = this->work.stopping();
    const bool atStopping = this->style != CallerStyle::Holder && this->random() % 4 != 0;
    this->process = atStopping && !stopped.empty()
        ? stopped[this->random() % stopped.size()]
        : this->random() % this->fleet.settings().processes;
}

Request StopCaller::draw()
{
    constexpr RequestKind kinds[]
        = {RequestKind::Look,  RequestKind::Look,  RequestKind::Look,  RequestKind::Look,
           RequestKind::Look,  RequestKind::Order, RequestKind::Order, RequestKind::Check,
           RequestKind::Check, RequestKind::Draft};
    constexpr RequestKind longKinds[] = {RequestKind::Order, RequestKind::Check};
    Request request;
    request.kind = this->style == CallerStyle::Holder ? RequestKind::Draft
        : this->style == CallerStyle::Slow            ? longKinds[this->random() % 2]
                                                      : kinds[this->random() % std::size(kinds)];
    this->sent += 1;
    request.callerId = std::string(name(request.kind)) + "-" + name(this->style) + "-"
        + std::to_string(this->number) + "-" + std::to_string(this->sent);
    request.target = "/" + std::string(name(request.kind)) + "/" + request.callerId;
    request.deadline = routeTimeout(request.kind);
    if (this->style == CallerStyle::Holder) {
        request.events
            = leastHolderEvents + this->random() % (mostHolderEvents - leastHolderEvents);
    } else if (isGeneration(request.kind)) {
        request.events = leastEvents + this->random() % (mostEvents - leastEvents);
    } else if (this->style == CallerStyle::Slow) {
        request.padding = this->random() % mostOrderBytes;
    }
    return request;
}

void StopCaller::sendOne()
{
    const Request request = this->draw();
    const ReadPace pace = this->style == CallerStyle::Slow ? slowPace : ReadPace {};
    Seen answer = exchangeOn(*this->connection, request, pace, &this->stopping);
    answer.process = this->process;
    const std::string fault = faultOf(answer);
    if (!fault.empty()) {
        this->findings.add("answer",
                           request.callerId + " at entry-" + std::to_string(this->process) + ": "
                               + fault);
    }
    const bool usable = this->style == CallerStyle::Kept && answer.whole
        && this->connection->readSome(milliseconds(0)) == std::nullopt;
    if (!usable) {
        this->connection.reset();
    }
    if (answer.status == statusOk) {
        answer.body.clear(); // Checked; thousands of them would fill the memory.
    }
    this->seen.push_back(std::move(answer));
}

} // namespace azurespindle::soak
