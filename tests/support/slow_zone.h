#ifndef AZURESPINDLE_TESTS_SUPPORT_SLOW_ZONE_H
#define AZURESPINDLE_TESTS_SUPPORT_SLOW_ZONE_H

#include "serving/view_synchronizer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace azurespindle::tests {

/// The ViewSynchronizers of one availability zone, and a store, on VMs with narrow links.
///
/// Each VM has one uplink and one downlink, on which messages wait for one another, as heartbeats
/// and reports do behind a large document. Nothing is lost, and processing costs what it costs.
class SlowZone
{
public:
    /// \param members number of VMs.
    /// \param bitsPerSecond bandwidth of each VM's uplink and of its downlink.
    SlowZone(std::size_t members, double bitsPerSecond);
    ~SlowZone();
    SlowZone(const SlowZone &) = delete;
    SlowZone &operator=(const SlowZone &) = delete;

    // Commands

    /// Publishes an item. The store shows it to everybody who watches.
    void publish(const std::string &key, const std::string &value);
    /// Starts a member that was not started by the constructor's start-up, or was stopped.
    void startMember(std::size_t member);
    /// Stops a member without a word to the others.
    void stopMember(std::size_t member);

    // Queries

    /// Waits until every running member has this version of the configuration in force.
    /// \return false if it is not so after \a timeout.
    bool everyMemberApplies(std::uint64_t version, milliseconds timeout) const;
    /// Returns the versions in force, for messages: one number for each member.
    std::string versions() const;
    /// Returns the bytes that the members have sent to one another.
    std::uint64_t bytesSent() const { return this->sentBytes; }

private:
    /// One direction of a VM's link.
    struct Link
    {
        Instant freeAt;
    };
    struct Member
    {
        std::string name;
        Link up;
        Link down;
        bool running = false;
        std::uint64_t life = 0; ///< Distinguishes the starts; what was sent to an earlier is lost.
        metrics::Registry registry;
        journal::Journal journal;
        std::unique_ptr<serving::ViewSynchronizer> synchronizer;
    };
    struct Watch
    {
        std::uint64_t after = 0;
        Instant until;
        std::size_t member = 0;
        std::uint64_t life = 0;
        routing::StoreResponseHandler handler;
    };

    routing::StoreCalls storeCallsOf(std::size_t member);
    void answerList(std::size_t member, const routing::StoreResponseHandler &handler);
    void answerWatches();
    /// Returns the time until \a bytes have passed \a link, behind all that it carries already.
    microseconds transmit(Link &link, std::size_t bytes) const;
    void send(std::size_t from, std::size_t to, const members::Message &message);
    void receive(std::size_t from, std::size_t to, const std::string &payload);
    void sendFromStore(std::size_t to, std::uint64_t life, const routing::StoreResponse &response,
                       const routing::StoreResponseHandler &handler);
    void sendReports();
    std::size_t indexOf(const std::string &name) const;

    const double bitsPerSecond;
    std::atomic<std::uint64_t> sentBytes {0};
    mutable std::recursive_mutex mutex; ///< Guards the members below, up to the timers.
    std::vector<std::unique_ptr<Member>> members;
    std::vector<std::string> names; ///< Of all members, sorted.
    std::map<std::string, routing::PublishedItem> items;
    std::uint64_t revision = 1;
    std::vector<Watch> watches;
    timer::TimerService timers;
};

/// Returns a configuration with this number of routes besides those of platformConfiguration(), as
/// an operator publishes it. A route is the same in each version, apart from the last one, which is
/// `/v<version>/`.
std::string largeConfiguration(std::uint64_t version, std::size_t routes);

} // namespace azurespindle::tests

#endif
