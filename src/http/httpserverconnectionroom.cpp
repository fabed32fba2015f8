#include "http/httpserverconnection.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>

// The part of a connection that keeps within the memory and the number of connections of the process.

namespace persimmonfield {
namespace {

    namespace http = boost::beast::http;

    // Fewer bytes of heads on one connection, or of one answer, are not counted among those that are held.
    constexpr size_t uncountedHeadBytes = 4'096;
    constexpr size_t uncountedAnswerBytes = 1'024;
    // Room that is asked for first for a body of unknown length. Each further step doubles it.
    constexpr size_t firstBodyRoom = 16'384;
    // A larger body of unknown length gets memory for the largest one at once, of which the kernel provides
    // only what is used, so that it is not copied each time it grows.
    constexpr size_t largeBodyRoom = 1'048'576;
    constexpr int statusTooLarge = 413;

}

// Asks for room for the body, whose head has just been read. Returns false if nothing may be read on.
bool HttpServerConnection::admitBody()
{
    parser_->eager(true);
    if (!server_->guard_)
        return true;
    const auto& head = parser_->get();
    const auto credential = head.find(http::field::authorization);
    if (credential != head.end())
        caller_ = std::to_string(std::hash<std::string_view>()(
            std::string_view(credential->value().data(), credential->value().size())));
    const auto length = parser_->content_length();
    return reserveBody(length ? *length : std::min(firstBodyRoom, server_->limits_.bodyBytes));
}

// Asks for more room for a body of unknown length.
bool HttpServerConnection::growBody()
{
    return reserveBody(std::min(2 * bodyRoom_, server_->limits_.bodyBytes));
}

bool HttpServerConnection::reserveBody(size_t bytes)
{
    if (!bodyBytes_) {
        const auto weak = weak_from_this();
        const auto callWith = [weak](void (HttpServerConnection::*function)()) {
            return [weak, function] {
                if (const auto self = weak.lock())
                    (self.get()->*function)();
            };
        };
        bodyBytes_ = std::make_shared<HeldBytes>(server_->guard_, caller_, HeldFor::Request,
            HeldBytes::Hooks { callWith(&HttpServerConnection::onRoomGranted),
                callWith(&HttpServerConnection::onRoomRefused) });
    }
    wantedRoom_ = bytes;
    switch (bodyBytes_->reserve(bytes)) {
    case ByteBudget::Verdict::Granted:
        bodyRoom_ = bytes;
        if (!parser_->content_length())
            parser_->get().body().reserve(bytes > largeBodyRoom ? server_->limits_.bodyBytes : bytes);
        return true;
    case ByteBudget::Verdict::Wait:
        isWaitingForRoom_ = true;
        timer_.cancel();
        return false;
    case ByteBudget::Verdict::TooLarge:
        break;
    }
    rejectRequest(statusTooLarge);
    return false;
}

// The number of bytes that the parser may be given now. A body of unknown length must not exceed its room.
size_t HttpServerConnection::bytesToParse(size_t available) const
{
    const bool isChunkedBody = parser_->is_header_done() && !parser_->content_length();
    if (!isChunkedBody || !bodyBytes_ || bodyRoom_ >= server_->limits_.bodyBytes)
        return available;
    return std::min(available, bodyRoom_ - parser_->get().body().size());
}

void HttpServerConnection::onRoomGranted()
{
    if (!server_ || !isWaitingForRoom_)
        return;
    isWaitingForRoom_ = false;
    bodyRoom_ = wantedRoom_;
    if (!parser_->content_length())
        parser_->get().body().reserve(bodyRoom_ > largeBodyRoom ? server_->limits_.bodyBytes : bodyRoom_);
    armTimer();
    parse();
    if (canReadMore())
        read();
}

// Refuses the request that is being read. It has not run, and the rest of its body is not kept.
void HttpServerConnection::onRoomRefused()
{
    if (!server_ || !parser_)
        return;
    HttpRequest head = takeHead();
    HttpResponse response = server_->refuse_(head);
    answerAsLast(std::move(head), std::move(response));
    read();
}

// Counts the heads that the connection holds, unless they are small.
void HttpServerConnection::holdHead()
{
    if (!server_ || !server_->guard_)
        return;
    const size_t bytes = buffer_.size() + pendingHeadBytes_;
    if (bytes <= uncountedHeadBytes)
        return headBytes_.reset();
    if (!headBytes_) {
        headBytes_ = std::make_shared<HeldBytes>(server_->guard_, caller_, HeldFor::Head,
            HeldBytes::Hooks { nullptr, [weak = weak_from_this()] {
                                  if (const auto self = weak.lock())
                                      self->handleDisconnect(CloseReason::MemoryFull);
                              } });
    }
    headBytes_->setYielding(pendingExchanges_.empty());
    headBytes_->set(bytes);
}

std::shared_ptr<HeldBytes> HttpServerConnection::holdAnswer(size_t bytes)
{
    if (!server_ || !server_->guard_ || bytes <= uncountedAnswerBytes)
        return nullptr;
    auto held = std::make_shared<HeldBytes>(server_->guard_, caller_, HeldFor::Answer,
        HeldBytes::Hooks { nullptr, [weak = weak_from_this()] {
                              if (const auto self = weak.lock())
                                  self->handleDisconnect(CloseReason::MemoryFull);
                          } });
    held->set(bytes);
    return held;
}

ConnectionActivity HttpServerConnection::activity() const
{
    using State = ConnectionActivity::State;
    const bool isMoving = isInMessage_ || isWriting_ || isLingering_;
    const State state = !pendingExchanges_.empty() ? State::Waiting : isMoving ? State::Moving : State::Idle;
    return { state, hasCarriedRequest_, lastActivity_ };
}

void HttpServerConnection::closeForOther()
{
    if (isIdle())
        return closeIfIdle(CloseReason::ConnectionLimit);
    handleDisconnect(CloseReason::ConnectionLimit);
}

}
