import type { Demo } from './steps.js';
import { sleep, findRunStarts } from './steps.js';

const moveDurationMs = 30_000;
/**
 * How long after its deadline a move may end, and how long after its end a bad version may still get
 * requests.
 */
const graceMs = 3_000;
/** The largest share of the traffic that a bad version may get before it is detected. */
const maxBadShare = 0.05;

/** How a move ended, and when (`Date.now()`). */
interface MoveEnd {
  readonly phase: string;
  readonly reason: string;
  readonly at: number;
}

const startMove = async (
  { system, reporter }: Demo,
  id: string,
  toVersion: string,
): Promise<MoveEnd | undefined> => {
  const startAt = Date.now();
  const move = {
    id,
    service: 'reuse-verdicts',
    toVersion,
    startAt,
    deadlineAt: startAt + moveDurationMs,
  };
  const write = { operationId: id, expectedRevision: undefined };
  const started = await system.operator.startMove(write, move);
  if (started.isLeft()) {
    reporter.print(`the move to ${toVersion} was not accepted`);
    return undefined;
  }
  reporter.print(`the move of reuse-verdicts to ${toVersion} has begun`);
  return new Promise((resolve) => {
    const stop = system.operator.watchMoves([id], {
      onItem: ({ move: { reason }, phase }) => {
        if (phase === 'done' || phase === 'taken-back') {
          resolve({ phase, reason: reason ?? '', at: Date.now() });
        }
      },
      onEnd: () => undefined,
    });
    void sleep(moveDurationMs + graceMs).then(() => {
      stop();
      resolve(undefined);
    });
  });
};

export const moveToGoodVersion = async (demo: Demo): Promise<void> => {
  const startedAt = Date.now();
  const end = await startMove(demo, 'good-move', 'verdict-2');
  demo.reporter.check(
    'moves end in time',
    end?.phase === 'done',
    `the move to verdict-2 is ${end?.phase ?? 'without an end'} after ${Date.now() - startedAt} ms: ` +
      (end?.reason ?? ''),
  );
};

export const moveToBadVersion = async (demo: Demo): Promise<void> => {
  const { system, reporter } = demo;
  for (const { child, upstream } of system.upstreams.values()) {
    if (upstream.version === 'verdict-3') {
      const fault = { kind: 'fail-share', share: 1 };
      await fetch(`http://127.0.0.1:${child.ready.port ?? 0}/faults`, {
        method: 'POST',
        body: JSON.stringify(fault),
      });
    }
  }
  const startedAt = Date.now();
  const end = await startMove(demo, 'bad-move', 'verdict-3');
  const endedAt = end?.at ?? Date.now();
  await sleep(graceMs + 500);
  const isVerdict = (id: string): boolean => /^(old|new|bad)-/.test(id);
  const all = (await findRunStarts(system, isVerdict)).filter(
    (at) => at >= startedAt && at <= endedAt,
  );
  const bad = await findRunStarts(system, (id) => id.startsWith('bad-'));
  const late = bad.filter((at) => at > endedAt + graceMs).length;
  // The expected count at that share plus three standard deviations.
  const maxBadRequests = maxBadShare * all.length + 3 * Math.sqrt(maxBadShare * all.length);
  reporter.check(
    'bad-version-share',
    end?.phase === 'taken-back' && bad.length > 0 && bad.length <= maxBadRequests && late === 0,
    `the move to verdict-3 is ${end?.phase ?? 'without an end'} after ${endedAt - startedAt} ms; ` +
      `${bad.length} of ${all.length} requests went to it, ${late} of them later than 3 s after`,
  );
};
