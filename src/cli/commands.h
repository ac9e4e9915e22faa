#ifndef AZURESPINDLE_CLI_COMMANDS_H
#define AZURESPINDLE_CLI_COMMANDS_H

#include "serving/routing_process.h"

namespace azurespindle::cli {

/// Exit status of the program.
enum ExitCode : int {
    ExitOk = 0,          ///< The command succeeded.
    ExitFault = 1,       ///< A file is invalid, a query failed, or a stop aborted requests.
    ExitUsage = 2,       ///< The command line is invalid.
    ExitUnreachable = 3, ///< The queried process did not respond.
    ExitStartFailed = 4, ///< The process could not start.
};

/// Parses the command line and runs the command.
/// \param makePlatformAdapter creates the platform adapter of a routing process.
/// \return one of ExitCode.
int run(int count, char **values, const serving::PlatformAdapterFactory &makePlatformAdapter);

} // namespace azurespindle::cli

#endif
