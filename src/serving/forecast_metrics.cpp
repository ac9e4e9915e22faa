#include "serving/forecast_metrics.h"

#include "metrics/registry.h"

#include <sstream>

namespace azurespindle::serving {

std::string forecastExposition(const std::vector<decision::ForecastError> &errors)
{
    std::ostringstream text;
    for (const decision::ForecastError &each : errors) {
        const std::string labels = "{route=\"" + metrics::escapeLabel(each.route) + "\"} ";
        text << "azurespindle_forecast_outputs_total" << labels << each.outputs << "\n"
             << "azurespindle_forecast_error" << labels << each.error << "\n"
             << "azurespindle_forecast_baseline_error" << labels << each.baselineError << "\n";
    }
    return text.str();
}

} // namespace azurespindle::serving
