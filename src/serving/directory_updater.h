#ifndef AZURESPINDLE_SERVING_DIRECTORY_UPDATER_H
#define AZURESPINDLE_SERVING_DIRECTORY_UPDATER_H

#include "members/messages.h"
#include "serving/directory.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace azurespindle::serving {

/// Rebuilds the directory whenever a newer document arrives, and ignores older documents.
///
/// Documents are accepted under a lock but passed on without it, so two that are accepted at the
/// same time may arrive here in reverse order. Not thread-safe; its owner has to lock it.
class DirectoryUpdater
{
public:
    // Commands

    /// Applies a document that has been validated. \return false, without any change, if it is not
    /// newer than the current one.
    bool apply(members::DocumentKind kind, const nlohmann::json &document);

    // Queries

    std::shared_ptr<const Directory> current() const { return this->directory; }

private:
    std::shared_ptr<const Directory> directory = std::make_shared<Directory>();
};

} // namespace azurespindle::serving

#endif
