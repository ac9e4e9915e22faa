#include "http/problem.h"

#include <nlohmann/json.hpp>

namespace azurespindle::http {
namespace {

constexpr milliseconds::rep millisecondsPerSecond = 1'000;

} // namespace

Headers Problem::headers() const
{
    Headers headers {{"content-type", "application/problem+json"}};
    if (this->retryAfter.count() > 0) {
        const auto rounded = this->retryAfter.count() + millisecondsPerSecond - 1;
        headers["retry-after"] = std::to_string(rounded / millisecondsPerSecond);
    }
    return headers;
}

std::string Problem::body() const
{
    nlohmann::ordered_json json;
    json["type"] = "about:blank";
    json["title"] = this->title;
    json["status"] = this->status;
    json["code"] = this->code;
    json["detail"] = this->detail;
    json["outcome"] = this->outcome;
    if (this->retryAfter.count() > 0) {
        json["retryAfterMs"] = this->retryAfter.count();
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace azurespindle::http
