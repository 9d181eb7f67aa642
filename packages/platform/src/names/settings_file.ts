/**
 * Where a process finds its settings.
 * @module
 */

/** The variable that holds the path of the settings file. */
export const SETTINGS_VARIABLE = "BRIARHILL_NODE_FILE";
