#ifndef AZURESPINDLE_TESTS_SOAK_VERSION_SCRIPT_H
#define AZURESPINDLE_TESTS_SOAK_VERSION_SCRIPT_H

#include "fault_script.h"

#include <set>

namespace azurespindle::soak {

/// Plays large configurations in series and limits that plain upstreams name, among the faults of
/// FaultScript.
class VersionScript : public FaultScript
{
public:
    using FaultScript::FaultScript;

private:
    void beginOne() override;
    /// Publishes a few versions close behind one another.
    void publishSeries();
    /// Makes a plain upstream name a limit for some seconds.
    void limitPlain();

    std::set<std::size_t> limited; ///< Plain upstreams that name a limit.
};

} // namespace azurespindle::soak

#endif
