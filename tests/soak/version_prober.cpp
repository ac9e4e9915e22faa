#include "version_prober.h"

#include "exchange.h"

namespace azurespindle::soak {
namespace {

constexpr int statusNotFound = 404;
/// Within this time after its publication a version is in force.
constexpr milliseconds applyBound {2'000};
constexpr milliseconds probeInterval {150};
constexpr milliseconds probeDeadline {1'000};

} // namespace

VersionProber::VersionProber(SoakFleet &fleet, Findings &findings)
    : fleet(fleet), findings(findings), publishedAt(monotonicNow()), thread([this] { this->run(); })
{ }

VersionProber::~VersionProber()
{
    this->stop();
}

void VersionProber::notePublished(std::uint64_t version)
{
    const std::lock_guard lock(this->mutex);
    this->newest = version;
    this->publishedAt = monotonicNow();
}

void VersionProber::stop()
{
    this->stopping = true;
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void VersionProber::run()
{
    std::size_t turn = 0;
    while (!this->stopping) {
        std::this_thread::sleep_for(probeInterval);
        std::uint64_t version = 0;
        Instant published;
        {
            const std::lock_guard lock(this->mutex);
            version = this->newest;
            published = this->publishedAt;
        }
        const bool due = monotonicNow() - published >= applyBound;
        if (due && version > 1) {
            const std::size_t process = turn % this->fleet.settings().processes;
            this->probe(process, version, true, published);
            this->probe(process, version - 1, false, published);
            turn += 1;
        }
    }
}

void VersionProber::probe(std::size_t process, std::uint64_t version, bool inForce,
                          Instant published)
{
    const Instant sent = monotonicNow();
    if (!this->fleet.calm().calmSince(process, sent)) {
        return;
    }
    const tests::RawConnection connection(this->fleet.directPort(process));
    const std::string name = "v" + std::to_string(version);
    const std::string id = "probe-" + std::to_string(this->probeCount);
    this->probeCount += 1;
    const Seen seen = exchangeOn(
        connection, {RequestKind::Look, id, "/" + name + "/" + id, 0, 0, probeDeadline});
    const bool known = seen.status != statusNotFound;
    if (seen.status == 0 || known == inForce || !this->fleet.calm().calmSince(process, sent)) {
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        if (this->publishedAt != published) {
            return; // Another version came meanwhile.
        }
    }
    const microseconds age = sent - published;
    this->findings.add("configuration",
                       "entry-" + std::to_string(process) + " answers /" + name + "/ with "
                           + std::to_string(seen.status) + " " + std::to_string(age.count() / 1'000)
                           + " ms after a change; expected "
                           + (inForce ? "the route to be known" : "404"));
}

} // namespace azurespindle::soak
