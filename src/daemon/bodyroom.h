#pragma once

#include <cstddef>
#include <memory>
#include <mutex>

namespace persimmonfield {

// Bounds the bytes of all request bodies that the process holds. Thread-safe.
class BodyRoom {
public:
    // The part of one body. Releases it when it is destroyed.
    class Share {
    public:
        explicit Share(std::shared_ptr<BodyRoom> room);
        ~Share();
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        // Changes the part to this number of bytes; false if there is no room for it, in which case it stays.
        bool resize(size_t bytes);
        size_t bytes() const { return bytes_; }

    private:
        std::shared_ptr<BodyRoom> room_;
        size_t bytes_ = 0;
    };

    // Bodies up to `smallBody` always get room, so that large ones do not keep them out.
    BodyRoom(size_t limit, size_t smallBody);

private:
    std::mutex mutex_;
    size_t limit_;
    size_t smallBody_;
    size_t held_ = 0;
};

}
