#ifndef AZURESPINDLE_SERVING_FORECAST_METRICS_H
#define AZURESPINDLE_SERVING_FORECAST_METRICS_H

#include "decision/output_forecast.h"

#include <string>
#include <vector>

namespace azurespindle::serving {

/// Returns the errors of output length forecasts in the Prometheus text exposition format, one
/// series for each route.
std::string forecastExposition(const std::vector<decision::ForecastError> &errors);

} // namespace azurespindle::serving

#endif
