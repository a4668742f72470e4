import { Client, Code, ConnectError, createClient, Transport } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { EventEmitter } from "node:events";
import { SecureContextOptions } from "node:tls";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure, readErrorCode } from "../common/failure.js";
import { Metrics } from "../common/metrics.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { PeerService } from "../generated/corianderward/v1/peer_pb.js";
import { TlsMaterial } from "./tlsMaterial.js";
import {
    AdoptRequestInit,
    ExplainRequestResponse,
    FetchSharedObjectsResponse,
    FollowRequestEvent,
    ForwardCallInit,
    ForwardCallResponse,
    NodeDigest,
    NodeDigestInit,
    ObjectRevisionInit,
    PeerLink,
    PeerResult,
} from "./types.js";

/** Time limit of a short call between nodes, in milliseconds. */
const shortCallMilliseconds = 1_500;
/** Time limit of taking over a request, in milliseconds. */
const adoptCallMilliseconds = 3_000;
/** Time between two pings on a connection with open calls, in milliseconds. */
const pingIntervalMilliseconds = 1_000;
const pingTimeoutMilliseconds = 1_000;
/** Time after which an unused connection is closed, in milliseconds. */
const idleConnectionMilliseconds = 10_000;

/** The part of the session manager's state that holds its session. */
interface SessionManagerState {
    readonly s: { readonly conn?: unknown; };
}

interface OpenPeer {
    readonly client: Client<typeof PeerService>;
    readonly sessions: Http2SessionManager;
}

/** Calls peers over Connect on HTTP/2, with mutual TLS when certificates are set. */
export class ConnectPeerLink implements PeerLink {
    private readonly peers = new Map<string, OpenPeer>();
    private readonly guardedSessions = new WeakSet<EventEmitter>();

    private constructor(private readonly tls: TlsMaterial | undefined, private readonly metrics: Metrics) {
        tls?.addListener(() => this.closePeers());
    }

    static create(tls: TlsMaterial | undefined, metrics: Metrics): ConnectPeerLink {
        return new ConnectPeerLink(tls, metrics);
    }

    async exchangeDigests(address: NetworkAddress, digest: NodeDigestInit): Promise<PeerResult<NodeDigest>> {
        const answer = await this.send(address, client => client.exchange({ digest }, { timeoutMs: shortCallMilliseconds }));
        this.metrics.peerExchanges.inc({ outcome: answer.ok ? "ok" : "failed" });
        if (answer.err) {
            return answer;
        }
        if (answer.val.digest === undefined) {
            return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Node_at_0_did_not_answer_1, formatAddress(address), "no digest"));
        }
        return Ok(answer.val.digest);
    }

    async fetchSharedObjects(
        address: NetworkAddress,
        known: readonly ObjectRevisionInit[],
    ): Promise<PeerResult<FetchSharedObjectsResponse>> {
        return this.send(address, client => client.fetchSharedObjects({ known: [...known] }, { timeoutMs: shortCallMilliseconds }));
    }

    async adoptRequest(address: NetworkAddress, request: AdoptRequestInit): Promise<PeerResult<boolean>> {
        const answer = await this.send(address, client => client.adoptRequest(request, { timeoutMs: adoptCallMilliseconds }));
        return answer.map(response => response.accepted);
    }

    followRequest(address: NetworkAddress, requestId: string, offset: number, signal: AbortSignal): AsyncIterable<FollowRequestEvent> {
        return this.followOpenPeer(this.openPeer(address), requestId, offset, signal);
    }

    private async *followOpenPeer(
        peer: OpenPeer,
        requestId: string,
        offset: number,
        signal: AbortSignal,
    ): AsyncIterable<FollowRequestEvent> {
        await peer.sessions.connect();
        this.guardSession(peer.sessions);
        yield* peer.client.followRequest({ requestId, offset }, { signal });
    }

    async forwardCall(address: NetworkAddress, call: ForwardCallInit, timeLimit: number): Promise<PeerResult<ForwardCallResponse>> {
        return this.send(address, client => client.forwardCall(call, { timeoutMs: timeLimit }));
    }

    async describeRequest(address: NetworkAddress, requestId: string): Promise<PeerResult<ExplainRequestResponse>> {
        return this.send(address, client => client.explainRequest({ requestId }, { timeoutMs: shortCallMilliseconds }));
    }

    stop(): void {
        this.closePeers();
    }

    private closePeers(): void {
        for (const peer of this.peers.values()) {
            peer.sessions.abort();
        }
        this.peers.clear();
    }

    private openPeer(address: NetworkAddress): OpenPeer {
        const key = formatAddress(address);
        const existing = this.peers.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const scheme = this.tls === undefined ? "http" : "https";
        const baseUrl = `${scheme}://${key}`;
        const options = this.tls === undefined ? undefined : createClientOptions(this.tls.getOptions());
        const sessions = new Http2SessionManager(baseUrl, {
            pingIntervalMs: pingIntervalMilliseconds,
            pingTimeoutMs: pingTimeoutMilliseconds,
            idleConnectionTimeoutMs: idleConnectionMilliseconds,
        }, options);
        const transport: Transport = createConnectTransport({ httpVersion: "2", baseUrl, sessionManager: sessions });
        const peer: OpenPeer = { client: createClient(PeerService, transport), sessions };
        this.peers.set(key, peer);
        return peer;
    }

    /**
     * Keeps the errors of a session from ending the process. When a peer says that it goes away, the session manager
     * destroys its idle session with an error, at times after it has removed its own listener.
     */
    private guardSession(sessions: Http2SessionManager): void {
        const state = (sessions as unknown as SessionManagerState).s;
        if (state.conn instanceof EventEmitter && !this.guardedSessions.has(state.conn)) {
            this.guardedSessions.add(state.conn);
            state.conn.on("error", () => this.metrics.peerExchanges.inc({ outcome: "session-error" }));
        }
    }

    private async send<T>(address: NetworkAddress, call: (client: Client<typeof PeerService>) => Promise<T>): Promise<Result<T, Failure>> {
        const peer = this.openPeer(address);
        try {
            await peer.sessions.connect();
            this.guardSession(peer.sessions);
            return Ok(await call(peer.client));
        }
        catch (error) {
            const connectError = ConnectError.from(error);
            if (connectError.code === Code.DeadlineExceeded || connectError.code === Code.Unavailable) {
                // A connection that gave no answer is not used again: it may be silent for good.
                this.metrics.silences.inc({ hop: "peer" });
                peer.sessions.abort();
                this.peers.delete(formatAddress(address));
            }
            return Err(createPeerFailure(address, connectError));
        }
    }
}

function createClientOptions(options: SecureContextOptions) {
    return {
        ...options,
        // Every holder of a certificate of the authority is a node; hosts change their addresses too often to name them.
        checkServerIdentity: () => undefined,
    };
}

function createPeerFailure(address: NetworkAddress, error: ConnectError): Failure {
    const causeCode = readErrorCode(error.cause);
    const neverConnected = causeCode === "ECONNREFUSED" || causeCode === "EHOSTUNREACH" || causeCode === "ENETUNREACH";
    const verdict = neverConnected ? Verdict.NotRun : Verdict.MayHaveRun;
    return Failure.create(verdict, Diagnostics.Node_at_0_did_not_answer_1, formatAddress(address), describeError(error));
}
