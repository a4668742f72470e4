import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DomainFleet, FleetPlanner } from "./fleetPlanner.js";

function createDomain(failureDomain: string, overrides: Partial<DomainFleet> = {}): DomainFleet {
    return { failureDomain, price: 1, reclaimable: 0, isReclaimableAvailable: true, ...overrides };
}

function countTargets(targets: readonly { reclaimable: number; onDemand: number; }[]) {
    const reclaimable = targets.reduce((sum, target) => sum + target.reclaimable, 0);
    const onDemand = targets.reduce((sum, target) => sum + target.onDemand, 0);
    return { reclaimable, onDemand };
}

test("available reclaimable endpoints carry the load, spread evenly, without on-demand ones", () => {
    const domains = ["a", "b", "c"].map(name => createDomain(name, { reclaimable: 2 }));
    const targets = FleetPlanner.create().computeTargets(domains, { needed: 6, minimum: 1, maximum: 8 });
    assert.deepEqual(targets.map(target => target.reclaimable), [2, 2, 2]);
    assert.equal(countTargets(targets).onDemand, 0);
});

test("other failure domains and on-demand endpoints replace the reclaimable endpoints of a reclaimed failure domain", () => {
    const domains = [
        createDomain("a", { reclaimable: 0, isReclaimableAvailable: false }),
        createDomain("b", { reclaimable: 2 }),
        createDomain("c", { reclaimable: 2 }),
    ];
    const targets = FleetPlanner.create().computeTargets(domains, { needed: 6, minimum: 1, maximum: 8 });
    assert.equal(countTargets(targets).reclaimable, 6);
    assert.equal(countTargets(targets).onDemand >= 2, true);
});

test("on-demand endpoints carry the whole load when no failure domain has reclaimable ones available", () => {
    const domains = ["a", "b", "c"].map(name => createDomain(name, { isReclaimableAvailable: false }));
    const targets = FleetPlanner.create().computeTargets(domains, { needed: 6, minimum: 1, maximum: 8 });
    assert.deepEqual(countTargets(targets), { reclaimable: 0, onDemand: 6 });
});

test("every plan keeps the bounds of each failure domain and carries the load as far as the bounds allow", () => {
    const domainArbitrary = fc.record({
        price: fc.double({ min: 0.1, max: 3, noNaN: true }),
        reclaimable: fc.integer({ min: 0, max: 8 }),
        isReclaimableAvailable: fc.boolean(),
    });
    fc.assert(
        fc.property(fc.array(domainArbitrary, { minLength: 1, maxLength: 6 }), fc.integer({ min: 0, max: 30 }), (generated, needed) => {
            const domains = generated.map((domain, index) => ({ ...domain, failureDomain: `domain-${index}` }));
            const targets = FleetPlanner.create().computeTargets(domains, { needed, minimum: 1, maximum: 8 });
            for (const target of targets) {
                assert.equal(target.reclaimable + target.onDemand >= 1 && target.reclaimable + target.onDemand <= 8, true);
            }
            const planned = countTargets(targets);
            assert.equal(planned.reclaimable + planned.onDemand >= Math.min(needed, 8 * domains.length), true);
        }),
        { seed: 20_261_204 },
    );
});
