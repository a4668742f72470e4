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
import { OperatorParts } from "./types.js";

/** Listens for operators and for the platform's balancer. */
export class OperatorServer {
    private readonly server: Server;

    private constructor(parts: OperatorParts) {
        this.server = createServer(createOperatorApp(parts));
    }

    static create(parts: OperatorParts): OperatorServer {
        return new OperatorServer(parts);
    }

    /** Starts listening; returns the address, whose port is a free one when 0 was asked for. */
    async start(address: NetworkAddress): Promise<NetworkAddress> {
        return startListening(this.server, address);
    }

    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeAllConnections();
        await closed;
    }
}

function createOperatorApp(parts: OperatorParts): express.Express {
    const app = express();
    app.disable("x-powered-by");
    app.get("/healthz", (_request, response) => {
        response.json({ status: "ok" });
    });
    app.get("/readyz", (_request, response) => {
        const reasons = parts.readiness.listUnreadyReasons();
        response.status(reasons.length === 0 ? 200 : 503).json({ ready: reasons.length === 0, reasons });
    });
    app.get("/metrics", async (_request, response) => {
        response.type(parts.metrics.registry.contentType).send(await parts.metrics.registry.metrics());
    });
    app.use("/v1", (request, response, next) => checkOperator(parts, request, response, next));
    app.get("/v1/status", (_request, response) => {
        response.json(createNodeStatus(parts));
    });
    app.get("/v1/requests/:id", async (request, response) => {
        const id = String(request.params["id"]);
        const explanation = await findRequestExplanation(parts, id);
        if (explanation === undefined) {
            sendOperatorProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Request_0_is_not_known, id));
            return;
        }
        response.type("application/json").send(explanation);
    });
    app.post("/v1/endpoints/:name/drain", (request, response) => {
        const name = String(request.params["name"]);
        if (parts.registry.findEntry(name) === undefined) {
            sendOperatorProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Endpoint_0_is_not_known, name));
            return;
        }
        parts.registry.markLeaving(name, EndpointEvidence.Operator, undefined);
        response.json({ endpoint: name, state: "leaving" });
    });
    addMoveRoutes(app, parts);
    app.use((request, response) => {
        sendOperatorProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Path_0_is_not_served, request.path));
    });
    return app;
}

function checkOperator(parts: OperatorParts, request: Request, response: Response, next: NextFunction): void {
    if (parts.operatorTokenHash === undefined) {
        next();
        return;
    }
    const token = /^Bearer (.+)$/i.exec(request.headers.authorization ?? "")?.[1] ?? "";
    if (!compareHashes(hashSha256(token), parts.operatorTokenHash)) {
        sendOperatorProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Operator_token_is_not_known));
        return;
    }
    next();
}
