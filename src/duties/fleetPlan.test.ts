import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DomainFleet, FleetPlan } from "./fleetPlan.js";

function createDomain(failureDomain: string, parts: Partial<DomainFleet> = {}): DomainFleet {
    return { failureDomain, price: 1, reclaimable: 0, hasReclaimable: true, ...parts };
}

function countTargets(targets: readonly { reclaimable: number; onDemand: number; }[]) {
    const reclaimable = targets.reduce((sum, target) => sum + target.reclaimable, 0);
    const onDemand = targets.reduce((sum, target) => sum + target.onDemand, 0);
    return { reclaimable, onDemand };
}

test("calm: reclaimable endpoints carry the load, spread evenly, and on-demand ones are not needed", () => {
    const domains = ["a", "b", "c"].map(name => createDomain(name, { reclaimable: 2 }));
    const targets = FleetPlan.create().computeTargets(domains, { needed: 6, minimum: 1, maximum: 8 });
    assert.deepEqual(targets.map(target => target.reclaimable), [2, 2, 2]);
    assert.equal(countTargets(targets).onDemand, 0);
});

test("a failure domain is reclaimed and offers none for a while: the others take its part, on-demand ones the rest", () => {
    const domains = [
        createDomain("a", { reclaimable: 0, hasReclaimable: false }),
        createDomain("b", { reclaimable: 2 }),
        createDomain("c", { reclaimable: 2 }),
    ];
    const targets = FleetPlan.create().computeTargets(domains, { needed: 6, minimum: 1, maximum: 8 });
    assert.equal(countTargets(targets).reclaimable, 6);
    assert.equal(countTargets(targets).onDemand >= 2, true);
});

test("nothing reclaimable is to be had anywhere: the whole load is carried on demand", () => {
    const domains = ["a", "b", "c"].map(name => createDomain(name, { hasReclaimable: false }));
    const targets = FleetPlan.create().computeTargets(domains, { needed: 6, minimum: 1, maximum: 8 });
    assert.deepEqual(countTargets(targets), { reclaimable: 0, onDemand: 6 });
});

test("no plan leaves the bounds of a failure domain, and every plan carries the load where the bounds allow it", () => {
    const domainArbitrary = fc.record({
        price: fc.double({ min: 0.1, max: 3, noNaN: true }),
        reclaimable: fc.integer({ min: 0, max: 8 }),
        hasReclaimable: fc.boolean(),
    });
    fc.assert(
        fc.property(fc.array(domainArbitrary, { minLength: 1, maxLength: 6 }), fc.integer({ min: 0, max: 30 }), (parts, needed) => {
            const domains = parts.map((part, index) => ({ ...part, failureDomain: `domain-${index}` }));
            const targets = FleetPlan.create().computeTargets(domains, { needed, minimum: 1, maximum: 8 });
            for (const target of targets) {
                assert.equal(target.reclaimable + target.onDemand >= 1 && target.reclaimable + target.onDemand <= 8, true);
            }
            const planned = countTargets(targets);
            assert.equal(planned.reclaimable + planned.onDemand >= Math.min(needed, 8 * domains.length), true);
        }),
        { seed: 20_261_204 },
    );
});
