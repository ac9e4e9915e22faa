#ifndef AZURESPINDLE_SERVING_DIRECTORY_UPDATER_H
#define AZURESPINDLE_SERVING_DIRECTORY_UPDATER_H

#include "members/messages.h"
#include "serving/directory.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace azurespindle::serving {

/// Builds the directory anew from each document, and never goes back to an older one.
///
/// Documents are accepted under one lock and handed on without it, so two that come at once may
/// arrive here in the wrong order. Not thread-safe; its owner locks it.
class DirectoryUpdater
{
public:
    // Commands

    /// Takes over a document that passed its check. \return false if it is not newer than the one
    /// in force; nothing has changed then.
    bool apply(members::DocumentKind kind, const nlohmann::json &document);

    // Queries

    std::shared_ptr<const Directory> current() const { return this->directory; }

private:
    std::shared_ptr<const Directory> directory = std::make_shared<Directory>();
};

} // namespace azurespindle::serving

#endif
