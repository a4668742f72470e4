import { CheckCommand } from "./check.js";
import { EndpointDrainCommand } from "./endpointDrain.js";
import { PublishCommand } from "./publish.js";
import { RequestExplainCommand } from "./requestExplain.js";
import { StatusCommand } from "./status.js";

/** Every command of the command-line tool, by its id. */
export const COMMANDS = {
    "check": CheckCommand,
    "publish": PublishCommand,
    "status": StatusCommand,
    "request:explain": RequestExplainCommand,
    "endpoint:drain": EndpointDrainCommand,
};
