import { DescService } from "@bufbuild/protobuf";
import { Client, Code, ConnectError, createClient, Transport } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { SecureContextOptions } from "node:tls";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure, isConnectFailure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { PeerSession } from "./peerSession.js";
import { TlsMaterial } from "./tlsMaterial.js";

/** Largest message that is read from a peer, in bytes: the endpoints and the configuration of a large fleet take less than one megabyte. */
export const maximumPeerMessageBytes = 8_388_608;

/** Time after which an unused connection is closed. */
const idleConnectionMilliseconds = 10_000;

/** Counts unresponsive peers and session errors in the metrics. */
export interface SessionObserver {
    recordUnresponsivePeer(): void;
    recordSessionError(): void;
}

/** Keeps one HTTP/2 session per peer for calls over Connect, with mutual TLS when certificates are configured. */
export class PeerSessions<S extends DescService> {
    private readonly currentSessions = new Map<string, PeerSession<S>>();
    /** All sessions that are not closed; those that are not current get no further calls. */
    private readonly openSessions = new Set<PeerSession<S>>();

    private constructor(
        private readonly service: S,
        private readonly tls: TlsMaterial | undefined,
        private readonly observer: SessionObserver,
        private readonly connectTimeout: number,
    ) {
        tls?.addListener(() => [...this.currentSessions].forEach(([key, session]) => this.retireSession(key, session)));
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

    /** Makes one call. After a timeout or connection failure the next call opens a new session; other calls on this one go on. */
    send<T>(address: NetworkAddress, call: (client: Client<S>) => Promise<T>): Promise<Result<T, Failure>> {
        return this.sendOnSession(address, () => this.openCurrentSession(formatAddress(address)), call);
    }

    /** Makes one call on a session that shows signs of life: for calls whose time limit is no measure of the session. */
    sendOnCheckedSession<T>(address: NetworkAddress, call: (client: Client<S>) => Promise<T>): Promise<Result<T, Failure>> {
        return this.sendOnSession(address, () => this.openSession(address), call);
    }

    /** Returns a client after its session has been opened; throws when that fails or the signal aborts. */
    async openClient(address: NetworkAddress, signal: AbortSignal): Promise<Client<S>> {
        return (await this.openSession(address, signal)).client;
    }

    /** Returns an open session that shows signs of life, or a new one; throws when none can be opened or the signal aborts. */
    async openSession(address: NetworkAddress, signal?: AbortSignal): Promise<PeerSession<S>> {
        const key = formatAddress(address);
        const session = await this.openCurrentSession(key, signal);
        const isAnswering = await session.checkAnswers(signal);
        signal?.throwIfAborted();
        if (isAnswering) {
            return session;
        }
        this.retireSession(key, session);
        return this.openCurrentSession(key, signal);
    }

    closePeers(): void {
        this.currentSessions.clear();
        [...this.openSessions].forEach(session => session.close());
    }

    private async sendOnSession<T>(
        address: NetworkAddress,
        open: () => Promise<PeerSession<S>>,
        call: (client: Client<S>) => Promise<T>,
    ): Promise<Result<T, Failure>> {
        let session: PeerSession<S> | undefined;
        try {
            session = await open();
            return Ok(await call(session.client));
        }
        catch (error) {
            const connectError = ConnectError.from(error);
            if (connectError.code === Code.DeadlineExceeded || connectError.code === Code.Unavailable) {
                // A broken connection may stay open although nothing arrives on it any more, so it is not reused.
                this.observer.recordUnresponsivePeer();
                this.retireSession(formatAddress(address), session);
            }
            return Err(createPeerFailure(address, connectError, session === undefined ? Verdict.NotRun : Verdict.MayHaveRun));
        }
    }

    private async openCurrentSession(key: string, signal?: AbortSignal): Promise<PeerSession<S>> {
        const session = this.currentSessions.get(key) ?? this.createSession(key);
        await session.open(this.connectTimeout, signal);
        // A session that was closed meanwhile has opened another connection.
        this.openSessions.add(session);
        return session;
    }

    private createSession(key: string): PeerSession<S> {
        const scheme = this.tls === undefined ? "http" : "https";
        const baseUrl = `${scheme}://${key}`;
        const options = this.tls === undefined ? undefined : createClientOptions(this.tls.getOptions());
        const sessionManager = new Http2SessionManager(baseUrl, { idleConnectionTimeoutMs: idleConnectionMilliseconds }, options);
        // Within a region, network traffic costs less than the processor time for compression.
        const transport: Transport = createConnectTransport({
            httpVersion: "2",
            baseUrl,
            sessionManager,
            acceptCompression: [],
            readMaxBytes: maximumPeerMessageBytes,
        });
        const session: PeerSession<S> = PeerSession.create(createClient(this.service, transport), sessionManager, {
            handleSilence: () => this.replaceSession(key, session),
            handleClosing: () => this.retireSession(key, session),
            isPeerAnswering: () => this.currentSessions.get(key) !== session && this.currentSessions.get(key)?.hasAnswered() === true,
            recordError: () => this.observer.recordSessionError(),
            handleClosed: () => this.removeSession(key, session),
        });
        this.currentSessions.set(key, session);
        this.openSessions.add(session);
        return session;
    }

    private removeSession(key: string, session: PeerSession<S>): void {
        this.openSessions.delete(session);
        if (this.currentSessions.get(key) === session) {
            this.currentSessions.delete(key);
        }
    }

    private retireSession(key: string, session: PeerSession<S> | undefined): void {
        if (session !== undefined && this.currentSessions.get(key) === session) {
            this.currentSessions.delete(key);
            session.closeWhenIdle();
        }
    }

    /** Opens another session to a peer in place of one that does not answer, to find out whether it is the session or the peer that is silent. */
    private replaceSession(key: string, session: PeerSession<S>): void {
        if (this.currentSessions.get(key) !== session) {
            return;
        }
        this.retireSession(key, session);
        void this.openCurrentSession(key).then(next => next.sendPing()).catch(() => this.observer.recordSessionError());
    }
}

function createClientOptions(options: SecureContextOptions) {
    return {
        ...options,
        // Every certificate of the authority belongs to a node; certificates don't name hosts, whose addresses change too often.
        checkServerIdentity: () => undefined,
    };
}

/** Creates the failure of a call to a peer. The verdict is that of a call whose connection was established before. */
function createPeerFailure(address: NetworkAddress, error: ConnectError, connectedVerdict: Verdict): Failure {
    const verdict = isConnectFailure(error.cause) ? Verdict.NotRun : connectedVerdict;
    return Failure.create(verdict, Diagnostics.Node_at_0_did_not_answer_1, formatAddress(address), describeError(error));
}
