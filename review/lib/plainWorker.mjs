/** Stand-in for a worker of a plain service: runs each request for a few milliseconds and answers with 800 bytes. */
import { createServer } from "node:http";
import { answerHeaders, pause } from "./world.mjs";

export async function startPlainWorker(world, id, { workTime = 20, onRun = () => undefined, port = 0 } = {}) {
    const server = createServer((request, response) => {
        request.resume();
        request.on("end", async () => {
            const target = request.headers["target-instance"];
            if (target !== undefined && target !== id) {
                response.writeHead(421, {
                    "Attempt-Id": request.headers["attempt-id"],
                    "Not-Executed": "1",
                    "Content-Length": 0,
                });
                return response.end();
            }
            onRun(request.headers["attempt-id"], request);
            await pause(workTime);
            const body = Buffer.alloc(800, "slot ");
            response.writeHead(200, answerHeaders(request, { "Content-Length": body.length }));
            response.end(body);
        });
    });
    await new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
    const close = () => {
        server.closeAllConnections();
        server.close();
    };
    world.closers.push(close);
    return { id, address: `127.0.0.1:${server.address().port}`, port: server.address().port, close };
}
