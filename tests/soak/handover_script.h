#ifndef AZURESPINDLE_TESTS_SOAK_HANDOVER_SCRIPT_H
#define AZURESPINDLE_TESTS_SOAK_HANDOVER_SCRIPT_H

#include "fault_script.h"

namespace azurespindle::soak {

/// Plays engines that leave, several at a time and while others leave, beside crashes, silence,
/// configurations and stops of processes. No link is harmed, so every engine can be reached.
class HandoverScript : public FaultScript
{
public:
    using FaultScript::FaultScript;

private:
    void beginOne() override;
    /// Lets one to three engines leave at the same moment.
    void releaseSeries();
    void release(std::size_t engine);
};

} // namespace azurespindle::soak

#endif
