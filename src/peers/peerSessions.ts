import { DescService } from "@bufbuild/protobuf";
import { Client, Code, ConnectError, createClient, Transport } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { EventEmitter } from "node:events";
import { SecureContextOptions } from "node:tls";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure, isConnectFailure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { TlsMaterial } from "./tlsMaterial.js";

/** Largest message that is read from a peer, in bytes: the endpoints and the configuration of a large fleet take less than one megabyte. */
export const maximumPeerMessageBytes = 8_388_608;

/** Interval of the HTTP/2 pings on a connection with open calls. */
const pingIntervalMilliseconds = 1_000;
const pingTimeoutMilliseconds = 1_000;
/** Time after which an unused connection is closed. */
const idleConnectionMilliseconds = 10_000;

/** Internal state of Http2SessionManager that holds its HTTP/2 session; the package does not export it. */
interface SessionManagerState {
    readonly s: { readonly conn?: unknown; };
}

interface OpenPeer<S extends DescService> {
    readonly client: Client<S>;
    readonly sessions: Http2SessionManager;
}

/** Counts unresponsive peers and session errors in the metrics. */
export interface SessionObserver {
    recordUnresponsivePeer(): void;
    recordSessionError(): void;
}

/** Keeps one HTTP/2 session per peer for calls over Connect, with mutual TLS when certificates are configured. */
export class PeerSessions<S extends DescService> {
    private readonly peers = new Map<string, OpenPeer<S>>();
    private readonly observedSessions = new WeakSet<EventEmitter>();

    private constructor(
        private readonly service: S,
        private readonly tls: TlsMaterial | undefined,
        private readonly observer: SessionObserver,
        private readonly connectTimeout: number,
    ) {
        tls?.addListener(() => this.closePeers());
    }

    /** `connectTimeout` is the longest wait for a session, in milliseconds: a host without power refuses no connection. */
    static create<S extends DescService>(
        service: S,
        tls: TlsMaterial | undefined,
        observer: SessionObserver,
        connectTimeout: number,
    ): PeerSessions<S> {
        return new PeerSessions(service, tls, observer, connectTimeout);
    }

    /** Makes one call. After a timeout or connection failure the session is aborted, and the next call opens a new one. */
    async send<T>(address: NetworkAddress, call: (client: Client<S>) => Promise<T>): Promise<Result<T, Failure>> {
        const peer = this.openPeer(address);
        let verdict = Verdict.NotRun;
        try {
            await this.connect(peer);
            verdict = Verdict.MayHaveRun;
            return Ok(await call(peer.client));
        }
        catch (error) {
            const connectError = ConnectError.from(error);
            if (connectError.code === Code.DeadlineExceeded || connectError.code === Code.Unavailable) {
                // A broken connection may stay open although nothing arrives on it any more, so it is not reused.
                this.observer.recordUnresponsivePeer();
                peer.sessions.abort();
                this.peers.delete(formatAddress(address));
            }
            return Err(createPeerFailure(address, connectError, verdict));
        }
    }

    /** Returns a client after its session has been opened; throws when that fails or the signal aborts. */
    async openClient(address: NetworkAddress, signal: AbortSignal): Promise<Client<S>> {
        const peer = this.openPeer(address);
        await this.connect(peer, signal);
        return peer.client;
    }

    closePeers(): void {
        for (const peer of this.peers.values()) {
            peer.sessions.abort();
        }
        this.peers.clear();
    }

    /** Waits until the session is open; throws when it cannot be opened, its time limit passes or the signal aborts. */
    private async connect(peer: OpenPeer<S>, signal?: AbortSignal): Promise<void> {
        const { sessions } = peer;
        const timeout = AbortSignal.timeout(this.connectTimeout);
        const state = await Promise.race([
            sessions.connect(),
            waitForAbort(signal === undefined ? timeout : AbortSignal.any([timeout, signal])),
        ]);
        if (state === undefined && timeout.aborted && sessions.state() === "connecting") {
            // All calls that wait for this connection have waited in vain. The next one opens another.
            sessions.abort();
        }
        if (state === undefined || state === "error") {
            const text = state === undefined ? `no session was opened within ${this.connectTimeout} ms` : describeError(sessions.error());
            throw new ConnectError(text, Code.Unavailable, undefined, undefined, sessions.error());
        }
        this.handleSessionErrors(sessions);
    }

    private openPeer(address: NetworkAddress): OpenPeer<S> {
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
        // Within a region, network traffic costs less than the processor time for compression.
        const transport: Transport = createConnectTransport({
            httpVersion: "2",
            baseUrl,
            sessionManager: sessions,
            acceptCompression: [],
            readMaxBytes: maximumPeerMessageBytes,
        });
        const peer: OpenPeer<S> = { client: createClient(this.service, transport), sessions };
        this.peers.set(key, peer);
        return peer;
    }

    /**
     * Prevents errors of a session from crashing the process. When a peer sends GOAWAY, the session manager destroys its idle
     * session with an error, sometimes after it has removed its own error listener.
     */
    private handleSessionErrors(sessions: Http2SessionManager): void {
        const state = (sessions as unknown as SessionManagerState).s;
        if (state.conn instanceof EventEmitter && !this.observedSessions.has(state.conn)) {
            this.observedSessions.add(state.conn);
            state.conn.on("error", () => this.observer.recordSessionError());
        }
    }
}

function createClientOptions(options: SecureContextOptions) {
    return {
        ...options,
        // Every certificate of the authority belongs to a node; certificates don't name hosts, whose addresses change too often.
        checkServerIdentity: () => undefined,
    };
}

/** Resolves with undefined when the signal aborts. */
function waitForAbort(signal: AbortSignal): Promise<undefined> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve(undefined);
        }
        signal.addEventListener("abort", () => resolve(undefined), { once: true });
    });
}

/** Creates the failure of a call to a peer. The verdict is that of a call whose connection was established before. */
function createPeerFailure(address: NetworkAddress, error: ConnectError, connectedVerdict: Verdict): Failure {
    const verdict = isConnectFailure(error.cause) ? Verdict.NotRun : connectedVerdict;
    return Failure.create(verdict, Diagnostics.Node_at_0_did_not_answer_1, formatAddress(address), describeError(error));
}
