import { listByRendezvousRank } from "../../common/hashing.js";
import { Logger } from "../../common/logging.js";
import { Metrics } from "../../common/metrics.js";
import { MemberDirectory } from "../../peers/memberDirectory.js";
import { Member, PeerLink } from "../../peers/types.js";
import { encodeRequest } from "../requestCodec.js";
import { RequestRecord } from "../requestRecord.js";
import { RequestTable } from "../requestTable.js";

/** Peers to which one request is offered. */
const handoverPeerLimit = 3;

/** Hands over this node's running requests to peers when the node shuts down. */
export class RequestHandover {
    private constructor(
        private readonly table: RequestTable,
        private readonly directory: MemberDirectory,
        private readonly link: PeerLink,
        private readonly metrics: Metrics,
        private readonly logger: Logger,
    ) {}

    static create(table: RequestTable, directory: MemberDirectory, link: PeerLink, metrics: Metrics, logger: Logger): RequestHandover {
        return new RequestHandover(table, directory, link, metrics, logger);
    }

    /** Hands over every running request; returns the number of requests that no peer adopted. */
    async drainRequests(): Promise<number> {
        const results = await Promise.all(this.table.listActive().map(record => this.handOverRequest(record)));
        const left = results.filter(isAdopted => !isAdopted).length;
        this.logger.info("requests handed over", { handedOver: results.length - left, left });
        return left;
    }

    private async handOverRequest(record: RequestRecord): Promise<boolean> {
        // Buffer new tokens, so that the peer continues exactly after the tokens in the message.
        record.startBuffering();
        const message = {
            requestId: record.request.id,
            fromNode: this.directory.identity.name,
            requestJson: JSON.stringify(encodeRequest(record.request)),
            tokens: [...record.tokens],
        };
        for (const member of this.pickPeers(record.request.id)) {
            const adopted = await this.link.adoptRequest(member.address, message);
            if (adopted.ok && adopted.val) {
                this.metrics.handovers.inc({ outcome: "adopted" });
                record.isHandedOver = true;
                record.cancellation.abort();
                return true;
            }
        }
        this.metrics.handovers.inc({ outcome: "refused" });
        record.flushBufferedTokens();
        return false;
    }

    /** Returns the domain's peers for a request by rendezvous hashing, the order in which any node searches for the request. */
    private pickPeers(requestId: string): Member[] {
        const reachablePeers = this.directory.listReachableDomainMembers();
        return listByRendezvousRank(requestId, reachablePeers, member => member.name).slice(0, handoverPeerLimit);
    }
}
