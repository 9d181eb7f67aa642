/**
 * The check of LOST "at any time".
 * @module
 */

/** The time after a start of its process before which a machine is not in touch. */
const STABLE_WINDOW_MS = 3_000;

/**
 * Returns the requests from kept connections that machines in touch passed on to
 * a server and whose connections they closed without an answer.
 */
export function listCutRequests(ends, servers) {
  return ends.filter(({ id, host, error, reused, sentAtMs }) => {
    const startMs = host.startsMs.findLast((atMs) => atMs <= sentAtMs);
    return error !== undefined && error !== "deadline" && reused &&
      sentAtMs - startMs >= STABLE_WINDOW_MS &&
      servers.some((server) => server.runs.has(id));
  });
}

/** Writes the requests to the record. */
export function writeCutRequests(run, cut) {
  cut.forEach(({ id, host, error, sentAtMs, endedAtMs }) =>
    run.write("cut", {
      id,
      host: host.name,
      error,
      sentAtS: (sentAtMs - run.startedAtMs) / 1000,
      endedAtS: (endedAtMs - run.startedAtMs) / 1000,
    })
  );
}
