import got from "got";
import { describeError } from "../../common/failure.js";
import { Logger } from "../../common/logging.js";
import { MoveListener } from "./moveController.js";
import { MoveRecord } from "./moveRecord.js";

const requestTimeoutMilliseconds = 5_000;
const retryLimit = 3;

/** Posts the end of each move to the operators' webhook URL. Every node posts it; receivers deduplicate by the record's id. */
export class MoveWebhook implements MoveListener {
    private constructor(private readonly url: string, private readonly node: string, private readonly logger: Logger) {}

    static create(url: string, node: string, logger: Logger): MoveWebhook {
        return new MoveWebhook(url, node, logger);
    }

    handleMoveEnd(record: MoveRecord): void {
        void this.send(record);
    }

    private async send(record: MoveRecord): Promise<void> {
        try {
            await got.post(this.url, {
                json: { event: "move-ended", node: this.node, move: record },
                timeout: { request: requestTimeoutMilliseconds },
                retry: { limit: retryLimit, methods: ["POST"] },
            });
        }
        catch (error) {
            this.logger.warn("webhook request for the end of a move failed", { service: record.service, text: describeError(error) });
        }
    }
}
