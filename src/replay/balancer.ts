import got from "got";

const checkIntervalMilliseconds = 100;
const checkTimeoutMilliseconds = 500;

/** A node as the balancer sees it. */
export interface BalancedNode {
    readonly callerUrl: string;
    readonly operatorUrl: string;
}

/** Stands for the platform's balancer: sends callers to the nodes whose readiness is on, in turn. */
export class Balancer {
    private readonly ready = new Map<string, boolean>();
    private turn = 0;
    private timer: NodeJS.Timeout;

    private constructor(private readonly listNodes: () => readonly BalancedNode[]) {
        this.timer = setInterval(() => void this.checkNodes(), checkIntervalMilliseconds).unref();
    }

    static create(listNodes: () => readonly BalancedNode[]): Balancer {
        return new Balancer(listNodes);
    }

    /** Returns the caller URL of a ready node; of any node when none is known to be ready. */
    pickUrl(): string {
        const nodes = this.listNodes();
        const ready = nodes.filter(node => this.ready.get(node.callerUrl) !== false);
        const candidates = ready.length > 0 ? ready : nodes;
        this.turn += 1;
        return (candidates[this.turn % candidates.length] as BalancedNode).callerUrl;
    }

    async checkNodes(): Promise<void> {
        await Promise.all(
            this.listNodes().map(async node => {
                try {
                    const answer = await got(`${node.operatorUrl}/readyz`, {
                        throwHttpErrors: false,
                        retry: { limit: 0 },
                        timeout: { request: checkTimeoutMilliseconds },
                    });
                    this.ready.set(node.callerUrl, answer.statusCode === 200);
                }
                catch {
                    this.ready.set(node.callerUrl, false);
                }
            }),
        );
    }

    stop(): void {
        clearInterval(this.timer);
    }
}
