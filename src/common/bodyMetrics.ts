import { Gauge, Registry } from "prom-client";
import { BodyBudget } from "./bodyBudget.js";

/** Exposes the memory that request bodies hold, its limit, and how many bodies have lost their room to others. */
export function observeBodyBudget(registry: Registry, budget: BodyBudget): void {
    addGauge("corianderward_body_bytes", "Memory that request bodies hold.", () => budget.getHeldBytes());
    addGauge("corianderward_body_bytes_limit", "Memory that request bodies may hold.", () => budget.capacity);
    addGauge("corianderward_bodies_revoked", "Request bodies that lost their room to others.", () => budget.countRevocations());

    function addGauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name,
            help,
            registers: [registry],
            collect() {
                this.set(read());
            },
        });
    }
}
