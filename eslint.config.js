import ts from "typescript-eslint";

// The short list of verbs that function and method names begin with; docs/STYLE.md explains each.
const verbs = [
    "abort", "accept", "acquire", "add", "adopt", "append", "apply", "authenticate", "build", "cancel", "check", "choose", "claim", "close", "compare",
    "compute", "count", "create", "decode", "describe", "drain", "encode", "end", "escape", "exchange", "export", "fetch", "find", "finish", "flush", "follow", "format", "forward",
    "generate", "get", "grant", "handle", "hash", "has", "import", "inject", "is", "kill", "list", "load", "locate", "log", "main", "mark", "match", "measure", "merge", "next",
    "observe", "open", "order", "parse", "pick", "poll", "print", "publish", "put", "quarantine", "raise", "read", "record", "reduce", "refuse", "register", "release", "remove",
    "renew", "replace", "replay", "report", "resolve", "resume", "retry", "route", "run", "select", "send", "serve", "set", "settle", "silence", "sleep", "start", "stop", "store", "take", "test",
    "update", "validate", "verify", "wait", "watch", "write",
];
const verbPattern = `^(${verbs.join("|")})([A-Z0-9].*)?$`;

export default ts.config(
    { ignores: ["src/generated/**", "target/**"] },
    {
        files: ["src/**/*.ts", "platform/**/*.ts"],
        extends: [ts.configs.recommended],
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "one-var": ["error", "never"],
            "no-restricted-syntax": [
                "error",
                { selector: "ExportDefaultDeclaration", message: "Use a named export." },
                { selector: "Literal[raw='null']", message: "Use undefined; parse null at the edge with a schema." },
            ],
            "no-restricted-properties": [
                "error",
                { property: "resetAndDestroy", message: "Use abortConnection, which also closes a connection whose end is being sent." },
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "function", format: ["camelCase"], custom: { regex: verbPattern, match: true } },
                { selector: "classMethod", format: ["camelCase"], modifiers: ["public"], custom: { regex: verbPattern, match: true }, filter: { regex: "^(catch|_write|keepSocketAlive|reuseSocket)$", match: false } },
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "memberLike", modifiers: ["private"], format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
        },
    },
    {
        files: ["src/common/connectionAbort.ts"],
        rules: { "no-restricted-properties": "off" },
    },
    {
        files: ["src/cli/**/*.ts"],
        rules: { "@typescript-eslint/naming-convention": "off" },
    },
);
