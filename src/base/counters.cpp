#include "base/counters.h"

#include <fmt/format.h>

namespace persimmonfield {
namespace {

    std::string fullName(std::string_view name)
    {
        return fmt::format("persimmonfield_{}", name);
    }

    std::string labelText(std::string_view label, std::string_view value)
    {
        return label.empty() ? std::string() : fmt::format("{}=\"{}\"", label, value);
    }

}

Counters::Value& Counters::counter(std::string_view name, std::string_view label, std::string_view labelValue)
{
    std::string full = fullName(name);
    if (!label.empty())
        full += fmt::format("{{{}}}", labelText(label, labelValue));
    std::lock_guard lock(mutex_);
    return values_[full];
}

Histogram& Counters::histogram(std::string_view name, std::string_view label, std::string_view labelValue)
{
    std::lock_guard lock(mutex_);
    return histograms_[{ fullName(name), labelText(label, labelValue) }];
}

std::string Counters::exposition() const
{
    std::string text;
    std::lock_guard lock(mutex_);
    for (const auto& [name, value] : values_)
        text += fmt::format("{} {}\n", name, value.load());
    for (const auto& [key, histogram] : histograms_)
        text += histogram.exposition(key.first, key.second);
    return text;
}

}
