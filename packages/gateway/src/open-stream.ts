import { Failure } from '@zinniagrade/errors';
import {
  EventSplitter,
  expectedUse,
  memoryShare,
  placeGeneration,
  recordAnswer,
  recordFirstEvent,
  type Choice,
  type Engine,
  type FleetMember,
  type GenerationNeed,
  type OwnRun,
} from '@zinniagrade/serving';
import { beginStream, sendWhole } from './answers.js';
import type { Call, ServingContext } from './call.js';
import type { AnswerHead, Exchange, ExchangeFailure, RunCopy } from './upstream-client.js';

/** A stream that is being served, as the part that moves streams sees it. */
export interface OpenStream {
  readonly requestId: string;
  readonly service: string;
  /** Engine that runs it now. */
  readonly member: () => FleetMember | undefined;
  /** Whether it has begun and isn't being moved. */
  readonly isMovable: () => boolean;
  /** Expected tokens in memory at its end. */
  readonly expectedTokens: () => number;
  /** Moves it to another engine; settles when it runs there or has failed to. */
  readonly move: (reason: string) => Promise<void>;
}

const avoidAfterFailureMs = 500;
const maxRefusals = 4;
const refusalRetryAfterMs = 600;
/** Output that is expected of a request without a hint, as a share of its limit. */
const defaultOutputShare = 0.5;
/** Longest wait for a copy; a spot removal leaves about this much time. */
const copyTimeoutMs = 2500;
/** Time before another try after a copy found no room. */
const moveRetryMs = 60;
/** Tries to go on elsewhere before a stream is given up. */
const maxContinuations = 6;
/** Shorter outputs are over before a copy would pay. */
const minBackupOutputTokens = 48;
/** Engines fuller than this hold no further backups: running requests need the rest. */
const maxBackupMemoryShare = 0.8;
/** Time from a run's first event until its prompt has certainly reached the holder of its backup. */
const backupDelayMs = 1500;

interface Leg {
  readonly member: FleetMember;
  readonly backup: FleetMember | undefined;
  exchange: Exchange | undefined;
  readonly splitter: EventSplitter;
  head: AnswerHead | undefined;
  readonly sentAtMs: number;
  closed: boolean;
    firstEventAtMs: number | undefined;
  readonly onFirstEvent: (nowMs: number) => void;
}

const isSound = (member: FleetMember): boolean => !member.leaving && member.goneAtMs === undefined;

const outputOf = (call: Call): number => {
  const { prompt } = call.request;
  if (prompt === undefined) {
    return 0;
  }
  return Math.min(
    prompt.maxOutputTokens,
    prompt.hintedOutputTokens ?? prompt.maxOutputTokens * defaultOutputShare,
  );
};

/**
 * Serves a stream. It runs once: when its engine leaves or is lost, the same run goes on at another
 * engine from a copy of its memory, after the last event that the caller was sent.
 */
