import { createServer, Server, ServerResponse } from "node:http";
import { Registry } from "prom-client";
import { startListening } from "../common/listening.js";
import { NetworkAddress } from "../config/types.js";
import { explainedRequestSchema, PlacementExplainer } from "../gateway/placementExplainer.js";

const statusOk = 200;
const statusNotFound = 404;
const statusUnavailable = 503;
const statusBadRequest = 400;
const metricsPath = "/metrics";
const placementPath = "/placement";

/** Serves the readiness check of the load balancer and, to operators, the Prometheus metrics and explanations of placements. */
export class StatusServer {
    private readonly servers: Server[] = [];

    private constructor(
        private readonly readinessPath: string,
        private readonly isReady: () => boolean,
        private readonly registry: Registry,
        private readonly explainer: PlacementExplainer,
    ) {}

    static create(readinessPath: string, isReady: () => boolean, registry: Registry, explainer: PlacementExplainer): StatusServer {
        return new StatusServer(readinessPath, isReady, registry, explainer);
    }

    /** Starts the readiness listener; it responds with 200, or 503 while the node is not ready. */
    async startReadiness(address: NetworkAddress): Promise<NetworkAddress> {
        const server = createServer((request, response) => {
            request.resume();
            const isReadinessPath = request.url === this.readinessPath;
            response.statusCode = isReadinessPath ? this.getReadinessStatus() : statusNotFound;
            response.end();
        });
        this.servers.push(server);
        return startListening(server, address);
    }

    /** Starts the operators' listener. */
    async startMetrics(address: NetworkAddress): Promise<NetworkAddress> {
        const server = createServer((request, response) => {
            request.resume();
            const url = new URL(request.url ?? "", "http://node");
            if (url.pathname === placementPath) {
                this.sendExplanation(url.searchParams, response);
                return;
            }
            if (url.pathname !== metricsPath) {
                response.statusCode = statusNotFound;
                response.end();
                return;
            }
            void this.registry.metrics().then(text => {
                response.setHeader("content-type", this.registry.contentType);
                response.end(text);
            });
        });
        this.servers.push(server);
        return startListening(server, address);
    }

    private sendExplanation(parameters: URLSearchParams, response: ServerResponse): void {
        response.setHeader("content-type", "application/json");
        const request = explainedRequestSchema.safeParse(Object.fromEntries(parameters));
        if (!request.success) {
            response.statusCode = statusBadRequest;
            response.end(
                JSON.stringify({ title: request.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ") }),
            );
            return;
        }
        const explanation = this.explainer.describePlacement(request.data);
        response.statusCode = explanation.ok ? statusOk : explanation.val.message.status;
        response.end(JSON.stringify(explanation.ok ? explanation.val : { title: explanation.val.text }));
    }

    private getReadinessStatus(): number {
        return this.isReady() ? statusOk : statusUnavailable;
    }

    /** Closes the listeners and their open connections. */
    stop(): void {
        for (const server of this.servers) {
            server.close();
            server.closeAllConnections();
        }
    }
}
