/**
 * Enables roarr. It reads the environment when it is loaded, so this module
 * must be imported before it.
 * @module
 */
import process from "node:process";

process.env["ROARR_LOG"] ??= "true";
