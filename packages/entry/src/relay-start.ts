import type { GenerationRequest } from '@zinniagrade/caller';
import type { Clock } from '@zinniagrade/clock';
import type { ResumePoint, ResumeTokens } from '@zinniagrade/generation';
import type { GenerationId, Service, Upstream, VersionId } from '@zinniagrade/types';
import type { EngineGenerationRequest, UpstreamClient } from '@zinniagrade/upstream';
import type { AdmissionQueue } from './admission-queue.js';
import type { PlacementRequest } from './placement.js';
import type { Work } from './work-meter.js';

/** Dependencies that all relays of a node share. */
export interface RelayDependencies {
  readonly admit: AdmissionQueue;
  readonly client: UpstreamClient;
  readonly resumeTokens: ResumeTokens;
  readonly clock: Clock;
}

/** Placements tried for one generation, as long as each failure proves that nothing ran. */
export const maxPlacementAttempts = 3;
/** Delay before the second attempt to resume; it doubles with each further attempt. */
export const resumeBackoffMs = 100;

/** HTTP statuses of an engine that no longer has the generation. */
export const generationGoneStatuses: ReadonlySet<number> = new Set([404, 410]);

/**
 * How the relay of a stream starts: with a new generation, or by resuming one at a known upstream.
 */
export type RelayStart =
  | NewRelayStart
  | {
      readonly kind: 'resumed';
      readonly point: ResumePoint;
      readonly upstream: Upstream;
      readonly work: Work;
    };

export interface NewRelayStart {
  readonly kind: 'new';
  readonly request: GenerationRequest;
  readonly service: Service;
  readonly placement: PlacementRequest;
  readonly maxTokens: number;
}

/** The order that starts a generation of the request at an engine. */
export const createOrder = (
  { request, service, maxTokens }: NewRelayStart,
  version: VersionId,
  generation: GenerationId,
  attempt: number,
): EngineGenerationRequest => ({
  generation,
  service: service.id,
  model: service.model ?? service.id,
  version,
  prompt: request.prompt,
  maxTokens,
  priority: request.priority ?? 0,
  attempt,
});
