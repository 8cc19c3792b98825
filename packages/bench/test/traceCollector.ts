/**
 * A small OTLP collector for tests.
 */
import { createServer } from "node:http";

interface ExportRequest {
    readonly resourceSpans: readonly {
        readonly scopeSpans: readonly {
            readonly spans: readonly { readonly traceId: string; readonly name: string; }[];
        }[];
    }[];
}

/** Keeps the names of the spans that it is sent. */
export class TraceCollector {
    private readonly names = new Map<string, string[]>();
    private readonly server = createServer((request, response) => {
        let text = "";
        request.on("data", (chunk: Buffer) => text += chunk.toString());
        request.on("end", () => {
            this.take(JSON.parse(text) as ExportRequest);
            response.end("{}");
        });
    });

    /** Listens on loopback; resolves to the address. */
    listen(): Promise<string> {
        return new Promise(resolve => {
            this.server.listen(0, "127.0.0.1", () => {
                resolve(`127.0.0.1:${(this.server.address() as { port: number; }).port}`);
            });
        });
    }

    /** The names of a trace's spans. */
    namesOf(traceId: string): string[] {
        return [...(this.names.get(traceId) ?? [])];
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private take({ resourceSpans }: ExportRequest): void {
        const spans = resourceSpans.flatMap(resource => resource.scopeSpans).flatMap(scope => scope.spans);
        for (const { traceId, name } of spans) {
            this.names.set(traceId, [...(this.names.get(traceId) ?? []), name]);
        }
    }
}
