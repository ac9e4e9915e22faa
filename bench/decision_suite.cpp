// Cost of a decision and memory of what is decided about, with slopes over 10 to 10,000.

#include "suites.h"

#include "decision/dispatcher.h"
#include "decision/idempotency_store.h"
#include "decision/lease_manager.h"
#include "decision/rollout_permits.h"
#include "members/membership.h"
#include "members/messages.h"

#include <algorithm>
#include <malloc.h>
#include <vector>

namespace azurespindle::bench {
namespace {

using namespace decision;

constexpr std::size_t sizes[] = {10, 100, 1'000, 10'000};

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

Request makeRequest(RequestId id)
{
    Request request;
    request.id = id;
    request.workspace = "w" + std::to_string(id % 10);
    request.trafficClass = "spec";
    request.promptTokens = 400;
    request.maxTokens = 8'000;
    request.fingerprint = id;
    for (std::uint64_t block = 0; block < 6; ++block) {
        request.prefixBlocks.push_back(id * 100 + block);
    }
    return request;
}

UpstreamsListed listing(std::size_t count)
{
    UpstreamsListed listed;
    for (std::size_t index = 0; index < count; ++index) {
        ListedUpstream upstream;
        upstream.name = "engine-" + std::to_string(index);
        upstream.zone = "zone-" + std::to_string(index % 14);
        upstream.policy.maxConcurrency = 1'000'000;
        listed.upstreams.push_back(upstream);
    }
    return listed;
}

Dispatcher makeDispatcher()
{
    DispatcherOptions options;
    options.leasing = false;
    return Dispatcher(options);
}

void reportAll(Dispatcher &dispatcher, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        EngineReport report;
        report.boot = 1;
        report.memoryTokens = 1'000'000'000;
        dispatcher.handle(UpstreamReported {"engine-" + std::to_string(index), report}, Instant());
    }
}

/// Returns the time of one placement and of one token, in microseconds, at the 50th percentile.
std::pair<double, double> decisionCost(std::size_t upstreams)
{
    constexpr RequestId placements = 4'000;
    Dispatcher dispatcher = makeDispatcher();
    dispatcher.handle(listing(upstreams), Instant());
    reportAll(dispatcher, upstreams);
    std::vector<double> placing;
    std::vector<double> delivering;
    const RequestId tried = upstreams > 1'000 ? placements / 10 : placements;
    for (RequestId id = 1; id <= tried; ++id) {
        const Event arrived = RequestArrived {makeRequest(id)};
        const auto begin = std::chrono::steady_clock::now();
        dispatcher.handle(arrived, Instant(microseconds(id)));
        const auto placed = std::chrono::steady_clock::now();
        const Event token = TokensArrived {id, 1, "g", 0, 1, false};
        const auto before = std::chrono::steady_clock::now();
        dispatcher.handle(token, Instant(microseconds(id)));
        const auto after = std::chrono::steady_clock::now();
        placing.push_back(std::chrono::duration<double, std::micro>(placed - begin).count());
        delivering.push_back(std::chrono::duration<double, std::micro>(after - before).count());
    }
    const auto middle = static_cast<std::ptrdiff_t>(placing.size() / 2);
    std::nth_element(placing.begin(), placing.begin() + middle, placing.end());
    std::nth_element(delivering.begin(), delivering.begin() + middle, delivering.end());
    return {placing[static_cast<std::size_t>(middle)],
            delivering[static_cast<std::size_t>(middle)]};
}

double bytesPerUpstream(std::size_t count)
{
    const double before = heapBytes();
    Dispatcher dispatcher = makeDispatcher();
    dispatcher.handle(listing(count), Instant());
    return (heapBytes() - before) / static_cast<double>(count);
}

double bytesPerGeneration(std::size_t count)
{
    Dispatcher dispatcher = makeDispatcher();
    dispatcher.handle(listing(1), Instant());
    const double before = heapBytes();
    for (RequestId id = 1; id <= count; ++id) {
        dispatcher.handle(RequestArrived {makeRequest(id)}, Instant());
        dispatcher.handle(TokensArrived {id, 1, "generation", 0, 1, false}, Instant());
    }
    return (heapBytes() - before) / static_cast<double>(count);
}

double bytesPerWorkspace(std::size_t count)
{
    Dispatcher dispatcher = makeDispatcher();
    dispatcher.handle(listing(1), Instant());
    const double before = heapBytes();
    for (RequestId id = 1; id <= count; ++id) {
        Request request = makeRequest(id);
        request.workspace = "workspace-" + std::to_string(id);
        request.prefixBlocks.clear();
        dispatcher.handle(RequestArrived {request}, Instant());
        dispatcher.handle(TokensArrived {id, 1, "generation", 0, 1, true}, Instant());
    }
    return (heapBytes() - before) / static_cast<double>(count);
}

double bytesPerMember(std::size_t count)
{
    const double before = heapBytes();
    members::Membership membership(
        {"self", "zone", "127.0.0.1:1", "127.0.0.1:2", 1, members::MemberState::Alive});
    std::vector<members::MemberRecord> records;
    for (std::size_t index = 0; index < count; ++index) {
        records.push_back({"entry-" + std::to_string(index), "zone-" + std::to_string(index % 14),
                           "10.0.0.1:9080", "10.0.0.1:8080", 1, members::MemberState::Alive});
    }
    membership.merge(records, Instant());
    membership.takeJournalEntries();
    records.clear();
    records.shrink_to_fit();
    return (heapBytes() - before) / static_cast<double>(count);
}

double bytesPerHolder(std::size_t count)
{
    const double before = heapBytes();
    LeaseManager steward;
    steward.manage("e", {}, Instant(), false);
    std::vector<journal::Entry> entries;
    for (std::size_t index = 0; index < count; ++index) {
        steward.handle({"entry-" + std::to_string(index) + "#1790000000000", "e", 1, 1, {}, {}},
                       900, Instant(), entries);
    }
    return (heapBytes() - before) / static_cast<double>(count);
}

double bytesPerKey(std::size_t count)
{
    IdempotencyStore keys("entry-123", 1'790'000'000'000, Instant());
    const double before = heapBytes();
    for (std::size_t nonce = 0; nonce < count; ++nonce) {
        keys.begin(keys.issue(nonce * 0x9e3779b97f4a7c15ULL, Instant()), nonce, Instant());
    }
    return (heapBytes() - before) / static_cast<double>(count);
}

/// Returns the bytes of one engine at the member that gives out its pool's permits.
double bytesPerOrderedEngine(std::size_t count)
{
    const double before = heapBytes();
    RolloutPermits permits {Instant()};
    for (std::size_t index = 0; index < count; ++index) {
        permits.handle({"entry-123#1790000000000", "hinge-writer",
                        "engine-" + std::to_string(index), 1, OrderPhase::Settled, true, true},
                       {}, Instant());
    }
    return (heapBytes() - before) / static_cast<double>(count);
}

std::string exceptionsDocument(int count)
{
    std::string text = R"({"revision":1,"exceptions":[)";
    for (int index = 0; index < count; ++index) {
        text += R"({"workspace":"workspace-)" + std::to_string(index * 7'919 % 10'007)
            + R"(","reason":"agreed with customer )" + std::to_string(index * 104'729)
            + R"(","set":{"weight":)" + std::to_string(index % 9 + 1) + "}},";
    }
    text.back() = ']';
    return text + "}";
}

