/**
 * A caller server in a process of its own, which tests can suspend. It sends its port to its parent, and the time limit
 * of each request that it received.
 */
import { failure, identifier, type RequestId } from "@verbenaspring/model";
import { createGatewayCallerServer } from "@verbenaspring/runtime";
import { createCall } from "./backendBuilders.js";

const callers = createGatewayCallerServer(
    (method, target) => ({ ...createCall("127.0.0.1:1").head, method, target }),
    () => identifier<RequestId>("1"),
    () => 0,
    {
        received: (requestId, { target }) => {
            process.send?.({ received: target });
            callers.writeFailure(requestId, failure("backend_server_failed", "it may have run", "outcome_unknown"));
        },
        leftEarly: () => undefined,
        left: () => undefined,
        refused: () => undefined,
        drained: () => undefined,
    },
);
callers.applyLimits({ headerBytes: 2_000, bodyBytes: 100, headerTimeout: 300, idleTimeout: 5_000 });
await callers.listen("127.0.0.1:0");
process.send?.({ port: callers.port() });
