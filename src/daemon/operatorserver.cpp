#include "daemon/operatorserver.h"

#include "daemon/httplistener.h"

#include <httplib.h>

#include <utility>

namespace persimmonfield {
namespace {

    constexpr size_t threads = 4;
    constexpr time_t keepAliveSeconds = 1;

}

OperatorServer::OperatorServer(OperatorServerOptions options)
    : options_(std::move(options))
    , server_(std::make_unique<httplib::Server>())
{
}

OperatorServer::~OperatorServer()
{
    stop();
}

absl::Status OperatorServer::start()
{
    server_->new_task_queue = [] { return new httplib::ThreadPool(threads); };
    server_->set_keep_alive_timeout(keepAliveSeconds);
    server_->Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(options_.metrics(), "text/plain; version=0.0.4");
    });
    server_->Get("/status", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(options_.status(), "application/json");
    });
    server_->Get("/timeline", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(options_.timeline(), "application/x-ndjson");
    });
    if (absl::Status status = listenOn(*server_, options_.listenAddress); !status.ok())
        return status;
    thread_ = std::thread([this] { server_->listen_after_bind(); });
    return absl::OkStatus();
}

void OperatorServer::stop()
{
    server_->stop();
    if (thread_.joinable())
        thread_.join();
}

}
