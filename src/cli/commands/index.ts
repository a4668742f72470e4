import { CheckCommand } from "./check.js";
import { DemoCommand } from "./demo.js";
import { EmulateCommand } from "./emulate.js";
import { EndpointDrainCommand } from "./endpointDrain.js";
import { KeysAuthorityCommand, KeysCheckCommand, KeysIssueCommand } from "./keys.js";
import { LogsExplainCommand, LogsKindsCommand, LogsSummaryCommand } from "./logs.js";
import { MoveAbortCommand, MoveShowCommand, MoveStartCommand } from "./moves.js";
import { PublishCommand } from "./publish.js";
import { ReplayCommand } from "./replay.js";
import { RequestExplainCommand } from "./requestExplain.js";
import { RouteExplainCommand } from "./routeExplain.js";
import { RoutesCheckCommand, RoutesPublishCommand } from "./routes.js";
import { StatusCommand } from "./status.js";
import { TraceGenerateCommand } from "./traceGenerate.js";

/** Every command of the command-line tool, by its id. */
export const COMMANDS = {
    "check": CheckCommand,
    "publish": PublishCommand,
    "status": StatusCommand,
    "request:explain": RequestExplainCommand,
    "endpoint:drain": EndpointDrainCommand,
    "move:start": MoveStartCommand,
    "move:abort": MoveAbortCommand,
    "move:show": MoveShowCommand,
    "keys:authority": KeysAuthorityCommand,
    "keys:issue": KeysIssueCommand,
    "keys:check": KeysCheckCommand,
    "replay": ReplayCommand,
    "demo": DemoCommand,
    "emulate": EmulateCommand,
    "logs:explain": LogsExplainCommand,
    "logs:summary": LogsSummaryCommand,
    "logs:kinds": LogsKindsCommand,
    "routes:check": RoutesCheckCommand,
    "routes:publish": RoutesPublishCommand,
    "routes:explain": RouteExplainCommand,
    "trace:generate": TraceGenerateCommand,
};
