#include "support/line_difference.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace azurespindle::tests {
namespace {

constexpr std::size_t linesBefore = 3;
constexpr std::size_t linesAfter = 2;

std::vector<std::string> lines(const std::string &text)
{
    std::vector<std::string> all;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        all.push_back(line);
    }
    return all;
}

void show(std::ostringstream &out, const char *mark, const std::vector<std::string> &all,
          std::size_t from, std::size_t to)
{
    for (std::size_t index = from; index < std::min(to, all.size()); ++index) {
        out << mark << index + 1 << ": " << all[index] << "\n";
    }
    if (to > all.size()) {
        out << mark << "(the text ends here)\n";
    }
}

} // namespace

std::string lineDifference(const std::string &expected, const std::string &actual)
{
    if (expected == actual) {
        return {};
    }
    const std::vector<std::string> before = lines(expected);
    const std::vector<std::string> after = lines(actual);
    std::size_t first = 0;
    while (first < before.size() && first < after.size() && before[first] == after[first]) {
        first += 1;
    }
    std::ostringstream out;
    out << "first difference in line " << first + 1 << "\n";
    show(out, "  same     ", before, first - std::min(first, linesBefore), first);
    show(out, "  expected ", before, first, first + 1 + linesAfter);
    show(out, "  actual   ", after, first, first + 1 + linesAfter);
    return out.str();
}

} // namespace azurespindle::tests