export const OpenStream = {
  create: (context: ServingContext, call: Call, engine: Engine): OpenStream => {
    const { clock, log, metrics, view } = context;
    const { request, route, service, response } = call;
    const excluded = new Set<string>();
    /** Engines that had no room for a copy of this run. */
    const full = new Set<string>();
    const backupKey = `${request.id}#backup`;
    const budget = context.retryBudget(service.name);
    const promptTokens = request.prompt?.promptTokens ?? 0;
    const outputTokens = outputOf(call);
    let leg: Leg | undefined;
    let headSent = false;
    let lastEvent: string | undefined;
    let events = 0;
    let lastEventAtMs = call.arrivedAtMs;
    let firstEventMs: number | undefined;
    let longestGapMs = 0;
    let refusals = 0;
    let continuations = 0;
    let moving = false;
    let mayHaveRun = false;
    let moveStartedAtMs: number | undefined;

    const expectedTokens = (): number =>
      promptTokens + Math.max(outputTokens, events * engine.tokensPerEvent);

    const need = (): GenerationNeed => ({
      promptTokens,
      outputTokens: expectedTokens() - promptTokens,
    });

    const choice = (without: ReadonlySet<string>): Choice => ({
      nowMs: clock.monotonicMs(),
      excluded: without,
      withdrawn: view.withdrawn,
      allows: context.allowsVersion,
      peerUse: context.peerUse,
    });

    const place = (without: ReadonlySet<string>, near?: string): FleetMember | undefined =>
      placeGeneration(
        view.fleet.ofService(service.name),
        need(),
        engine.memoryTokens,
        { ...choice(without), ...(near === undefined ? {} : { near }) },
        context.random,
      );

    const note = (outcome: string, member: FleetMember | undefined, detail?: string): void => {
      log.decision('stream step', {
        request: request.id,
        upstream: member?.upstream.id,
        outcome,
        detail,
        events,
        loadAgeMs:
          member === undefined ? undefined : Math.round(clock.monotonicMs() - member.engineLoadAtMs),
        usedTokens: member?.engineLoad?.usedTokens,
        afterMs: Math.round(clock.monotonicMs() - call.arrivedAtMs),
      });
    };

    const release = (ended: Leg): void => {
      ended.closed = true;
      ended.member.ownRuns.delete(request.id);
      ended.backup?.ownRuns.delete(backupKey);
      context.useChanged();
    };

    const closeLeg = (ended: Leg): void => {
      if (!ended.closed) {
        release(ended);
        ended.exchange?.abort();
      }
    };

    const refuse = (): void => {
      call.fail(
        Failure.create(
          refusals > 0 ? 'upstream-refused' : 'no-upstream',
          `no engine of ${service.name} took the request`,
          refusalRetryAfterMs,
        ),
      );
    };

    const lose = (reason: string): void => {
      note('lost', leg?.member, reason);
      metrics.count('stream-lost');
      call.fail(Failure.create('generation-lost', reason));
    };

    const relay = (from: Leg, bytes: Buffer): void => {
      for (const event of from.splitter.push(bytes)) {
        if (event.id !== undefined) {
          if (lastEvent !== undefined && Number(event.id) <= Number(lastEvent)) {
            continue;
          }
          lastEvent = event.id;
        }
        const nowMs = clock.monotonicMs();
        if (from.firstEventAtMs === undefined) {
          from.onFirstEvent(nowMs);
        }
        if (firstEventMs === undefined) {
          firstEventMs = nowMs - call.arrivedAtMs;
          metrics.firstEvent(route.name, firstEventMs);
        } else {
          longestGapMs = Math.max(longestGapMs, nowMs - lastEventAtMs);
        }
        events += 1;
        lastEventAtMs = nowMs;
        if (moveStartedAtMs !== undefined && from === leg) {
          metrics.moved('done', lastEventAtMs - moveStartedAtMs);
          moveStartedAtMs = undefined;
        }
        response.write(event.bytes);
      }
      if (response.writableNeedDrain) {
        from.exchange?.pause();
        response.once('drain', () => from.exchange?.resume());
      }
    };

    const finish = (ended: Leg): void => {
      recordAnswer(ended.member, clock.monotonicMs() - ended.sentAtMs, false);
      const rest = ended.splitter.rest();
      response.end(rest);
      log.decision('stream complete', {
        request: request.id,
        upstream: ended.member.upstream.id,
        events,
        continuations,
        firstEventMs: Math.round(firstEventMs ?? 0),
        firstEventGoalMs: route.goalMs,
        longestGapMs: Math.round(longestGapMs),
        gapGoalMs: route.gapGoalMs,
      });
      call.finish('complete');
    };

    /** Goes on from the backup of a lost engine, or ends the stream. */
    const recover = (lost: Leg, reason: string): void => {
      const { backup } = lost;
      if (backup !== undefined && backup.goneAtMs === undefined && continuations < maxContinuations) {
        note('continues from backup', backup, reason);
        moveStartedAtMs ??= lastEventAtMs;
        start(backup, {
          copy: context.client.backupOf(backup.upstream, request.id),
        });
        return;
      }
      lose(reason);
    };

    const onRefusedLeg = (ended: Leg, status: number, continued: boolean): void => {
      note('refused', ended.member, String(status));
      if (continued) {
        recover({ ...ended, backup: undefined }, `continuation refused with ${String(status)}`);
        return;
      }
      refusals += 1;
      const nowMs = clock.monotonicMs();
      if (refusals > maxRefusals || !budget.take(nowMs, context.nodeCount())) {
        refuse();
        return;
      }
      begin();
    };

    const onLegFailure = (ended: Leg, failure: ExchangeFailure, continued: boolean): void => {
      recordAnswer(ended.member, 0, true);
      note(failure.sent ? 'connection lost' : 'not reached', ended.member, failure.reason);
      if (!failure.sent) {
        ended.member.avoidUntilMs = clock.monotonicMs() + avoidAfterFailureMs;
      }
      if (!failure.sent && !continued) {
        refusals += 1;
        if (refusals > maxRefusals) {
          refuse();
        } else {
          begin();
        }
        return;
      }
      mayHaveRun = true;
      recover(ended, failure.reason);
    };

    const start = (
      member: FleetMember,
      continuation?: { readonly copy: RunCopy },
    ): void => {
      const sentAtMs = clock.monotonicMs();
      const backup = chooseBackup(member);
      const tokensAhead =
        expectedUse(member, context.peerUse).promptTokens +
        (continuation === undefined ? promptTokens : 0);
      const run: OwnRun = {
        requestId: request.id,
        sentAtMs,
        promptTokens: continuation === undefined ? promptTokens : 0,
        expectedTokens: expectedTokens(),
        hasBegun: false,
        isBackup: false,
      };
      member.ownRuns.set(request.id, run);
      backup?.ownRuns.set(backupKey, { ...run, promptTokens: 0, isBackup: true });
      context.useChanged();
      const next: Leg = {
        member,
        backup,
        exchange: undefined,
        splitter: EventSplitter.create(),
        head: undefined,
        sentAtMs,
        closed: false,
        firstEventAtMs: undefined,
        onFirstEvent: (nowMs) => {
          next.firstEventAtMs = nowMs;
          run.hasBegun = true;
          if (continuation === undefined) {
            recordFirstEvent(member, nowMs - sentAtMs, tokensAhead);
          }
          context.useChanged();
        },
      };
      leg = next;
      if (continuation !== undefined) {
        continuations += 1;
      }
      const errorBody: Buffer[] = [];
      next.exchange = context.client.send(
        {
          upstream: member.upstream,
          request,
          body: call.body,
          remainingMs: call.endsAtMs - sentAtMs,
          ...(call.account === undefined ? {} : { account: call.account.name }),
          ...(continuation === undefined
            ? {}
            : { continuation: { copy: continuation.copy, afterEvent: lastEvent } }),
          ...(backup === undefined ? {} : { backup: backup.upstream }),
        },
        {
          onHead: (head) => {
            next.head = head;
            if (!head.notRun && head.matches && head.status === 200 && !headSent) {
              mayHaveRun = true;
              headSent = true;
              beginStream(response, head);
            }
          },
          onData: (bytes) => {
            if (call.isOver() || next.head === undefined) {
              return;
            }
            if (next.head.status === 200 && next.head.matches && !next.head.notRun) {
              relay(next, bytes);
            } else {
              errorBody.push(bytes);
            }
          },
          onEnd: () => {
            release(next);
            if (call.isOver() || next.head === undefined) {
              return;
            }
            onLegEnd(next, next.head, Buffer.concat(errorBody), continuation !== undefined);
          },
          onFailure: (failure) => {
            release(next);
            if (!call.isOver()) {
              onLegFailure(next, failure, continuation !== undefined);
            }
          },
        },
      );
    };

    const onLegEnd = (
      ended: Leg,
      head: AnswerHead,
      errorBody: Buffer,
      continued: boolean,
    ): void => {
      if (head.notRun) {
        onRefusedLeg(ended, head.status, continued);
        return;
      }
      mayHaveRun = true;
      if (!head.matches) {
        recover(ended, 'answer to another request');
        return;
      }
      if (head.status === 200) {
        finish(ended);
        return;
      }
      note('upstream error', ended.member, String(head.status));
      recordAnswer(ended.member, 0, true);
      if (headSent) {
        recover(ended, `status ${String(head.status)}`);
        return;
      }
      sendWhole(response, head, errorBody);
      call.finish('upstream-error');
    };

    const chooseBackup = (member: FleetMember): FleetMember | undefined => {
      if (!engine.backups || need().outputTokens < minBackupOutputTokens) {
        return undefined;
      }
      const holder = place(new Set([member.upstream.id]));
      return holder !== undefined &&
        memoryShare(holder, need(), engine.memoryTokens, choice(new Set())) < maxBackupMemoryShare
        ? holder
        : undefined;
    };

    const begin = (): void => {
      const member = place(excluded);
      if (member === undefined) {
        refuse();
        return;
      }
      excluded.add(member.upstream.id);
      note('sent', member);
      start(member);
    };

    /** Copies the run's memory while it goes on. */
    const copyAhead = async (from: Leg, target: FleetMember): Promise<RunCopy | undefined> => {
      const moveKey = `${request.id}#move`;
      target.ownRuns.set(moveKey, {
        requestId: request.id,
        sentAtMs: clock.monotonicMs(),
        promptTokens: 0,
        expectedTokens: expectedTokens(),
        hasBegun: true,
        isBackup: true,
      });
      context.useChanged();
      const askedAtMs = clock.monotonicMs();
      const copied = await context.client.copyRun(
        from.member.upstream,
        request.id,
        target.upstream,
        false,
        copyTimeoutMs,
      );
      target.ownRuns.delete(moveKey);
      context.useChanged();
      const tookMs = Math.round(clock.monotonicMs() - askedAtMs);
      note(`copy: ${copied.outcome}`, target, `${String(tookMs)} ms`);
      if (copied.outcome === 'no-room') {
        full.add(target.upstream.id);
      }
      return copied.outcome === 'copied' ? copied.copy : undefined;
    };

    const pause = (ms: number): Promise<void> =>
      new Promise((resolve) => {
        clock.after(ms, resolve);
      });

    /**
     * The run goes on elsewhere from a copy that lacks only its last moments, which are read anew. Its
     * old engine stops as the connection closes.
     */
    const switchTo = (from: Leg, target: FleetMember, copy: RunCopy, reason: string): void => {
      note('switch', target, reason);
      moveStartedAtMs = lastEventAtMs;
      closeLeg(from);
      start(target, { copy });
    };

    /** Whether the prompt has certainly reached the holder of the backup. */
    const isBackedUp = (from: Leg): boolean =>
      from.firstEventAtMs !== undefined &&
      clock.monotonicMs() - from.firstEventAtMs > backupDelayMs;

    const moveByCopy = async (from: Leg): Promise<void> => {
      const target = place(new Set([from.member.upstream.id, ...full]), from.member.upstream.dataCentre);
      if (target === undefined) {
        note('no engine to move to', from.member);
        full.clear();
        await pause(moveRetryMs);
        return;
      }
      const copy = await copyAhead(from, target);
      if (copy === undefined) {
        return;
      }
      if (call.isOver() || from.closed) {
        context.client.dropCopy(from.member.upstream, copy);
        return;
      }
      switchTo(from, target, copy, 'copied');
    };

    const move = async (reason: string): Promise<void> => {
      const from = leg;
      if (from === undefined || moving || call.isOver()) {
        return;
      }
      moving = true;
      try {
        if (from.backup !== undefined && isSound(from.backup) && isBackedUp(from)) {
          switchTo(
            from,
            from.backup,
            context.client.backupOf(from.backup.upstream, request.id),
            reason,
          );
          return;
        }
        await moveByCopy(from);
      } finally {
        moving = false;
      }
    };

    call.onOver(() => {
      if (leg !== undefined) {
        closeLeg(leg);
      }
    });
    const cancelTimeout = clock.after(call.endsAtMs - clock.monotonicMs(), () => {
      if (mayHaveRun || leg !== undefined) {
        call.fail(Failure.create('upstream-timeout', 'the stream was not complete in time'));
      } else {
        refuse();
      }
    });
    call.onOver(cancelTimeout);
    budget.countFirst(clock.monotonicMs());
    begin();

    return {
      requestId: request.id,
      service: service.name,
      member: () => leg?.member,
      isMovable: () =>
        engine.movable &&
        !moving &&
        !call.isOver() &&
        leg?.closed === false &&
        leg.firstEventAtMs !== undefined,
      expectedTokens,
      move,
    };
  },
};
