#pragma once

#include "base/address.h"
#include "http/httpclient.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace persimmonfield::testing {

// A stand-in for a backend server that keeps no bodies. What it does with a request depends on the path:
//   .../unread   the body is never read, and no answer is sent;
//   .../late     it answers after `lateTime`;
//   .../large    the answer has `largeAnswerBytes`;
//   anything else is answered at once.
class CrowdServer {
public:
    static constexpr size_t largeAnswerBytes = 200'000;
    static constexpr Milliseconds lateTime { 1'500 };

    CrowdServer(asio::io_context& loop, std::string service, std::string zone, const Address& address,
        const Address& reportAddress, int slots);
    ~CrowdServer() { *isAlive_ = false; }
    CrowdServer(const CrowdServer&) = delete;
    CrowdServer& operator=(const CrowdServer&) = delete;

    // Requests whose head has been read, except checks of the health path.
    int requests() const { return requests_; }

private:
    struct Connection;

    void accept();
    void read(const std::shared_ptr<Connection>& connection);
    void onHead(const std::shared_ptr<Connection>& connection);
    void answer(const std::shared_ptr<Connection>& connection);
    void report();

    asio::io_context& loop_;
    std::string service_;
    std::string zone_;
    Address address_;
    asio::ip::tcp::acceptor acceptor_;
    HttpClient reports_;
    asio::steady_timer timer_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
    int slots_;
    int requests_ = 0;
    int64_t sequence_ = 0;
};

}
