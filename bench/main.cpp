// azurespindle-bench SUITE...: prints one tab-separated line for each measure.

#include "suites.h"

#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

int main(int count, char **values)
{
    using azurespindle::bench::Report;
    const std::map<std::string, std::function<void(Report &)>> suites {
        {"serving", azurespindle::bench::runServing},
    };
    std::string output;
    std::vector<std::string> chosen;
    for (int index = 1; index < count; ++index) {
        const std::string argument = values[index];
        if (argument == "--json" && index + 1 < count) {
            output = values[++index];
        } else if (suites.count(argument) > 0) {
            chosen.push_back(argument);
        } else {
            std::cerr << "azurespindle-bench: no suite \"" << argument << "\"\n";
            return 2;
        }
    }
    Report report;
    for (const std::string &suite : chosen) {
        suites.at(suite)(report);
    }
    if (!output.empty()) {
        report.write(output);
    }
    return 0;
}
