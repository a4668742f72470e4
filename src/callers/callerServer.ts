import express, { NextFunction, Request, Response } from "express";
import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { BodyResult } from "../common/bodyReader.js";
import { CallerConnections, ConnectionCloseCause } from "../common/callerConnections.js";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { findRequestFault } from "../common/headCheck.js";
import { HeaderLineLimits } from "../common/headerLineLimits.js";
import { createIdentifier } from "../common/identifiers.js";
import { startListening, stopListening } from "../common/listening.js";
import { Verdict } from "../common/verdict.js";
import { NetworkAddress } from "../config/types.js";
import { RequestOutcome } from "../requests/types.js";
import { serveCall } from "./commands/serveCall.js";
import { CompletionInterface, serveCompletion } from "./commands/serveCompletion.js";
import { parseChatBody, parseCompletionBody } from "./completionBody.js";
import { createChatFormat, createCompletionFormat } from "./eventStream.js";
import { createProblemBody, sendLastProblem, sendProblem } from "./problem.js";
import { serveModels } from "./queries/serveModels.js";
import { serveRequestById } from "./queries/serveRequestById.js";
import { CallerDependencies } from "./types.js";

/** Idle time of a connection before the first TCP keep-alive probe, in milliseconds. */
const keepAliveProbeMilliseconds = 5_000;
const idleConnectionMilliseconds = 5_000;
const headerTimeoutMilliseconds = 10_000;
const bodyTimeoutMilliseconds = 30_000;
/** Interval of the runtime's checks whether requests are complete in time. */
const timeoutCheckMilliseconds = 1_000;

const completionInterface: CompletionInterface = { isChat: false, parseBody: parseCompletionBody, createFormat: createCompletionFormat };
const chatInterface: CompletionInterface = { isChat: true, parseBody: parseChatBody, createFormat: createChatFormat };

/** Bodies of the open requests, which are read from the moment that their heads have arrived. */
type BodyReadings = WeakMap<IncomingMessage, Promise<BodyResult>>;

/** HTTP server for callers. Serves the OpenAI-compatible interfaces, calls of plain services and lookups of requests by id. */
export class CallerServer {
    private readonly server: Server;
    private readonly connections: CallerConnections;
    private readonly lineLimits: HeaderLineLimits;
    private readonly app: express.Express;
    private readonly sockets = new Set<Socket>();
    private readonly readings: BodyReadings = new WeakMap();

