#include "base/counters.h"

#include <fmt/format.h>

namespace persimmonfield {

Counters::Value& Counters::counter(std::string_view name, std::string_view label, std::string_view labelValue)
{
    std::string full = fmt::format("persimmonfield_{}", name);
    if (!label.empty())
        full += fmt::format("{{{}=\"{}\"}}", label, labelValue);
    std::lock_guard lock(mutex_);
    return values_[full];
}

std::string Counters::exposition() const
{
    std::string text;
    std::lock_guard lock(mutex_);
    for (const auto& [name, value] : values_)
        text += fmt::format("{} {}\n", name, value.load());
    return text;
}

}
