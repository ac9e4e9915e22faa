#ifndef AZURESPINDLE_TESTS_SOAK_ERA_SCRIPT_H
#define AZURESPINDLE_TESTS_SOAK_ERA_SCRIPT_H

#include "fault_script.h"

namespace azurespindle::soak {

/// Plays a store that comes back from a copy, again and again, among all other faults.
class EraScript : public FaultScript
{
public:
    using FaultScript::FaultScript;

private:
    void beginOne() override;
    /// Takes a copy of the store, from which it comes back some seconds later.
    void restoreStore();

    bool restoring = false; ///< A copy was taken whose restoration is not over.
};

} // namespace azurespindle::soak

#endif
