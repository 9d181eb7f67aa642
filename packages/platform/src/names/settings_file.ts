/**
 * Names the environment variable that locates the settings of a process.
 * @module
 */

/** The environment variable that holds the path of the settings file. */
export const SETTINGS_VARIABLE = "BRIARHILL_NODE_FILE";
