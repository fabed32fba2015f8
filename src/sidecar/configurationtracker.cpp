#include "sidecar/configurationtracker.h"

#include "base/logger.h"

#include <utility>

namespace persimmonfield {

ConfigurationTracker::ConfigurationTracker(const ProtocolAdapter& protocol)
    : protocol_(protocol)
{
}

bool ConfigurationTracker::apply(const StorePage& page)
{
    bool hasChanged = false;
    for (const StoreObject& object : page.objects) {
        if (object.name != protocol_.configurationName || object.isDeleted)
            continue;
        auto read = protocol_.readConfiguration(object.value);
        if (!read.ok()) {
            log(LogLevel::Error, "configuration-unreadable",
                { { "revision", object.revision }, { "cause", std::string(read.status().message()) } });
            continue;
        }
        if (current_ && read->version <= current_->version)
            continue;
        log(LogLevel::Info, "configuration-in-force",
            { { "version", read->version }, { "revision", object.revision },
                { "before", current_ ? current_->version : 0 } });
        current_ = *std::move(read);
        hasChanged = true;
    }
    return hasChanged;
}

}
