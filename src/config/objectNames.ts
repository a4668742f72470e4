/** Name prefix of the shared objects, which are replicated to every node. */
export const sharedPrefix = "shared/";
/** Name prefix of the configuration objects, one for each team. */
export const configurationPrefix = `${sharedPrefix}configuration/`;
/** Name prefix of the version moves, one object for each service. */
export const movePrefix = `${sharedPrefix}moves/`;
/** Name prefix of the quarantine entries, which name requests that must not run again. */
export const quarantinePrefix = `${sharedPrefix}quarantine/`;
/** Name of the object that holds the route configuration of a gateway deployment. */
export const routesObjectName = "routes/main";
/** Name prefix of the leases. */
export const leasePrefix = "leases/";
