import assert from "node:assert/strict";
import { after, afterEach, before, test, TestContext } from "node:test";
import { formatAddress } from "../config/sectionReader.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { WorkerFault } from "../standins/routed/routedWorker.js";
import { CuttableConnector, PathCut } from "../testing/cuttableConnector.js";
import { pickFreePort } from "../testing/daemons.js";
import { CallerView, RoutedGateway, waitUntil } from "../testing/routedGateway.js";
import { SilentAddress } from "../testing/silentAddress.js";

/** Time after which a node that is cut off owes its callers service again, in milliseconds. */
const contactMilliseconds = 3_000;
/** Least share of first attempts that a cut-off node serves, of the share that the others serve. */
const leastServedShare = 2 / 3;

/** Time that a caller waits before it gives up, in milliseconds: the time limit of the routes and half a second. */
const patienceMilliseconds = 2_000;

const platform = RoutedPlatform.create();
let connector: CuttableConnector;
let peer: RoutedGateway;
let cutOff: RoutedGateway;

before(async () => {
    await platform.start(3);
    connector = await CuttableConnector.start(platform.listWorkers().map(worker => worker.getAddress()));
    peer = await RoutedGateway.start(platform, { name: "peer", peersPort: await pickFreePort() });
    cutOff = await RoutedGateway.start(platform, {
        name: "cut-off",
        peersPort: await pickFreePort(),
        seeds: peer.getPeerAddress(),
        connector,
    });
    await waitUntil(() => cutOff.node.container.get(Keys.Peers).listReachablePeers().length === 1);
});

after(async () => {
    await Promise.all([cutOff.stop(), peer.stop()]);
    await platform.stop();
    await connector.stop();
});

afterEach(async () => {
    connector.setCut(PathCut.None);
    await waitUntil(() => cutOff.node.container.get(Keys.ServicePaths).listUnreachableServices().length === 0);
});

const paths = ["/lookup/1", "/voucher/1", "/notice/1", "/question/1"];
let sequence = 0;

/** Sends one call of each kind to the node that is cut off; no two calls are alike. */
function sendRound(): Promise<CallerView[]> {
    sequence += 1;
    return Promise.all(paths.map(path =>
        path.startsWith("/lookup")
            ? cutOff.sendCall(`${path}${sequence}`)
            : cutOff.sendCall(path, { method: "POST", body: `body ${sequence}` })
    ));
}

/** Sends rounds of calls one after the other, from several callers at once, for some time. */
async function sendRounds(milliseconds: number, callers: number): Promise<CallerView[]> {
    const endsAt = performance.now() + milliseconds;
    const responses: CallerView[] = [];
    await Promise.all(Array.from({ length: callers }, async () => {
        while (performance.now() < endsAt) {
            responses.push(...await sendRound());
        }
    }));
    return responses;
}

// Guards against joining the part of an event that a crash left behind to the events that come over a peer.
test("a stream that breaks off inside an event goes on over a peer without a piece of the broken event", async () => {
    platform.engines.forEach(engine => {
        engine.eventMilliseconds = 60;
        engine.faults.push(WorkerFault.BreakStream);
    });
    const sent = cutOff.sendCall("/question/broken", { method: "POST", body: "broken" });
    await waitUntil(() => platform.engines.some(engine => engine.runs.length > 0));
    platform.engines.filter(engine => engine.runs.length === 0).forEach(engine => engine.faults.splice(0));
    connector.setCut(PathCut.NewRefused);
    const response = await sent;
    platform.engines.forEach(engine => {
        engine.eventMilliseconds = 5;
        engine.runs.length = 0;
    });
    assert.equal(response.isWhole, true);
    assert.equal(response.body, [1, 2, 3, 4, 5].map(id => `id: ${id}\ndata: piece ${id}\n\n`).join(""));
});

for (const cut of [PathCut.Silent, PathCut.Reset, PathCut.NewRefused]) {
    // Guards against callers of a node that is cut off from all endpoints being refused, while its peers reach every endpoint.
    test(`a node that is cut off from all endpoints (${cut}) serves its callers`, async () => {
        await sendRounds(300, 1);
        connector.setCut(cut);
        await sendRounds(contactMilliseconds, 4);
        const responses = await sendRounds(1_500, 4);
        const served = responses.filter(response => response.status === 200 && response.isWhole).length;
        assert.equal(served >= responses.length * leastServedShare, true, `${served} of ${responses.length} served`);
    });

    // Guards against sound requests being suspected, on every node, of the crash of endpoints that run.
    test(`a node that is cut off from all endpoints (${cut}) counts no crash against its requests`, async () => {
        const running = sendRounds(1_000, 4);
        setTimeout(() => connector.setCut(cut), 300);
        await running;
        assert.equal(cutOff.node.container.get(Keys.Ledger).isEmpty(), true);
        assert.equal(peer.node.container.get(Keys.Ledger).isEmpty(), true);
    });
}

/**
 * Starts a gateway that reaches none of its endpoints and believes that there is a peer at an address; sends it one call of each kind
 * that may run once.
 */
async function sendLonelyCalls(context: TestContext, peerAddress: string): Promise<CallerView[]> {
    const lonelyPlatform = RoutedPlatform.create();
    await lonelyPlatform.start();
    const lonelyConnector = await CuttableConnector.start(lonelyPlatform.listWorkers().map(worker => worker.getAddress()));
    const lonely = await RoutedGateway.start(lonelyPlatform, { name: "lonely", connector: lonelyConnector });
    context.after(async () => {
        await lonely.stop();
        await lonelyPlatform.stop();
        await lonelyConnector.stop();
    });
    lonelyConnector.setCut(PathCut.Reset);
    const gone = { name: "gone", failureDomain: "xela", address: peerAddress, incarnation: 1 };
    const responses: CallerView[] = [];
    for (const path of ["/voucher/nobody", "/notice/nobody"]) {
        lonely.node.container.get(Keys.Peers).recordRelayedState(gone, 0, {
            isLeaving: false,
            isStoreReachable: true,
            holdsLease: false,
            unreachableServices: [],
        });
        responses.push(await lonely.sendCall(path, { method: "POST", body: path, signal: AbortSignal.timeout(patienceMilliseconds) }));
    }
    return responses;
}

// Guards against telling callers that a call may have run when the peer that was to forward it could not even be reached.
test("a call is refused as not run when neither an endpoint nor a peer can be reached", async context => {
    for (const response of await sendLonelyCalls(context, "127.0.0.1:9")) {
        assert.equal(response.status, 503, response.body);
    }
});

// Guards against calls that wait, past their time limit, for a connection to a peer whose host has lost its power.
test("a call that is handed to a peer without power is refused as not run, within its time limit", async context => {
    const silent = await SilentAddress.create();
    context.after(() => silent.stop());
    for (const response of await sendLonelyCalls(context, formatAddress(silent.address))) {
        assert.equal(response.status, 503, response.body);
    }
});
