import { createServer, Server } from "node:http";
import { HeaderNames, Paths } from "../../../platform/wire.js";
import { readJson, sendJson, startOnLoopback, stopServer } from "./loopbackHttp.js";

const statusOk = 200;
const statusNotFound = 404;
const statusConflict = 409;

/** A duty's call as the cloud saw it. */
export interface DutyCall {
    readonly path: string;
    readonly holder: string;
    readonly fence: number;
    readonly body: Readonly<Record<string, unknown>>;
    readonly isAccepted: boolean;
}

/** The platform's cloud API: accepts duties under the highest fence that it has seen for each subject. */
export class RoutedCloud {
    readonly calls: DutyCall[] = [];
    private readonly server: Server;
    private readonly fences = new Map<string, number>();

    private constructor() {
        this.server = createServer((request, response) => {
            void readJson(request).then(body => {
                const call = this.acceptCall(request.url ?? "", request.headers, (body ?? {}) as Record<string, unknown>);
                const isKnown = request.url === Paths.usage || request.url === Paths.scale;
                const status = !isKnown ? statusNotFound : call.isAccepted ? statusOk : statusConflict;
                sendJson(response, status, status === statusOk ? {} : { error: "a higher fence was seen" });
            });
        });
    }

    static create(): RoutedCloud {
        return new RoutedCloud();
    }

    async start(): Promise<string> {
        return startOnLoopback(this.server);
    }

    async stop(): Promise<void> {
        await stopServer(this.server);
    }

    private acceptCall(
        path: string,
        headers: Readonly<Record<string, string | string[] | undefined>>,
        body: Readonly<Record<string, unknown>>,
    ): DutyCall {
        const fence = Number(headers[HeaderNames.fenceToken]);
        const subject = `${path} ${String(body["service"])} ${String(body["zone"])}`;
        const highest = this.fences.get(subject) ?? 0;
        const isAccepted = fence >= highest;
        this.fences.set(subject, Math.max(fence, highest));
        const call: DutyCall = { path, holder: String(headers[HeaderNames.dutyHolder]), fence, body, isAccepted };
        this.calls.push(call);
        return call;
    }
}
