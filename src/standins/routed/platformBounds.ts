/** The platform's bounds as its settings give them, for the fields that the template uses. */
export const usualBounds = {
    "bounds.retry-ratio": "0.2",
    "bounds.retry-window-s": "10",
    "bounds.retry-slack": "54",
    "bounds.quota-slack": "140000",
    "bounds.quota-window-s": "8",
    "bounds.quota-overage": "0.1",
    "bounds.window-s": "1",
    "bounds.drain-ms": "2000",
    "bounds.usage-late-s": "10",
    "bounds.canary-share": "0.1",
    "bounds.canary-slack": "50",
    "bounds.grace-s": "8",
    "bounds.evacuate-ms": "",
    "bounds.cold-overage": "1.5",
    "bounds.cold-slack": "5",
};