    private constructor(private readonly dependencies: CallerDependencies) {
        this.app = createCallerApp(dependencies, this.readings);
        this.server = createServer({
            maxHeaderSize: dependencies.limits.headerBytes,
            connectionsCheckingInterval: timeoutCheckMilliseconds,
            // The runtime's own response lacks the verdict.
            requireHostHeader: false,
        }, (request, response) => void this.serveRequest(request, response));
        this.lineLimits = HeaderLineLimits.create(this.server, dependencies.bodies.budget, dependencies.limits.headerBytes);
        this.server.keepAliveTimeout = idleConnectionMilliseconds;
        this.server.headersTimeout = headerTimeoutMilliseconds;
        this.server.requestTimeout = bodyTimeoutMilliseconds;
        this.server.on("connection", socket => {
            socket.setNoDelay(true);
            socket.setKeepAlive(true, keepAliveProbeMilliseconds);
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        this.connections = CallerConnections.create(this.server, {
            createProblem: failure => JSON.stringify(createProblemBody(failure, createIdentifier(), 0)),
            recordRejection: (failure, isAnswered, bytesRead) => this.recordUnread(failure, isAnswered, bytesRead),
            recordClosed: (cause, openConnections) => this.recordClosed(cause, openConnections),
        }, dependencies.limits.callerConnections);
    }

    static create(dependencies: CallerDependencies): CallerServer {
        return new CallerServer(dependencies);
    }

    /** Starts listening and returns the bound address. Port 0 binds a free port. */
    async start(address: NetworkAddress): Promise<NetworkAddress> {
        return startListening(this.server, address);
    }

    /** Stops accepting connections and closes idle ones. Connections with open requests stay open. */
    async stopAccepting(): Promise<void> {
        stopListening(this.server);
        this.connections.closeIdle();
    }

    /** Destroys every connection, including those with open requests. */
    closeConnections(): void {
        this.sockets.forEach(socket => socket.destroy());
    }

    private async serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { bodies, limits } = this.dependencies;
        // A body is read also while earlier requests of its connection are served: unread, its parts would be outside the budget.
        this.readings.set(
            request,
            bodies.readBody(request, response, { bytes: limits.bodyBytes, idleTimeout: bodyTimeoutMilliseconds }),
        );
        if (!await this.connections.addResponse(request.socket, response)) {
            return;
        }
        const failure = this.lineLimits.findFailure(request);
        if (failure !== undefined) {
            sendLastProblem(response, failure, createIdentifier());
            return;
        }
        this.app(request, response);
    }

    private recordClosed(cause: ConnectionCloseCause, openConnections: number): void {
        this.dependencies.metrics.closedConnections.inc({ cause });
        this.dependencies.logger.warn("caller connection closed", { cause, openConnections });
    }

    /** Records a request that could not be parsed. */
    private recordUnread(failure: Failure, isAnswered: boolean, bytesRead: number): void {
        const { logger, metrics } = this.dependencies;
        metrics.requests.inc({ service: "", team: "", outcome: RequestOutcome.Refused, verdict: failure.verdict });
        logger.warn("request cannot be read", { status: failure.message.status, cause: failure.text, isAnswered, bytesRead });
    }
}

/** Sets the body of a request, or answers why there is none. */
async function setBody(reading: Promise<BodyResult> | undefined, request: Request, response: Response, next: NextFunction): Promise<void> {
    const body = await reading;
    if (body === undefined) {
        return;
    }
    if (body instanceof Failure) {
        sendLastProblem(response, body, createIdentifier());
        return;
    }
    if (body.isPresent && (request.headers["content-encoding"] ?? "identity") !== "identity") {
        const failure = Failure.create(Verdict.NotRun, Diagnostics.Body_does_not_match_the_interface_0, "content encoding unsupported");
        sendProblem(response, failure, createIdentifier());
        return;
    }
    request.body = body.isPresent ? body.bytes : undefined;
    next();
}

function createCallerApp(dependencies: CallerDependencies, readings: BodyReadings): express.Express {
    const app = express();
    app.disable("x-powered-by");
    app.disable("etag");
    app.use(checkHead);
    app.use((_request, response, next) => checkOpenRequests(dependencies, response, next));
    const readBody: express.Handler = (request, response, next) => void setBody(readings.get(request), request, response, next).catch(next);
    app.post("/v1/completions", readBody, (request, response) => serveCompletion(dependencies, completionInterface, request, response));
    app.post("/v1/chat/completions", readBody, (request, response) => serveCompletion(dependencies, chatInterface, request, response));
    app.get("/v1/models", (request, response) => serveModels(dependencies, request, response));
    app.get("/v1/requests/:id", (request, response) => serveRequestById(dependencies, request, response));
    app.all("/services/:service/{*path}", readBody, (request, response) => serveCall(dependencies, request, response));
    app.use((request, response) => {
        sendProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Path_0_is_not_served, request.path), createIdentifier());
    });
    app.use((error: unknown, _request: Request, response: Response, next: NextFunction) => {
        handleError(error, response, next);
    });
    return app;
}

function checkHead(request: Request, response: Response, next: NextFunction): void {
    const fault = findRequestFault(request);
    if (fault === undefined) {
        next();
        return;
    }
    sendProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Request_head_is_malformed_0, fault), createIdentifier());
}

function checkOpenRequests(dependencies: CallerDependencies, response: Response, next: NextFunction): void {
    if (dependencies.requestTable.countActive() >= dependencies.limits.openRequests) {
        const failure = Failure.create(Verdict.NotRun, Diagnostics.Queue_of_service_0_is_full, "*");
        sendProblem(response, failure.setRetryAfter(1), createIdentifier());
        return;
    }
    next();
}

/** Sends the error response for a request that cannot be read. Any other error is an internal fault, and the request may have run. */
function handleError(error: unknown, response: Response, next: NextFunction): void {
    if (response.headersSent) {
        next(error);
        return;
    }
    const status = (error as { status?: number; }).status ?? 500;
    if (status < 500) {
        const text = error instanceof Error ? error.message : String(error);
        sendProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Body_does_not_match_the_interface_0, text), createIdentifier());
        return;
    }
    const failure = Failure.create(Verdict.MayHaveRun, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, "the node failed");
    sendProblem(response, failure, createIdentifier());
}
