import "reflect-metadata";
import { Container } from "inversify";
import { NodeSettings } from "../config/types.js";
import { addCommonBindings, addPeerBindings, addPlatformBindings } from "./bindings/commonBindings.js";
import { addControlBindings } from "./bindings/controlBindings.js";
import { addListenerBindings } from "./bindings/listenerBindings.js";
import { addRequestBindings } from "./bindings/requestBindings.js";
import { Keys } from "./keys.js";

/** Creates the dependency injection container of a node. Tests and benchmarks replace single bindings before they create the node from it. */
export function createNodeContainer(settings: NodeSettings): Container {
    const container = new Container({ defaultScope: "Singleton" });
    container.bind(Keys.Settings).toConstantValue(settings);
    addCommonBindings(container, settings);
    addPlatformBindings(container, settings);
    addPeerBindings(container, settings);
    addRequestBindings(container, settings);
    addControlBindings(container, settings);
    addListenerBindings(container, settings);
    return container;
}
