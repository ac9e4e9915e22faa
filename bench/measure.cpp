#include "measure.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <utility>

namespace azurespindle::bench {

std::string Measure::verdict() const
{
    if (!this->bound) {
        return "-";
    }
    const bool good
        = this->side == Side::AtMost ? this->value <= *this->bound : this->value >= *this->bound;
    return good ? "ok" : "short";
}

void Report::add(Measure measure)
{
    char bound[32] = "-";
    if (measure.bound) {
        std::snprintf(bound, sizeof(bound), "%s%.6g",
                      measure.side == Side::AtMost ? "<=" : ">=", *measure.bound);
    }
    std::printf("%s\t%s\t%.6g\t%s\t%s\t%s\n", measure.suite.c_str(), measure.name.c_str(),
                measure.value, measure.unit.c_str(), bound, measure.verdict().c_str());
    std::fflush(stdout);
    this->measures.push_back(std::move(measure));
}

void Report::add(const std::string &suite, const std::string &name, double value,
                 const std::string &unit)
{
    this->add(Measure {suite, name, value, unit, std::nullopt, Side::AtMost});
}

void Report::atMost(const std::string &suite, const std::string &name, double value,
                    const std::string &unit, double bound)
{
    this->add(Measure {suite, name, value, unit, bound, Side::AtMost});
}

void Report::atLeast(const std::string &suite, const std::string &name, double value,
                     const std::string &unit, double bound)
{
    this->add(Measure {suite, name, value, unit, bound, Side::AtLeast});
}

void Report::write(const std::string &path) const
{
    nlohmann::ordered_json json = nlohmann::ordered_json::array();
    for (const Measure &measure : this->measures) {
        nlohmann::ordered_json line;
        line["suite"] = measure.suite;
        line["measure"] = measure.name;
        line["value"] = measure.value;
        line["unit"] = measure.unit;
        if (measure.bound) {
            line["bound"] = *measure.bound;
            line["side"] = measure.side == Side::AtMost ? "at most" : "at least";
        }
        line["verdict"] = measure.verdict();
        json.push_back(line);
    }
    std::ofstream(path) << json.dump(1) << "\n";
}

} // namespace azurespindle::bench
