import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventSplitter } from "./eventSplitter.js";

const eventArbitrary = fc.record({
    id: fc.integer({ min: 0, max: 999 }),
    data: fc.string({ maxLength: 30 }).map(text => text.replace(/[\r\n]/g, " ")),
    ending: fc.constantFrom("\n\n", "\r\n\r\n"),
});

test("returns only complete, unchanged events and the last one's id for any division of the stream into chunks", () => {
    fc.assert(
        fc.property(fc.array(eventArbitrary, { maxLength: 8 }), fc.array(fc.integer({ min: 1, max: 20 })), (events, cuts) => {
            const texts = events.map(event => {
                const line = event.ending.slice(0, event.ending.length / 2);
                return `id: ${event.id}${line}data: ${event.data}${event.ending}`;
            });
            const whole = Buffer.from(`${texts.join("")}id: 5000\ndata: in pa`);
            const splitter = EventSplitter.create(undefined);
            const out: Buffer[] = [];
            let offset = 0;
            for (const cut of [...cuts, whole.length]) {
                out.push(splitter.addBytes(whole.subarray(offset, offset + cut)));
                offset = Math.min(whole.length, offset + cut);
            }
            assert.equal(Buffer.concat(out).toString(), texts.join(""));
            assert.equal(splitter.getLastEventId(), events.length === 0 ? undefined : String(events[events.length - 1]?.id));
            assert.equal(Buffer.concat([...out, splitter.getIncompleteEvent()]).toString(), whole.toString());
        }),
        { seed: 20_261_204 },
    );
});

test("drops a truncated event, so that the stream resumes after the last complete one", () => {
    const splitter = EventSplitter.create("3");
    assert.equal(splitter.getLastEventId(), "3");
    splitter.addBytes(Buffer.from("id: 4\ndata: x\n\nid: 5\nda"));
    splitter.removeIncompleteEvent();
    assert.equal(splitter.addBytes(Buffer.from("id: 5\ndata: y\n\n")).toString(), "id: 5\ndata: y\n\n");
    assert.equal(splitter.getLastEventId(), "5");
});
