import express, { NextFunction, Request, Response } from "express";
import { createServer, Server } from "node:http";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { compareHashes, hashSha256 } from "../common/hashing.js";
import { startListening } from "../common/listening.js";
import { Verdict } from "../common/verdict.js";
import { NetworkAddress } from "../config/types.js";
import { EndpointEvidence } from "../endpoints/types.js";
import { addMoveRoutes } from "./commands/moveRoutes.js";
import { sendOperatorProblem } from "./operatorProblem.js";
import { findRequestExplanation } from "./queries/explainRequest.js";
import { createNodeStatus } from "./queries/nodeStatus.js";
import { OperatorDependencies } from "./types.js";

/** HTTP server for operators (status, metrics, drains, version moves) and for the health checks of the platform's load balancer. */
export class OperatorServer {
    private readonly server: Server;

    private constructor(dependencies: OperatorDependencies) {
        this.server = createServer(createOperatorApp(dependencies));
    }

    static create(dependencies: OperatorDependencies): OperatorServer {
        return new OperatorServer(dependencies);
    }

    /** Starts listening; returns the bound address. Port 0 requests any free port. */
    async start(address: NetworkAddress): Promise<NetworkAddress> {
        return startListening(this.server, address);
    }

    /** Closes the server and its open connections. */
    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeAllConnections();
        await closed;
    }
}

function createOperatorApp(dependencies: OperatorDependencies): express.Express {
    const app = express();
    app.disable("x-powered-by");
    app.get("/healthz", (_request, response) => {
        response.json({ status: "ok" });
    });
    app.get("/readyz", (_request, response) => {
        const reasons = dependencies.readiness.listUnreadyReasons();
        response.status(reasons.length === 0 ? 200 : 503).json({ ready: reasons.length === 0, reasons });
    });
    app.get("/metrics", async (_request, response) => {
        response.type(dependencies.metrics.registry.contentType).send(await dependencies.metrics.registry.metrics());
    });
    app.use("/v1", (request, response, next) => authenticateOperator(dependencies, request, response, next));
    app.get("/v1/status", (_request, response) => {
        response.json(createNodeStatus(dependencies));
    });
    app.get("/v1/requests/:id", async (request, response) => {
        const id = String(request.params["id"]);
        const explanation = await findRequestExplanation(dependencies, id);
        if (explanation === undefined) {
            sendOperatorProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Request_0_is_not_known, id));
            return;
        }
        response.type("application/json").send(explanation);
    });
    app.post("/v1/endpoints/:name/drain", (request, response) => {
        const name = String(request.params["name"]);
        if (dependencies.registry.findEntry(name) === undefined) {
            sendOperatorProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Endpoint_0_is_not_known, name));
            return;
        }
        dependencies.registry.markLeaving(name, EndpointEvidence.Operator, undefined);
        response.json({ endpoint: name, state: "leaving" });
    });
    addMoveRoutes(app, dependencies);
    app.use((request, response) => {
        sendOperatorProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Path_0_is_not_served, request.path));
    });
    return app;
}

/** Refuses requests without a valid bearer token; accepts all when no operator token is configured. */
function authenticateOperator(dependencies: OperatorDependencies, request: Request, response: Response, next: NextFunction): void {
    if (dependencies.operatorTokenHash === undefined) {
        next();
        return;
    }
    const token = /^Bearer (.+)$/i.exec(request.headers.authorization ?? "")?.[1] ?? "";
    if (!compareHashes(hashSha256(token), dependencies.operatorTokenHash)) {
        sendOperatorProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Operator_token_is_not_known));
        return;
    }
    next();
}
