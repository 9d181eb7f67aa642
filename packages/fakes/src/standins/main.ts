/**
 * Entry point of the stand-ins command.
 * @module
 */
import { Cli } from "clipanion";
import process from "node:process";
import { StandInsCommand } from "./stand_ins_command.ts";

const cli = new Cli({ binaryName: "standins", binaryVersion: "0.1.0" });
cli.register(StandInsCommand);
await cli.runExit(process.argv.slice(2));
