/** Severity of a diagnostic. */
export enum DiagnosticCategory {
    Error = "error",
    Warning = "warning",
    Message = "message",
}

/** An entry of the diagnostics table: a code, a category and a text with numbered placeholders. */
export interface DiagnosticMessage {
    readonly code: number;
    readonly category: DiagnosticCategory;
    readonly text: string;
    /** HTTP status of a response that reports this diagnostic. */
    readonly status: number;
}

/** A diagnostic message with its placeholders filled in, and the location that it refers to. */
export interface Diagnostic {
    readonly message: DiagnosticMessage;
    readonly text: string;
    /** Path of the file, or undefined when the diagnostic refers to no file. */
    readonly file?: string;
    /** Line in the file, counted from 1, or undefined when the diagnostic refers to the whole file. */
    readonly line?: number;
}

function createError(code: number, text: string, status = 500): DiagnosticMessage {
    return { code, category: DiagnosticCategory.Error, text, status };
}

function createWarning(code: number, text: string): DiagnosticMessage {
    return { code, category: DiagnosticCategory.Warning, text, status: 200 };
}

function createMessage(code: number, text: string): DiagnosticMessage {
    return { code, category: DiagnosticCategory.Message, text, status: 200 };
}

/** Messages shown to callers and operators. A code is never reused for another meaning. */
export const Diagnostics = {
    // Settings and service files.
    File_0_cannot_be_read_1: createError(1001, "File '{0}' cannot be read: {1}."),
    Line_is_not_a_section_or_a_key: createError(1002, "The line is neither a section, nor 'key = value', nor a comment."),
    Key_0_is_given_twice_first_on_line_1: createError(1003, "Key '{0}' is given twice; the first is on line {1}."),
    Section_0_is_given_twice_first_on_line_1: createError(1004, "Section '{0}' is given twice; the first is on line {1}."),
    Unknown_section_0_did_you_mean_1: createError(1005, "Unknown section '{0}'. Did you mean '{1}'?"),
    Unknown_key_0_in_section_1_did_you_mean_2: createError(1006, "Unknown key '{0}' in section '{1}'. Did you mean '{2}'?"),
    Key_0_in_section_1_is_missing_allowed_2: createError(1007, "Key '{0}' is missing in section '{1}'. Allowed: {2}."),
    Value_0_of_key_1_is_not_allowed_2: createError(1008, "Value '{0}' of key '{1}' is not allowed. Allowed: {2}."),
    Section_0_is_missing: createError(1009, "Section '{0}' is missing."),
    Token_of_key_0_cannot_be_read_1: createError(1010, "The token named by key '{0}' cannot be read: {1}."),
    Key_0_contradicts_key_1_2: createError(1011, "Key '{0}' contradicts key '{1}': {2}."),
    File_0_is_not_valid_UTF_8: createError(1012, "File '{0}' is not valid UTF-8."),
    Directory_0_holds_no_service_files: createError(1013, "Directory '{0}' holds no service files (*.ini)."),
    Service_0_names_team_1_which_is_not_declared: createError(
        1014,
        "Service '{0}' names team '{1}', which is not declared in the files given.",
    ),
    Version_0_of_service_1_is_not_declared: createError(1015, "Version '{0}' of service '{1}' is not declared."),
    Service_0_is_declared_in_two_teams_1_and_2: createError(1016, "Service '{0}' is declared by two teams: '{1}' and '{2}'."),
    File_0_cannot_be_written_1: createError(1018, "File '{0}' cannot be written: {1}."),
    Section_0_names_service_1_which_is_not_declared: createError(1017, "Section '{0}' names service '{1}', which is not declared."),
    Deadline_0_of_move_1_leaves_too_few_requests_2: createWarning(
        1018,
        "Deadline {0} of the move of service '{1}' is too short for its traffic: about {2} requests are needed.",
    ),

    // Requests rejected because of the request or the caller.
    Authorization_is_missing: createError(2001, "The Authorization header with a bearer token is missing.", 401),
    Token_is_not_known: createError(2002, "The bearer token is not known.", 401),
    Service_0_is_not_declared: createError(2003, "Service '{0}' is not declared.", 404),
    Team_0_may_not_call_service_1: createError(2004, "Team '{0}' may not call service '{1}'.", 403),
    Body_is_not_valid_JSON_0: createError(2005, "The body is not valid JSON: {0}.", 400),
    Body_is_larger_than_0_bytes: createError(2006, "The body is larger than {0} bytes.", 413),
    Body_does_not_match_the_interface_0: createError(2007, "The body does not match the interface: {0}.", 400),
    Header_0_is_not_valid_1: createError(2008, "Header '{0}' is not valid: {1}.", 400),
    Idempotency_Key_is_required_by_service_0: createError(2009, "Service '{0}' requires the Idempotency-Key header.", 400),
    Key_was_used_with_another_body: createError(2010, "The Idempotency-Key was used before with another body.", 422),
    Key_is_older_than_the_retention_of_0_seconds: createError(
        2011,
        "The Idempotency-Key is older than the retention of {0} seconds; the request is refused rather than run again.",
        422,
    ),
    Request_0_is_not_known: createError(2012, "Request '{0}' is not known.", 404),
    Team_0_is_not_declared: createError(2034, "Team '{0}' is not declared.", 404),
    Path_0_is_not_served: createError(2013, "Path '{0}' is not served.", 404),
    Service_0_is_not_of_kind_1: createError(2014, "Service '{0}' is not of kind '{1}'.", 400),
    Body_is_not_valid_UTF_8: createError(2015, "The body is not valid UTF-8.", 400),
    Request_head_is_malformed_0: createError(2018, "The head of the request is malformed: {0}.", 400),
    Request_cannot_be_parsed_0: createError(2019, "The request cannot be parsed: {0}.", 400),
    Request_was_not_complete_in_time: createError(2020, "The request was not complete in time.", 408),
    Headers_are_too_large: createError(2021, "The headers are larger than this node reads.", 431),
    Method_0_is_not_allowed: createError(2016, "Method '{0}' is not allowed here.", 405),
    Service_0_does_not_accept_asynchronous_requests: createError(2017, "Service '{0}' does not accept asynchronous requests.", 400),

    // Failures while a request is routed or run.
    No_endpoint_is_available_for_service_0: createError(3001, "No endpoint is available for service '{0}'.", 503),
    No_endpoint_is_available_for_service_0_in_regions_1: createError(
        3040,
        "No endpoint is available for service '{0}' in the regions that the request must not leave: {1}.",
        503,
    ),
    Service_0_is_short_of_room_1_percent_are_served: createError(
        3041,
        "Service '{0}' is short of room: {1} % of requests like this one are served now.",
        503,
    ),
    Endpoint_refused_the_connection_0: createError(3002, "The endpoint refused the connection: {0}.", 503),
    Connection_was_lost_after_the_request_was_sent_0: createError(3003, "The connection was lost after the request was sent: {0}.", 502),
    Endpoint_sent_nothing_for_0_milliseconds: createError(3004, "The endpoint sent nothing for {0} milliseconds.", 504),
    Endpoint_refused_before_running_0: createError(3005, "The endpoint refused the request before running it: {0}.", 503),
    Endpoint_failed_with_status_0: createError(3006, "The endpoint failed with status {0}.", 502),
    Deadline_passed: createError(3007, "The deadline of the request passed.", 504),
    Caller_closed_the_connection: createError(3008, "The caller closed the connection.", 499),
    Expected_wait_of_0_milliseconds_passes_the_deadline: createError(
        3009,
        "The expected wait of {0} milliseconds passes the deadline.",
        503,
    ),
    Queue_of_service_0_is_full: createError(3010, "The queue of service '{0}' is full.", 503),
    Team_0_is_over_its_limit_of_1_requests: createError(3011, "Team '{0}' is over its limit of {1} requests a second.", 429),
    Node_is_shutting_down: createError(3012, "The node is shutting down.", 503),
    Platform_is_not_reachable_0: createError(3013, "The platform is not reachable: {0}.", 503),
    Key_is_claimed_and_its_outcome_is_unknown: createError(
        3014,
        "The Idempotency-Key is claimed by an earlier attempt whose outcome is unknown.",
        409,
    ),
    Request_is_quarantined_after_0_endpoint_failures: createError(
        3015,
        "The request is quarantined: {0} endpoints failed while running it.",
        422,
    ),
    Retry_budget_is_spent: createError(3016, "The retry budget is spent; the request is not tried again.", 503),
    Endpoint_is_leaving: createError(3017, "The endpoint is draining.", 503),
    Answer_names_another_request_0: createError(3018, "The endpoint's response names another request: '{0}'.", 502),
    Configuration_is_not_loaded: createError(3019, "The configuration is not loaded yet.", 503),
    Answer_is_larger_than_0_bytes: createError(3020, "The endpoint's response is larger than {0} bytes.", 502),
    Endpoint_sent_an_answer_that_cannot_be_read_0: createError(3021, "The endpoint sent a response that cannot be parsed: {0}.", 502),
    Request_failed_at_0_attempts_last_1: createError(3022, "The request failed at {0} attempts; the last one: {1}", 502),

    Another_endpoint_has_the_address: createError(3023, "Another endpoint has the address.", 503),
    Header_0_is_missing: createError(3024, "Header '{0}' is missing.", 400),
    Team_0_is_over_its_usage_cap_1_units_asked_2_of_3_passed: createError(
        3025,
        "Team '{0}' is over its usage cap: {1} units asked for, {2} of {3} passed in the window.",
        429,
    ),
    Headers_are_larger_than_0_bytes: createError(3026, "The headers are larger than {0} bytes.", 431),
    Answer_broke_off: createError(3027, "The endpoint's answer broke off.", 502),
    Endpoint_did_not_answer_in_time: createError(3028, "The endpoint did not respond before the deadline.", 504),
    Deadline_passed_before_it_ran: createError(3029, "The deadline passed before the request could run.", 503),

    Another_attempt_serves_the_request: createError(3033, "Another attempt serves the request.", 502),
    Node_stopped_before_the_response_was_complete: createError(3032, "The node stopped before the response was complete.", 502),
    Node_failed_to_serve_the_request_0: createError(3031, "The node failed to serve the request: {0}.", 500),
    Memory_for_request_bodies_is_spent: createError(3034, "The memory for request bodies is spent.", 503),
    Request_ended_0_endpoints_and_is_not_sent_again: createError(
        3030,
        "{0} endpoints crashed while running the request; it is not retried.",
        503,
    ),

    // Platform.
    Revision_conflict_on_0: createError(4001, "Object '{0}' was changed by another writer.", 409),
    Platform_answered_with_status_0: createError(4002, "The platform responded with status {0}.", 503),
    Platform_did_not_answer_0: createError(4003, "The platform did not answer: {0}.", 503),
    Write_of_0_has_an_unknown_outcome: createError(4005, "The write of object '{0}' has an unknown outcome: {1}.", 503),

    Lease_0_is_not_held: createError(4006, "Lease '{0}' is not held.", 503),

    // Operator interface.
    Operator_token_is_not_known: createError(5001, "The operator token is missing or not known.", 401),
    Endpoint_0_is_not_known: createError(5002, "Endpoint '{0}' is not known.", 404),
    Move_of_service_0_is_not_known: createError(5003, "No move of service '{0}' is known.", 404),
    Move_of_service_0_runs_already: createError(5004, "A move of service '{0}' runs already; abort it first.", 409),
    Move_cannot_start_0: createError(5005, "The move cannot start: {0}.", 400),

    // Command line.
    Node_at_0_did_not_answer_1: createError(6001, "The node at {0} did not answer: {1}."),
    Node_at_0_refused_1: createError(6014, "The node at {0} refused: {1}"),
    Published_team_0_at_revision_1: createMessage(6002, "Published team '{0}' at revision {1}."),
    Team_0_is_unchanged_at_revision_1: createMessage(6003, "Team '{0}' is unchanged at revision {1}."),
    Team_0_was_published_by_another_operator_read_and_retry: createError(
        6004,
        "Team '{0}' was published by another operator meanwhile. Look at the difference with --dry-run and publish again.",
    ),
    Checked_0_services_of_1_teams: createMessage(6005, "Checked {0} services of {1} teams: no errors."),
    Checked_0_routes_to_1_services: createMessage(6030, "Checked {0} routes to {1} services: no errors."),
    Published_routes_as_version_0: createMessage(6031, "Published the routes as version {0}."),
    Routes_are_unchanged_at_version_0: createMessage(6032, "The routes are unchanged at version {0}."),
    Routes_were_published_by_another_operator_read_and_retry: createError(
        6033,
        "The routes were published by another operator meanwhile. Read what is in force and publish again.",
    ),
    In_force_on_0_of_1_nodes: createMessage(6006, "In force on {0} of {1} nodes."),
    Node_0_could_not_be_asked_1: createWarning(6007, "Node '{0}' could not be queried: {1}."),
    Trace_line_cannot_be_read_0: createError(6008, "The trace line cannot be read: {0}."),
    Outcome_0_failed_expected_1_saw_2: createError(6009, "Outcome '{0}' failed: expected {1}, saw {2}."),
    Settings_are_valid: createMessage(6010, "The settings are valid."),
    Outcomes_file_cannot_be_read_0: createError(6011, "The outcomes file cannot be read: {0}."),
    Endpoint_0_is_draining: createMessage(6012, "Endpoint '{0}' is draining."),
    File_0_exists: createError(6015, "File '{0}' exists; --force replaces it."),
    Certificate_0_is_not_valid_1: createError(6016, "Certificate '{0}' is not valid: {1}."),
    No_line_names_request_0: createError(
        6017,
        "No line names request '{0}' ({1} lines read). Lines of served requests are sampled under load.",
    ),
    Every_outcome_holds: createMessage(6013, "Every stated outcome holds."),
} as const;

