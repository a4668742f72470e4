import { createServer, Server } from "node:http";
import { Registry } from "prom-client";
import { startListening } from "../common/listening.js";
import { NetworkAddress } from "../config/types.js";

const statusOk = 200;
const statusNotFound = 404;
const statusUnavailable = 503;
const metricsPath = "/metrics";

/** Serves the readiness check of the load balancer and the Prometheus metrics. */
export class StatusServer {
    private readonly servers: Server[] = [];

    private constructor(
        private readonly readinessPath: string,
        private readonly isReady: () => boolean,
        private readonly registry: Registry,
    ) {}

    static create(readinessPath: string, isReady: () => boolean, registry: Registry): StatusServer {
        return new StatusServer(readinessPath, isReady, registry);
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

    /** Starts the metrics listener. */
    async startMetrics(address: NetworkAddress): Promise<NetworkAddress> {
        const server = createServer((request, response) => {
            request.resume();
            if (request.url !== metricsPath) {
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
