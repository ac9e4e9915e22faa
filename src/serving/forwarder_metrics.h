#ifndef AZURESPINDLE_SERVING_FORWARDER_METRICS_H
#define AZURESPINDLE_SERVING_FORWARDER_METRICS_H

#include "serving/request_forwarder.h"

#include <ostream>

namespace azurespindle::serving {

/// Writes the state and the counters of a request forwarder as metrics.
void writeForwarderMetrics(const ForwarderStatus &forwarder, std::ostream &text);

} // namespace azurespindle::serving

#endif
