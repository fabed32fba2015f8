#include "daemon/bodyassembler.h"

namespace persimmonfield {

BodyAssembler::BodyAssembler(int64_t length)
    : length_(length)
{
}

AssemblyState BodyAssembler::add(const std::string& bytes, bool isLast)
{
    body_ += bytes;
    const auto received = static_cast<int64_t>(body_.size());
    if (length_ < 0 || length_ > maxBodyBytes || received > length_)
        return AssemblyState::Broken;
    if (!isLast)
        return AssemblyState::Incomplete;
    return received == length_ ? AssemblyState::Complete : AssemblyState::Broken;
}

}
