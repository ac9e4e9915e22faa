#include "serving/forwarder_metrics.h"

namespace azurespindle::serving {

void writeForwarderMetrics(const ForwarderStatus &forwarder, std::ostream &text)
{
    const routing::RouterStatus &status = forwarder.router;
    text << "azurespindle_open_requests " << status.openRequests << "\n"
         << "azurespindle_queued_requests " << status.queuedRequests << "\n"
         << "azurespindle_moving_generations " << status.migratingGenerations << "\n"
         << "azurespindle_moves_begun_total " << status.migrationsStarted << "\n"
         << "azurespindle_moves_done_total " << status.migrationsCompleted << "\n"
         << "azurespindle_run_stops_total " << status.runStopsAsked << "\n"
         << "azurespindle_run_stops_unconfirmed " << status.unconfirmedStops << "\n"
         << "azurespindle_takeovers_beside_total " << status.takeoversBeside << "\n"
         << "azurespindle_generations_lost_total " << status.generationsLost << "\n"
         << "azurespindle_upstreams_leaving_total " << status.upstreamsLeaving << "\n"
         << "azurespindle_upstream_pauses_total " << status.pausesNoted << "\n"
         << "azurespindle_response_bytes " << forwarder.responseBytes << "\n"
         << "azurespindle_upstream_pauses_unreadable_total " << status.pausesUnreadable << "\n"
         << "azurespindle_upstreams_unusual_speed " << status.unusualSpeeds << "\n";
    for (const auto &[upstream, speed] : forwarder.unusualSpeeds) {
        text << "azurespindle_upstream_speed{upstream=\"" << metrics::escapeLabel(upstream)
             << "\"} " << speed << "\n";
    }
}

} // namespace azurespindle::serving
