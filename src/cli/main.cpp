#include "cli/commands.h"
#include "platform/adapter.h"

#include <csignal>
#include <malloc.h>

namespace {

/// Blocks from this size on, in bytes, are mapped on their own, so that freeing them returns the
/// memory to the system. The C library raises its threshold with the largest block freed, and
/// bodies of requests would stay resident.
constexpr int mappedBlockBytes = 131'072;

} // namespace

int main(int count, char **values)
{
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    return azurespindle::cli::run(count, values, azurespindle::platform::makePlatformAdapter);
}