/** Returns the text of a message with its placeholders filled in; a placeholder without a value is kept. */
export function formatMessage(message: DiagnosticMessage, ...values: (string | number)[]): string {
    return message.text.replace(/\{(\d+)\}/g, (placeholder, index: string) => String(values[Number(index)] ?? placeholder));
}

/** Creates a diagnostic that refers to no file. */
export function createDiagnostic(message: DiagnosticMessage, ...values: (string | number)[]): Diagnostic {
    return { message, text: formatMessage(message, ...values) };
}

/** Creates a diagnostic about a line of a file, or about the whole file when the line is undefined. */
export function createFileDiagnostic(
    file: string,
    line: number | undefined,
    message: DiagnosticMessage,
    ...values: (string | number)[]
): Diagnostic {
    return { message, text: formatMessage(message, ...values), file, line };
}

/** Formats a diagnostic as one line: location, category, code and text. */
export function formatDiagnostic(diagnostic: Diagnostic): string {
    const label = `${diagnostic.message.category} CW${diagnostic.message.code}: ${diagnostic.text}`;
    if (diagnostic.file === undefined) {
        return label;
    }
    const location = diagnostic.line === undefined ? diagnostic.file : `${diagnostic.file}:${diagnostic.line}`;
    return `${location} - ${label}`;
}

/** Returns the diagnostic with a code, or the lost-connection diagnostic if this program version does not define the code. */
export function findDiagnosticMessage(code: number | undefined): DiagnosticMessage {
    const messages: DiagnosticMessage[] = Object.values(Diagnostics);
    return messages.find(message => message.code === code) ?? Diagnostics.Connection_was_lost_after_the_request_was_sent_0;
}
