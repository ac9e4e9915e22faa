#include "cli/commands.h"
#include "platform/adapter.h"

#include <csignal>

int main(int count, char **values)
{
    std::signal(SIGPIPE, SIG_IGN);
    return azurespindle::cli::run(count, values, azurespindle::platform::makePlatformAdapter);
}
