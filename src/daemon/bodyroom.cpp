#include "daemon/bodyroom.h"

#include <utility>

namespace persimmonfield {

BodyRoom::BodyRoom(size_t limit, size_t smallBody)
    : limit_(limit)
    , smallBody_(smallBody)
{
}

BodyRoom::Share::Share(std::shared_ptr<BodyRoom> room)
    : room_(std::move(room))
{
}

BodyRoom::Share::~Share()
{
    resize(0);
}

bool BodyRoom::Share::resize(size_t bytes)
{
    std::lock_guard lock(room_->mutex_);
    const size_t held = room_->held_ - bytes_ + bytes;
    if (bytes > bytes_ && held > room_->limit_ && bytes > room_->smallBody_)
        return false;
    room_->held_ = held;
    bytes_ = bytes;
    return true;
}

}
