#include "sidecar/serverreply.h"

#include <utility>

namespace persimmonfield {

Reply replyFor(CallResult result, const ProtocolAdapter& protocol, peer::ServerLoad& load)
{
    switch (result.outcome) {
    case CallOutcome::NotSent:
        return notRun(RefusalReason::ServerUnreachable, result.detail);
    case CallOutcome::Lost:
        return unknownOutcome(RefusalReason::ServerFailed, result.detail);
    case CallOutcome::TimedOut:
        return unknownOutcome(RefusalReason::DeadlinePassed, result.detail);
    case CallOutcome::Answered:
        break;
    }
    const ServerResponseInfo info = protocol.readServerResponse(result.response);
    if (info.load)
        load = *info.load;
    if (info.isNotRun)
        return notRun(info.reason, "the server did not run the request");
    Reply reply;
    reply.isAnswer = true;
    reply.status = result.response.status;
    reply.headers = std::move(result.response.headers);
    reply.body = std::move(result.response.body);
    return reply;
}

}
