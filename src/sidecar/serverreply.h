#pragma once

#include "http/httpclient.h"
#include "messages/reply.h"
#include "sidecar/protocoladapter.h"

namespace persimmonfield {

// The reply for a call to the server that has ended. Sets `load` if the server's response states its load.
Reply replyFor(CallResult result, const ProtocolAdapter& protocol, peer::ServerLoad& load);

}
