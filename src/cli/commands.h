#ifndef AZURESPINDLE_CLI_COMMANDS_H
#define AZURESPINDLE_CLI_COMMANDS_H

#include "serving/routing_process.h"

namespace azurespindle::cli {

/// What the program exits with.
enum ExitCode : int {
    ExitOk = 0,          ///< Done.
    ExitFault = 1,       ///< A document does not pass its check, or a stop cut requests.
    ExitUsage = 2,       ///< The command line is wrong.
    ExitUnreachable = 3, ///< The process asked does not answer.
    ExitStartFailed = 4, ///< The process could not start.
};

/// Runs the program. \param makePlatformAdapter makes what routing needs of the platform.
/// \return one of ExitCode.
int run(int count, char **values, const serving::PlatformAdapterFactory &makePlatformAdapter);

} // namespace azurespindle::cli

#endif
