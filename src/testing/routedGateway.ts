import { Agent, request as sendHttpRequest } from "node:http";
import { addPlatformBindings } from "../../platform/bindings.js";
import { HeaderNames } from "../../platform/wire.js";
import { EventLog, SilentEventLog } from "../common/eventLog.js";
import { GatewaySettings, parseGatewaySettings } from "../config/gatewaySettings.js";
import { parseIniDocument } from "../config/iniDocument.js";
import { formatAddress } from "../config/sectionReader.js";
import { EndpointConnector } from "../endpoints/endpointConnector.js";
import { HopTracing } from "../gateway/hopTracing.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { GatewayAddresses, GatewayNode } from "../node/gatewayNode.js";
import { routedNames, RoutedPlatform } from "../standins/routed/routedPlatform.js";

/** An answer as a caller sees it; status 0 when the connection ended without a whole head. */
export interface CallerView {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    readonly isWhole: boolean;
}

/** What a caller sends besides the path. */
export interface CallOptions {
    readonly method?: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly agent?: Agent;
    readonly signal?: AbortSignal;
}

/** How a gateway under test differs from a usual one. */
export interface RoutedGatewayOptions {
    readonly name?: string;
    /** Where it looks for the store, if not at the platform's. */
    readonly storeAddress?: string;
    /** Port for its peers; they cannot reach it at a port that was chosen when it started. */
    readonly peersPort?: number;
    readonly seeds?: string;
    readonly tracing?: HopTracing;
    /** Opens its connections to endpoints, if not plain ones. */
    readonly connector?: EndpointConnector;
    /** Further lines of the section for timeouts and intervals. */
    readonly timing?: readonly string[];
    /** Share of the requests that may be repeated for which late ones get a second attempt. */
    readonly hedgingShare?: number;
    /** Where it writes its log lines; they are discarded without it. */
    readonly log?: EventLog;
}

/** Creates settings for a gateway on loopback with free ports. */
export function createGatewaySettings(platform: RoutedPlatform, options: RoutedGatewayOptions): GatewaySettings {
    const text = [
        "[node]",
        `name = ${options.name ?? "node-1"}`,
        "failure-domain = xela",
        "[listen]",
        "callers = 127.0.0.1:0",
        "readiness = 127.0.0.1:0",
        `peers = 127.0.0.1:${options.peersPort ?? 0}`,
        "[store]",
        `address = ${options.storeAddress ?? platform.storeAddress}`,
        "[cloud]",
        `address = ${platform.cloudAddress}`,
        "[peers]",
        `seeds = ${options.seeds ?? ""}`,
        "[hedging]",
        `extra-share = ${options.hedgingShare ?? 0}`,
        "[timing]",
        "gossip-interval-milliseconds = 50",
        "listener-grace-milliseconds = 100",
        "drain-limit-milliseconds = 3000",
        "lease-term-milliseconds = 1500",
        ...options.timing ?? [],
    ].join("\n");
    const document = parseIniDocument("gateway.ini", text);
    const settings = document.ok ? parseGatewaySettings(document.val) : document;
    if (settings.err) {
        throw new Error(settings.val.map(fault => fault.text).join("; "));
    }
    return settings.val;
}

/** A gateway in this process before a stand-in of the platform. */
export class RoutedGateway {
    private sequence = 0;

    private constructor(readonly node: GatewayNode, private readonly addresses: GatewayAddresses) {}

    /** Starts a gateway and waits until it is ready. */
    static async start(platform: RoutedPlatform, options: RoutedGatewayOptions = {}): Promise<RoutedGateway> {
        const node = GatewayNode.create(createGatewaySettings(platform, options), (container, settings) => {
            addPlatformBindings(container, settings);
            container.unbind(Keys.Log);
            container.bind(Keys.Log).toConstantValue(options.log ?? SilentEventLog.create());
            if (options.connector !== undefined) {
                container.unbind(Keys.Connector);
                container.bind(Keys.Connector).toConstantValue(options.connector);
            }
        }, options.tracing);
        const gateway = new RoutedGateway(node, await node.start());
        await waitUntil(() => node.isReady());
        return gateway;
    }

    async stop(): Promise<void> {
        await this.node.stop();
    }

    /** Returns the address at which peers reach it. */
    getPeerAddress(): string {
        return formatAddress(this.addresses.peers);
    }

    getPort(): number {
        return this.addresses.callers.port;
    }

    createAttemptId(): string {
        this.sequence += 1;
        return `attempt-${this.sequence}`;
    }

    /** Sends one call as a shop does and reads the whole answer. */
    sendCall(path: string, options: CallOptions = {}): Promise<CallerView> {
        const headers = {
            host: routedNames.host,
            authorization: `Bearer ${routedNames.key}`,
            [HeaderNames.attemptId]: this.createAttemptId(),
            [HeaderNames.deadline]: "2000",
            ...options.headers,
        };
        return new Promise(resolve => {
            const request = sendHttpRequest({
                host: "127.0.0.1",
                port: this.getPort(),
                path,
                method: options.method ?? "GET",
                headers,
                agent: options.agent,
                signal: options.signal,
            });
            request.once("error", () => resolve({ status: 0, headers: {}, body: "", isWhole: false }));
            request.once("response", answer => {
                let body = "";
                const finish = () => resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body, isWhole: answer.complete });
                answer.on("data", (chunk: Buffer) => (body += chunk.toString()));
                answer.once("error", finish);
                answer.once("close", finish);
            });
            request.end(options.body);
        });
    }
}

/** Waits until a condition holds; fails after ten seconds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    const endsAt = performance.now() + 10_000;
    while (!condition()) {
        if (performance.now() > endsAt) {
            throw new Error("the condition did not come to hold within ten seconds");
        }
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}
