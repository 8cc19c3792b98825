/**
 * An OTLP collector for tests that keeps only the names of spans.
 */
import { createServer } from "node:http";

interface ExportRequest {
    readonly resourceSpans: readonly {
        readonly scopeSpans: readonly {
            readonly spans: readonly { readonly traceId: string; readonly name: string; }[];
        }[];
    }[];
}

/** Records the names of the spans that are exported to it. */
export class TraceCollector {
    private readonly names = new Map<string, string[]>();
    private readonly server = createServer((request, response) => {
        let text = "";
        request.on("data", (chunk: Buffer) => text += chunk.toString());
        request.on("end", () => {
            this.recordSpans(JSON.parse(text) as ExportRequest);
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

    /** Returns the names of a trace's spans. */
    spanNames(traceId: string): string[] {
        return [...(this.names.get(traceId) ?? [])];
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private recordSpans({ resourceSpans }: ExportRequest): void {
        const spans = resourceSpans.flatMap(resource => resource.scopeSpans).flatMap(scope => scope.spans);
        for (const { traceId, name } of spans) {
            this.names.set(traceId, [...(this.names.get(traceId) ?? []), name]);
        }
    }
}
