#ifndef AZURESPINDLE_TESTS_SOAK_FINDINGS_H
#define AZURESPINDLE_TESTS_SOAK_FINDINGS_H

#include <mutex>
#include <string>
#include <vector>

namespace azurespindle::soak {

/// A promise that was seen broken.
struct Finding
{
    std::string promise;
    std::string detail; ///< What was expected and what was seen.
};

/// Collects findings from all threads of a soak.
class Findings
{
public:
    void add(std::string promise, std::string detail)
    {
        const std::lock_guard lock(this->mutex);
        this->found.push_back({std::move(promise), std::move(detail)});
    }

    std::vector<Finding> all() const
    {
        const std::lock_guard lock(this->mutex);
        return this->found;
    }

private:
    mutable std::mutex mutex; ///< Guards found.
    std::vector<Finding> found;
};

} // namespace azurespindle::soak

#endif
