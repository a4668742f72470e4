import { formatAddress } from "../config/sectionReader.js";
import { Deployment } from "../testing/deployment.js";
import { StandInSpeed } from "./loadProcess.js";

const speed = JSON.parse(process.argv[2] ?? "{}") as StandInSpeed;
const deployment = await Deployment.create({
    nodesPerDomain: 0,
    enginesPerDomain: speed.engines,
    plainPerDomain: 1,
    engine: { stepTime: speed.stepTime, stepGrowth: 0, capacity: speed.capacity, waitingLimit: 10_000, prefillRate: 100 },
});
process.send?.({
    platformUrl: deployment.platform.getUrl("bench"),
    plainAddress: formatAddress(deployment.plainServices[0]?.getAddress() ?? { host: "", port: 0 }),
    engineAddress: formatAddress(deployment.engines[0]?.getAddress() ?? { host: "", port: 0 }),
});
