import { create, DescMessage, fromBinary, MessageShape, toBinary } from "@bufbuild/protobuf";
import { FieldDescriptorProto, FileDescriptorProto, FileDescriptorProtoSchema } from "@bufbuild/protobuf/wkt";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";
import { parseAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import {
    file_corianderward_gateway_v1_gateway,
    ForwardCallEventSchema,
    ForwardCallRequestSchema,
    GatewayDigestSchema,
    GatewayExchangeRequestSchema,
    GatewayExchangeResponseSchema,
    GatewayPeerService,
    SharedState,
    SharedStateSchema,
} from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { PeerSessions } from "../peers/peerSessions.js";
import { routedNames, RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { pickFreePort } from "../testing/daemons.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

/** Messages that the build of the landing before sent, and the descriptor by which it reads ours. Replaced at each landing. */
const recorded = JSON.parse(
    readFileSync(fileURLToPath(new URL("../../../src/gossip/baselines/landing-8.json", import.meta.url)), "utf8"),
) as Readonly<Record<string, string>> & { readonly forwardCallEvents: readonly string[]; };

const observer = { recordUnresponsivePeer: () => {}, recordSessionError: () => {} };
const platform = RoutedPlatform.create();
const sessions = PeerSessions.create(GatewayPeerService, undefined, observer, 1_000);

before(() => platform.start());
after(async () => {
    sessions.closePeers();
    await platform.stop();
});

function decodeRecorded<Desc extends DescMessage>(schema: Desc, text: string | undefined): MessageShape<Desc> {
    return fromBinary(schema, Buffer.from(text ?? "", "base64"));
}

// Guards against an upgrade in which nodes of this build cannot use what nodes of the build before tell them.
test("a node that cannot reach the store takes configuration and endpoints from a node of the landing before", async context => {
    const peersPort = await pickFreePort();
    const starting = RoutedGateway.start(platform, { name: "after", peersPort, storeAddress: "127.0.0.1:9" });
    const address: NetworkAddress = { host: "127.0.0.1", port: peersPort };
    const request = decodeRecorded(GatewayExchangeRequestSchema, recorded["exchangeRequest"]);
    let exchanged = await sessions.send(address, client => client.exchange(request));
    for (let count = 0; exchanged.err && count < 100; count += 1) {
        exchanged = await sessions.send(address, client => client.exchange(request));
    }
    assert.equal(exchanged.ok && exchanged.val.digest?.member?.name, "after");
    const { state } = decodeRecorded(GatewayExchangeResponseSchema, recorded["exchangeResponse"]);
    assert.equal((await sessions.send(address, client => client.applyState(state as SharedState))).ok, true);
    const gateway = await starting;
    context.after(() => gateway.stop());
    const { container } = gateway.node;
    assert.equal(container.get(Keys.Configuration).getVersion(), 3);
    assert.deepEqual(
        container.get(Keys.Directory).listAll().map(({ entry }) => entry.id).sort(),
        ["i-call-0", "i-call-1", "i-engine-0", "i-engine-1"],
    );
    assert.equal(container.get(Keys.Peers).findPeer("before-1")?.isLeaving, false);
    assert.equal(container.get(Keys.Versions).findMove(routedNames.engines)?.order.target, "v2");
});

test("a call that a node of the landing before hands over is served, and its events are read", async context => {
    const peersPort = await pickFreePort();
    const gateway = await RoutedGateway.start(platform, { name: "after-calls", peersPort });
    context.after(() => gateway.stop());
    await waitUntil(() => gateway.node.container.get(Keys.Configuration).getTable() !== undefined);
    const call = decodeRecorded(ForwardCallRequestSchema, recorded["forwardCallRequest"]);
    const client = await sessions.openClient(parseAddress(gateway.getPeerAddress()) as NetworkAddress, new AbortController().signal);
    const cases: string[] = [];
    for await (const { event } of client.forwardCall(call)) {
        cases.push(event.case ?? "");
        if (event.case === "head") {
            assert.equal(event.value.status, 200);
        }
        if (event.case === "end") {
            assert.equal(event.value.failureCode, 0);
        }
    }
    assert.deepEqual(cases, ["head", "body", "end"]);
    const events = recorded.forwardCallEvents.map(text => decodeRecorded(ForwardCallEventSchema, text).event.case);
    assert.deepEqual(events, ["head", "body", "end"]);
    const refusal = decodeRecorded(ForwardCallEventSchema, recorded["forwardCallRefusal"]).event;
    assert.equal(refusal.case === "end" && refusal.value.verdict, "NotRun");
});

function describeField(message: string, field: FieldDescriptorProto): string {
    return `${message}.${field.name} = ${field.number}, type ${field.type} ${field.typeName}, label ${field.label}`;
}

function listFields(file: FileDescriptorProto): string[] {
    return file.messageType.flatMap(message => message.field.map(field => describeField(message.name, field)));
}

function listMethods(file: FileDescriptorProto): string[] {
    return file.service.flatMap(service =>
        service.method.map(({ name, inputType, outputType, serverStreaming }) =>
            `${service.name}.${name}(${inputType}): ${outputType} ${serverStreaming}`
        )
    );
}

/** Returns the paths of all values of a JSON document with their types; the entries of a list share one path. */
function listPaths(value: unknown, path = ""): string[] {
    if (value instanceof Array) {
        return value.flatMap(item => listPaths(item, `${path}[]`));
    }
    return value instanceof Object
        ? Object.entries(value).flatMap(([name, item]) => listPaths(item, `${path}.${name}`))
        : [`${path}: ${typeof value}`];
}

// Guards against an upgrade in which nodes of the build before cannot use what nodes of this build tell them.
test("every field and method that the landing before reads is still sent in the same way", async context => {
    const before = decodeRecorded(FileDescriptorProtoSchema, recorded["descriptor"]);
    const now = file_corianderward_gateway_v1_gateway.proto;
    const missing = (old: string[], current: string[]) => old.filter(item => !current.includes(item));
    assert.deepEqual(missing(listFields(before), listFields(now)), []);
    assert.deepEqual(missing(listMethods(before), listMethods(now)), []);

    platform.store.putObject("rollouts", routedNames.engines, { service: routedNames.engines, target: "v2", "over-s": 60 });
    const gateway = await RoutedGateway.start(platform, { name: "before-1" });
    context.after(() => gateway.stop());
    await waitUntil(() => gateway.node.container.get(Keys.Directory).listAll().length === 4);
    await waitUntil(() => gateway.node.container.get(Keys.Versions).findMove(routedNames.engines) !== undefined);
    const digest = create(GatewayDigestSchema, { member: { name: "before-2", failureDomain: "xela", address: "127.0.0.1:9" } });
    const { state } = gateway.node.container.get(Keys.Gossip).handleExchange(digest);
    const sent = fromBinary(SharedStateSchema, toBinary(SharedStateSchema, create(SharedStateSchema, state)));
    const old = decodeRecorded(SharedStateSchema, recorded["sharedState"]);
    for (const part of ["configurationJson", "endpointsJson", "versionMovesJson"] as const) {
        const current = new Set(listPaths(JSON.parse(sent[part])));
        const absent = [...new Set(listPaths(JSON.parse(old[part])))].filter(path =>
            !current.has(path) && !path.startsWith(".objects[].status")
        );
        assert.deepEqual(absent, [], part);
    }
});
