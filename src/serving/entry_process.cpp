#include "serving/entry_process.h"

#include <chrono>
#include <thread>
#include <utility>

namespace azurespindle::serving {
namespace {

constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;
constexpr milliseconds idleSweepInterval {1'000};
constexpr milliseconds stopPollInterval {20};
/// Pause before the servers stop, in which the last bytes reach the callers and the load balancer
/// notices that the process is not ready.
constexpr milliseconds flushTime {100};

std::uint64_t wallClockMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

EntryProcess::EntryProcess(settings::Settings initialSettings,
                           std::function<bool(const std::string &member)> reachable)
    : settings(std::move(initialSettings)), incarnation(wallClockMilliseconds()),
      poolManager(this->settings, this->timers, this->registry, this->journal,
                  {[this](const std::string &pool, const decision::AskLease &ask) {
                       this->leases.requestLease(pool, ask);
                   },
                   [this](const std::string &pool, const decision::ReportCrash &crash) {
                       this->coordinator.broadcastCrash(
                           {pool, crash.fingerprint, crash.upstream, crash.boot});
                   },
                   [this](const std::string &pool, const decision::ReportSuspectCleared &cleared) {
                       this->coordinator.broadcastCrash({pool, cleared.fingerprint,
                                                         this->settings.name, cleared.request,
                                                         members::CrashStatus::Cleared});
                   }}),
      coordinator(
          this->settings, this->makeSelfRecord(), this->client, this->timers, this->registry,
          this->journal,
          {[this](members::DocumentKind kind, const nlohmann::json &document) {
               this->applyDocument(kind, document);
           },
           [this] { this->refreshAssignments(); },
           [this](const std::string &from, const members::LeaseRequests &requests) {
               this->leases.onLeaseRequests(from, requests);
           },
           [this](const std::string &, const members::LeaseGrants &grants) {
               this->leases.onLeaseGrants(grants);
           },
           [this](const members::CrashReport &report, seconds) {
               if (report.status == members::CrashStatus::Cleared) {
                   this->poolManager.post(report.pool,
                                          decision::CrashSuspectCleared {report.fingerprint});
                   return;
               }
               this->poolManager.post(
                   report.pool,
                   decision::CrashReported {report.fingerprint, report.source, report.number});
           },
           [this](const std::string &from, const members::PermitRequests &requests) {
               this->orders.onPermitRequests(from, requests);
           },
           [this](const members::PermitAnswers &answers) { this->orders.onPermitAnswers(answers); },
           std::move(reachable)}),
      leases(
          this->settings.name + "#" + std::to_string(this->incarnation), this->coordinator,
          this->client, this->registry, this->journal,
          [this](const std::string &pool, decision::Event event) {
              this->poolManager.post(pool, std::move(event));
          },
          [this](const decision::EngineObservation &observation) {
              this->orders.handleObservation(observation);
          }),
      orders(this->settings.name + "#" + std::to_string(this->incarnation), this->coordinator,
             this->client, this->journal,
             {[this](const std::string &upstream, bool accepting) {
                  this->leases.setAccepting(upstream, accepting);
              },
              [this](const std::string &upstream) { this->leases.markCold(upstream); }}),
      completions(this->poolManager), services(this->poolManager, this->coordinator, this->client,
                                               this->settings.upstreams, this->incarnation),
      operators(this->poolManager, this->coordinator, this->leases, this->orders, this->stopping),
      server(this->settings.callerAddress, this->settings.callers, this->settings.workerThreads,
             [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
                 this->route(request, exchange);
             })
{ }

EntryProcess::~EntryProcess()
{
    this->stop();
}

members::MemberRecord EntryProcess::makeSelfRecord() const
{
    return {this->settings.name,
            this->settings.zone,
            this->settings.memberAddress.text(),
            this->settings.callerAddress.text(),
            this->incarnation,
            members::MemberState::Alive};
}

std::error_code EntryProcess::start()
{
    this->timers.subscribe(decision::Dispatcher::tickInterval,
                           [this] { this->poolManager.postToAll(decision::Tick {}); });
    this->timers.subscribe(LeaseService::loadInterval, [this] { this->leases.tick(); });
    this->timers.subscribe(OrderService::tickInterval, [this] { this->orders.tick(); });
    this->timers.subscribe(idleSweepInterval, [this] {
        this->server.enforceTimeouts();
        this->services.tick();
    });
    if (const std::error_code error = this->coordinator.start()) {
        return error;
    }
    if (const std::error_code error = this->server.start()) {
        return error;
    }
    this->timers.start();
    this->journal.record({journal::EventId::ProcessStarted,
                          {{"member", this->settings.name},
                           {"zone", this->settings.zone},
                           {"callers", this->settings.callerAddress.text()},
                           {"members", this->settings.memberAddress.text()}}});
    return {};
}

void EntryProcess::applyDocument(members::DocumentKind kind, const nlohmann::json &document)
{
    {
        const std::lock_guard lock(this->mutex);
        if (!this->directoryUpdater.apply(kind, document)) {
            return;
        }
        // The lock is still held, so that an older directory cannot replace a newer one.
        this->poolManager.setDirectory(this->directoryUpdater.current());
    }
    this->refreshAssignments();
}

void EntryProcess::refreshAssignments()
{
    const std::lock_guard lock(this->mutex);
    this->leases.refresh(*this->directoryUpdater.current());
    this->orders.refresh(this->directoryUpdater.current());
}

void EntryProcess::route(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    using callers::CompletionKind;
    const std::string &path = request.path;
    if (path == "/v1/completions") {
        this->completions.handleCompletion(CompletionKind::Text, request, exchange);
    } else if (path == "/v1/chat/completions") {
        this->completions.handleCompletion(CompletionKind::Chat, request, exchange);
    } else if (path.rfind("/services/", 0) == 0) {
        this->services.handleCall(request, exchange);
    } else if (path == "/v1/idempotency-keys" && request.method == "POST") {
        this->services.issueKey(exchange);
    } else if (path == "/v1/idempotency-keys") {
        callers::respond(
            exchange,
            callers::notRunProblem(statusMethodNotAllowed, "wrong-method", "POST issues a key"));
    } else if (path == "/v1/models") {
        this->completions.listModels(exchange);
    } else if (path == "/healthz") {
        this->operators.handleHealth(exchange);
    } else if (path == "/readyz") {
        this->operators.handleReadiness(exchange);
    } else if (path == "/metrics") {
        this->operators.handleMetrics(exchange);
    } else if (path == "/status") {
        this->operators.handleStatus(exchange);
    } else if (path == "/explain") {
        this->operators.handleExplain(request, exchange);
    } else if (path == "/configuration") {
        this->operators.handleConfiguration(request, exchange);
    } else {
        callers::respond(
            exchange,
            callers::notRunProblem(statusNotFound, "unknown-path", "nothing is served at " + path));
    }
}

std::size_t EntryProcess::stopGracefully()
{
    this->journal.record({journal::EventId::ProcessStopping, {{"member", this->settings.name}}});
    this->stopping = true;
    this->poolManager.postToAll(decision::StopRequested {});
    this->coordinator.leave();
    const Instant deadline = monotonicNow() + this->settings.stopTimeout;
    while (this->poolManager.openRequests() > 0 && monotonicNow() < deadline) {
        std::this_thread::sleep_for(stopPollInterval);
    }
    this->server.drain();
    while (this->server.openExchanges() > 0 && monotonicNow() < deadline) {
        std::this_thread::sleep_for(stopPollInterval);
    }
    std::this_thread::sleep_for(flushTime);
    const std::size_t aborted = this->poolManager.openRequests();
    this->journal.record({journal::EventId::ProcessStopped,
                          {{"member", this->settings.name}, {"cut", std::to_string(aborted)}}});
    this->stop();
    return aborted;
}

void EntryProcess::stop()
{
    this->server.refuseRequests();
    // Components that call back are stopped before those that they call.
    this->timers.stop();
    this->client.stop();
    this->poolManager.stop();
    this->coordinator.stop();
    this->server.stop();
}

} // namespace azurespindle::serving