void reportFrameSizes(Report &report)
{
    members::Heartbeat heartbeat;
    heartbeat.incarnation = 1'790'000'000'000;
    heartbeat.configurationRevision = 123'456;
    heartbeat.vmListRevision = 123'456;
    heartbeat.membershipDigest = 0xfedcba9876543210;
    members::LeaseRequests request {
        {{"entry-123#1790000000000", "engine-1234", 20, 3, {10, 1, 200, 3, 0, 20}, {}}}};
    members::GrantWithReport grant;
    grant.grant
        = {"engine-1234", 20, 0.25, milliseconds(2'000), 2, milliseconds(60'000), false, {}};
    grant.hasReport = true;
    grant.report = {{}, 1'790'000'000'000, 400'000, 300'000, 40, 3, 1'000};
    const members::MembershipUpdate one {
        {{"entry-123", "zone-12", "10.0.12.34:9080", "10.0.12.34:8080", 1'790'000'000'000,
          members::MemberState::Alive}},
        false};
    const auto size = [](const members::Message &message) {
        return static_cast<double>(4 + members::encode(message).size());
    };
    const std::string document = exceptionsDocument(100);
    report.add("decision", "document-of-100-exceptions", static_cast<double>(document.size()),
               "bytes");
    report.add("decision", "frame/document-of-100-exceptions",
               size(members::DocumentResponse {members::DocumentKind::Configuration, document}),
               "bytes");
    report.add("decision", "frame/heartbeat", size(heartbeat), "bytes");
    report.add("decision", "frame/lease-request", size(request), "bytes");
    report.add("decision", "frame/lease-grant", size(members::LeaseGrants {{grant}}), "bytes");
    report.add("decision", "frame/member-news", size(one), "bytes");
    const members::PermitRequests standing {
        {{"entry-123#1790000000000", "hinge-writer", "engine-1234", 123'456, OrderPhase::Settled,
          true, true}}};
    const members::PermitAnswers answer {{{"engine-1234", 123'456, false, false, {}, ""}}};
    report.add("decision", "frame/permit-request", size(standing), "bytes");
    report.add("decision", "frame/permit-answer", size(answer), "bytes");
    for (WorkspaceKey key = 0; key < LeaseManager::maxReportedWorkspaces; ++key) {
        const WorkspaceKey spread = key * 0x9e3779b1U + 0x80000000U;
        request.requests.front().workspaces.push_back({spread, 1.5F, true, 20'000});
        grant.grant.remoteUsage.push_back({spread, 20'000});
    }
    report.add("decision", "frame/contended-lease-request", size(request), "bytes");
    report.add("decision", "frame/contended-lease-grant", size(members::LeaseGrants {{grant}}),
               "bytes");
    report.add("decision", "bytes-per-ordered-engine/1000", bytesPerOrderedEngine(1'000), "bytes");
}

} // namespace

void runDecision(Report &report)
{
    for (const std::size_t size : {std::size_t(10), std::size_t(40), std::size_t(100),
                                   std::size_t(1'000), std::size_t(10'000)}) {
        const auto [place, token] = decisionCost(size);
        const std::string label = "placement/" + std::to_string(size) + "-upstreams";
        if (size == 40) {
            report.atMost("decision", label, place, "us", 5.0);
        } else {
            report.add("decision", label, place, "us");
        }
        report.add("decision", "token/" + std::to_string(size) + "-upstreams", token, "us");
    }
    for (const std::size_t size : sizes) {
        const std::string count = "/" + std::to_string(size);
        report.add("decision", "bytes-per-upstream" + count, bytesPerUpstream(size), "bytes");
        report.add("decision", "bytes-per-generation" + count, bytesPerGeneration(size), "bytes");
        report.add("decision", "bytes-per-workspace" + count, bytesPerWorkspace(size), "bytes");
        report.add("decision", "bytes-per-key" + count, bytesPerKey(size), "bytes");
        report.add("decision", "bytes-per-member" + count, bytesPerMember(size), "bytes");
        report.add("decision", "bytes-per-holder" + count,
                   bytesPerHolder(std::min(size, LeaseManager::maxHolders)), "bytes");
    }
    reportFrameSizes(report);
}

} // namespace azurespindle::bench
