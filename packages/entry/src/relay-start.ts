import type { GenerationRequest } from '@zinniagrade/caller';
import type { Clock } from '@zinniagrade/clock';
import type { ResumePoint, ResumeTokens } from '@zinniagrade/generation';
import type { GenerationId, Service, Upstream, VersionId } from '@zinniagrade/types';
import type { EngineGenerationRequest, UpstreamClient } from '@zinniagrade/upstream';
import type { Admit } from './admission-queue.js';
import type { PlacementRequest } from './placement.js';
import type { Work } from './work-meter.js';

/** What the relays of a node share. */
export interface RelayParts {
  readonly admit: Admit;
  readonly client: UpstreamClient;
  readonly tokens: ResumeTokens;
  readonly clock: Clock;
}

/** Upstreams that are tried for one generation while each proves that nothing ran. */
export const maxPlacements = 3;
/** Wait before the second attempt to resume; it doubles with each further one. */
export const resumeBackoffMs = 100;

/** Answers of an engine that no longer has the generation. */
export const goneStatuses: ReadonlySet<number> = new Set([404, 410]);

/** Where the relay of one stream begins. */
export type RelayStart =
  | NewStart
  | {
      readonly kind: 'resumed';
      readonly point: ResumePoint;
      readonly upstream: Upstream;
      readonly work: Work;
    };

export interface NewStart {
  readonly kind: 'new';
  readonly request: GenerationRequest;
  readonly service: Service;
  readonly placement: PlacementRequest;
  readonly maxTokens: number;
}

/** The order to an engine for one generation of the request. */
export const createOrder = (
  { request, service, maxTokens }: NewStart,
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
