import { selectByRendezvous } from "../../common/hashing.js";
import { Logger } from "../../common/logging.js";
import { Metrics } from "../../common/metrics.js";
import { MemberDirectory } from "../../peers/memberDirectory.js";
import { Member, PeerLink } from "../../peers/types.js";
import { encodeRequest } from "../requestCodec.js";
import { RequestRecord } from "../requestRecord.js";
import { RequestTable } from "../requestTable.js";

/** Peers that are asked to take over one request. */
const handoverTries = 3;

/** Hands the requests that still run to other nodes when this one shuts down. */
export class HandOver {
    private constructor(
        private readonly table: RequestTable,
        private readonly directory: MemberDirectory,
        private readonly link: PeerLink,
        private readonly metrics: Metrics,
        private readonly logger: Logger,
    ) {}

    static create(table: RequestTable, directory: MemberDirectory, link: PeerLink, metrics: Metrics, logger: Logger): HandOver {
        return new HandOver(table, directory, link, metrics, logger);
    }

    /** Hands on every running request; returns how many no peer could take. */
    async drainRequests(): Promise<number> {
        const results = await Promise.all(this.table.listActive().map(record => this.handOver(record)));
        const left = results.filter(isTaken => !isTaken).length;
        this.logger.info("requests handed over", { handedOver: results.length - left, left });
        return left;
    }

    private async handOver(record: RequestRecord): Promise<boolean> {
        // From here on the record takes no more tokens, so that the peer goes on at exactly this place.
        record.stopAppending();
        const message = {
            requestId: record.request.id,
            fromNode: this.directory.identity.name,
            requestJson: JSON.stringify(encodeRequest(record.request)),
            tokens: [...record.tokens],
        };
        for (const member of this.pickMembers(record.request.id)) {
            const answer = await this.link.adoptRequest(member.address, message);
            if (answer.ok && answer.val) {
                this.metrics.handovers.inc({ outcome: "adopted" });
                record.isHandedOver = true;
                record.cancellation.abort();
                return true;
            }
        }
        this.metrics.handovers.inc({ outcome: "refused" });
        record.resumeAppending();
        return false;
    }

    /** Returns the peers of the domain in the order in which any node would look for the request. */
    private pickMembers(requestId: string): Member[] {
        const live = this.directory.listLiveDomainMembers();
        return selectByRendezvous(requestId, live, member => member.name).slice(0, handoverTries);
    }
}
