import { createTestToken } from "./deployment.js";

/** What a caller in a test got. */
export interface CallerAnswer {
    readonly status: number;
    readonly requestId: string;
    readonly verdict: string;
    readonly text: string;
    readonly body: string;
    readonly ids: readonly number[];
    readonly isWhole: boolean;
    readonly reattaches: number;
}

const reattachPauseMilliseconds = 50;
const reattachLimit = 100;

/** Returns the headers of a team's caller. */
export function createCallerHeaders(team = "desk"): Record<string, string> {
    return { "authorization": `Bearer ${createTestToken(team)}`, "content-type": "application/json" };
}

/** Streams a completion, attaching again at any of the URLs when the stream breaks off. */
export async function sendCompletion(
    urls: readonly string[],
    service: string,
    prompt: string,
    tokens: number,
    team = "desk",
): Promise<CallerAnswer> {
    const body = JSON.stringify({ model: service, prompt, max_tokens: tokens, stream: true });
    const headers = createCallerHeaders(team);
    const first = await fetchAtAny(urls, headers, body);
    const collected: CollectedStream = { text: "", ids: [], isWhole: false, body: "" };
    await readEvents(first, collected);
    const requestId = first.headers.get("x-request-id") ?? "";
    let reattaches = 0;
    while (first.status === 200 && !collected.isWhole && reattaches < reattachLimit) {
        reattaches += 1;
        await new Promise(resolve => setTimeout(resolve, reattachPauseMilliseconds));
        const url = urls[reattaches % urls.length] as string;
        const last = String(collected.ids.at(-1) ?? 0);
        try {
            const again = await fetch(`${url}/v1/requests/${requestId}`, {
                headers: { ...headers, "accept": "text/event-stream", "last-event-id": last },
            });
            await readEvents(again, collected);
        }
        catch {
            // The node is gone; the next one is tried.
        }
    }
    return {
        status: first.status,
        requestId,
        verdict: first.headers.get("x-request-verdict") ?? "",
        text: collected.text,
        body: collected.body,
        ids: collected.ids,
        isWhole: collected.isWhole,
        reattaches,
    };
}

/** Sends a request to the first node that takes the connection, as a balancer does. */
async function fetchAtAny(urls: readonly string[], headers: Record<string, string>, body: string): Promise<Response> {
    for (const url of urls) {
        try {
            const response = await fetch(`${url}/v1/completions`, { method: "POST", headers, body });
            if (response.status !== 503 || response.headers.get("x-request-verdict") !== "NotRun") {
                return response;
            }
        }
        catch {
            // Refused: this node has stopped.
        }
    }
    throw new Error("no node took the request");
}

interface CollectedStream {
    text: string;
    readonly ids: number[];
    isWhole: boolean;
    body: string;
}

async function readEvents(response: Response, collected: CollectedStream): Promise<void> {
    let text = "";
    try {
        for await (const chunk of response.body ?? []) {
            text += Buffer.from(chunk as Uint8Array).toString("utf8");
        }
    }
    catch {
        // A broken connection: what came before it counts.
    }
    collected.body = text;
    if (response.status !== 200) {
        return;
    }
    for (const event of text.split("\n\n").slice(0, -1)) {
        readEvent(event, collected);
    }
}

function readEvent(event: string, collected: CollectedStream): void {
    const data = /^data: (.*)$/m.exec(event)?.[1] ?? "";
    if (data === "[DONE]") {
        collected.isWhole = true;
        return;
    }
    const id = /^id: (\d+)$/m.exec(event)?.[1];
    const text = (JSON.parse(data) as { choices?: { text?: string; }[]; }).choices?.[0]?.text ?? "";
    if (id !== undefined && text !== "") {
        collected.text += text;
        collected.ids.push(Number(id));
    }
}

/** Calls a plain service once. A lost connection gives status 0. */
export async function sendCall(
    url: string,
    service: string,
    path: string,
    key: string | undefined,
    body: unknown,
    team = "desk",
): Promise<CallerAnswer> {
    const headers = { ...createCallerHeaders(team), ...(key === undefined ? {} : { "idempotency-key": key }) };
    try {
        const response = await fetch(`${url}/services/${service}/${path}`, { method: "POST", headers, body: JSON.stringify(body) });
        return {
            status: response.status,
            requestId: response.headers.get("x-request-id") ?? "",
            verdict: response.headers.get("x-request-verdict") ?? "",
            text: "",
            body: await response.text(),
            ids: [],
            isWhole: true,
            reattaches: 0,
        };
    }
    catch {
        return { status: 0, requestId: "", verdict: "", text: "", body: "", ids: [], isWhole: false, reattaches: 0 };
    }
}
