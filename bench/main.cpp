// azurespindle-bench SUITE... [--json FILE] [--plot FILE]: prints one line for each measure.

#include "suites.h"

#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

struct Arguments
{
    std::vector<std::string> suites;
    std::string json;
    std::string plot;
    std::string unknown;
};

Arguments parse(int count, char **values)
{
    Arguments arguments;
    for (int index = 1; index < count; ++index) {
        const std::string argument = values[index];
        const bool hasValue = index + 1 < count;
        if (argument == "--json" && hasValue) {
            arguments.json = values[++index];
        } else if (argument == "--plot" && hasValue) {
            arguments.plot = values[++index];
        } else if (argument.rfind("--", 0) == 0) {
            arguments.unknown = argument;
        } else {
            arguments.suites.push_back(argument);
        }
    }
    return arguments;
}

} // namespace

int main(int count, char **values)
{
    namespace bench = azurespindle::bench;
    const Arguments arguments = parse(count, values);
    const std::string binaries = std::filesystem::absolute(values[0]).parent_path();
    const std::map<std::string, std::function<void(bench::Report &)>> suites {
        {"serving", bench::runServing},
        {"decision", bench::runDecision},
        {"proxy", [&](bench::Report &report) { bench::runProxy(report, binaries); }},
        {"control", [&](bench::Report &report) { bench::runControl(report, binaries); }},
        {"zone", [&](bench::Report &report) { bench::runZone(report, binaries, arguments.plot); }},
        {"faults", [&](bench::Report &report) { bench::runFaults(report, binaries); }},
    };
    bench::Report report;
    for (const std::string &suite : arguments.suites) {
        const auto found = suites.find(suite);
        if (found == suites.end() || !arguments.unknown.empty()) {
            std::cerr << "azurespindle-bench: no \"" << arguments.unknown + suite << "\"\n";
            return 2;
        }
        found->second(report);
    }
    if (!arguments.json.empty()) {
        report.write(arguments.json);
    }
    return 0;
}
