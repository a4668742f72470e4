/** Prefix of the objects that every node holds a copy of. */
export const sharedPrefix = "shared/";
/** Prefix of the objects that hold the teams' configuration. */
export const configurationPrefix = `${sharedPrefix}configuration/`;
/** Prefix of the objects that hold version moves, one for each service. */
export const movePrefix = `${sharedPrefix}moves/`;
/** Prefix of the objects that name requests not to be run again. */
export const quarantinePrefix = `${sharedPrefix}quarantine/`;
/** Object that holds the routes of a deployment of gateways. */
export const routesObjectName = "routes/main";
/** Prefix of leases. */
export const leasePrefix = "leases/";
