/** Prefix of the objects that hold the teams' configuration. */
export const configurationPrefix = "configuration/";
