import got, { Got } from "got";
import { z } from "zod";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { HostOffer, noticeSchema, offerSchema, ReclaimNotice } from "./types.js";

/** The cloud API: offers, notices, starts and stops of hosts. */
export interface Cloud {
    /** Returns what can be bought now and at which price. */
    listOffers(): Promise<Result<HostOffer[], Failure>>;
    /** Returns the reclaims announced and not yet carried out. */
    listNotices(): Promise<Result<ReclaimNotice[], Failure>>;
    /** Starts a host; returns its name. The cloud may refuse. */
    startHost(offer: HostOffer): Promise<Result<string, Failure>>;
    /** Gives a host back. */
    stopHost(name: string): Promise<Result<void, Failure>>;
}

const offersSchema = z.object({ offers: z.array(offerSchema) });
const noticesSchema = z.object({ notices: z.array(noticeSchema) });
const startedSchema = z.object({ host: z.string() });

/** Speaks to the cloud API over HTTP and JSON. */
export class HttpCloud implements Cloud {
    private constructor(private readonly client: Got) {}

    /** The timeout is in milliseconds. */
    static create(url: string, timeout: number): HttpCloud {
        return new HttpCloud(got.extend({ prefixUrl: url, retry: { limit: 0 }, timeout: { request: timeout } }));
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
