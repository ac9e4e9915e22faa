#ifndef AZURESPINDLE_TESTS_SUPPORT_LINE_DIFFERENCE_H
#define AZURESPINDLE_TESTS_SUPPORT_LINE_DIFFERENCE_H

#include <string>

namespace azurespindle::tests {

/// Returns the first line in which the texts differ, expected beside actual, with the lines
/// around it; an empty text if they are equal.
std::string lineDifference(const std::string &expected, const std::string &actual);

} // namespace azurespindle::tests

#endif
