import got, { Got } from "got";
import { z } from "zod";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { HostOffer, noticeSchema, offerSchema, ReclaimNotice } from "./types.js";

/** Client of the cloud API, which sells hosts: lists offers and reclaim notices, starts and stops hosts. */
export interface CloudClient {
    /** Returns the machine classes that can be bought now, with their current prices. */
    listOffers(): Promise<Result<HostOffer[], Failure>>;
    /** Returns the reclaims that were announced and have not yet taken place. */
    listNotices(): Promise<Result<ReclaimNotice[], Failure>>;
    /** Starts a host of the offered class; returns the name of the host. The cloud may refuse, which is returned as a failure. */
    startHost(offer: HostOffer): Promise<Result<string, Failure>>;
    /** Stops a host and returns it to the cloud. */
    stopHost(name: string): Promise<Result<void, Failure>>;
}

const offersSchema = z.object({ offers: z.array(offerSchema) });
const noticesSchema = z.object({ notices: z.array(noticeSchema) });
const startedSchema = z.object({ host: z.string() });

/** Calls the cloud API with JSON over HTTP, without retries. */
export class HttpCloudClient implements CloudClient {
    private constructor(private readonly client: Got) {}

    /** Creates a client for a base URL; the timeout is that of a whole request, in milliseconds. */
    static create(url: string, timeout: number): HttpCloudClient {
        return new HttpCloudClient(got.extend({ prefixUrl: url, retry: { limit: 0 }, timeout: { request: timeout } }));
    }

    async listOffers(): Promise<Result<HostOffer[], Failure>> {
        return sendToCloud(async () => offersSchema.parse(await this.client.get("offers").json()).offers);
    }

    async listNotices(): Promise<Result<ReclaimNotice[], Failure>> {
        return sendToCloud(async () => noticesSchema.parse(await this.client.get("notices").json()).notices);
    }

    async startHost(offer: HostOffer): Promise<Result<string, Failure>> {
        return sendToCloud(async () => startedSchema.parse(await this.client.post("hosts", { json: offer }).json()).host);
    }

    async stopHost(name: string): Promise<Result<void, Failure>> {
        return sendToCloud(async () => {
            await this.client.delete(`hosts/${encodeURIComponent(name)}`);
        });
    }
}

async function sendToCloud<T>(call: () => Promise<T>): Promise<Result<T, Failure>> {
    try {
        return Ok(await call());
    }
    catch (error) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Platform_did_not_answer_0, describeError(error)));
    }
}
