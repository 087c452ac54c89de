import { randomUUID } from 'node:crypto';
import type { Clock } from '@zinniagrade/clock';
import { errorResponses, Failure } from '@zinniagrade/errors';
import { emptyCurve } from '@zinniagrade/length-estimates';
import type { ClientAccountId, Service, UpstreamId } from '@zinniagrade/types';
import type { UpstreamClient } from '@zinniagrade/upstream';
import type { Either } from 'purify-ts';
import { Left } from 'purify-ts';
import type { AdmissionQueue } from './admission-queue.js';
import { admitAsync } from './admission-queue.js';
import type { PlacementRequest } from './placement.js';
import type { VersionDraw } from './version-draw.js';

/** Upstreams tried per call. */
const maxAttempts = 3;

export interface DispatchDependencies {
  readonly admit: AdmissionQueue;
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly drawVersion: VersionDraw;
}

/** A call whose service and operation exist in the configuration. */
export interface ResolvedCall {
  readonly clientAccount: ClientAccountId;
  readonly service: Service;
  readonly operation: string;
  readonly arguments: unknown;
  readonly idempotent: boolean;
}

/**
 * Sends a call to an upstream. Retries at another upstream after a failure that proves that the
 * call did not run, and after any other failure only if the operation is idempotent.
 */
export const dispatchCall = async (
  { admit, client, clock, drawVersion }: DispatchDependencies,
  call: ResolvedCall,
): Promise<Either<Failure, unknown>> => {
  const excluded = new Set<UpstreamId>();
  const request: PlacementRequest = {
    id: randomUUID(),
    service: call.service,
    clientAccount: call.clientAccount,
    route: call.operation,
    promptTokens: 0,
    maxTokens: 0,
    memory: emptyCurve,
    drawnForNew: drawVersion(call.service),
    arrivedAt: clock.monotonicMs(),
  };
  let lastFailure: Failure | undefined;
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const placement = await admitAsync(admit, request, excluded);
    if (placement.isLeft()) {
      return lastFailure === undefined ? placement : Left(lastFailure);
    }
    const { upstream, work, reportFailure: reportFailure } = placement.unsafeCoerce();
    const answer = await client.call(upstream, {
      requestId: randomUUID(),
      operation: call.operation,
      arguments: call.arguments,
    });
    if (answer.isRight()) {
      work.recordTokens(clock.monotonicMs(), 0);
      work.finish('completed');
      return answer;
    }
    const failure = answer.swap().unsafeCoerce();
    const notRun = errorResponses[failure.kind].ran === 'not-run';
    reportFailure(failure);
    work.finish(notRun ? 'not-run' : 'failed');
    if (!notRun && !call.idempotent) {
      return Left(failure);
    }
    excluded.add(upstream.id);
    // Keeps the failure of an attempt that may have run the call, so that it is never reported as
    // not run.
    lastFailure =
      lastFailure !== undefined && errorResponses[lastFailure.kind].ran === 'unknown'
        ? lastFailure
        : failure;
  }
  return Left(lastFailure ?? Failure.create('internal', 'the call was not sent to any upstream'));
};
