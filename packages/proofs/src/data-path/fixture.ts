import { hashSecret } from '@zinniagrade/caller';
import type { Configuration, Upstream } from '@zinniagrade/types';

export const accountSecret = 'open-sesame';
export const nodeSecret = 'a secret shared by the nodes';

/**
 * An upstream in the data centre `dc1`: an engine of the service `reports`, or a plain upstream of
 * `notes`.
 */
export const createUpstream = (
  id: string,
  port: number,
  kind: Upstream['kind'],
  overrides: Partial<Upstream> = {},
): Upstream => ({
  id,
  kind,
  dataCentre: 'dc1',
  host: '127.0.0.1',
  port,
  services: [kind === 'engine' ? 'reports' : 'notes'],
  version: kind === 'engine' ? 'r1' : 'n1',
  capacity: { slots: 64, memoryTokens: kind === 'engine' ? 200_000 : 0 },
  coldSlots: 4,
  refusesOldFencingTokens: true,
  state: 'in-service',
  ...overrides,
});

const createAccount = (id: string) => ({
  id,
  secretHash: hashSecret(accountSecret),
  weight: 1,
  maxOpenStreams: 64,
});

/**
 * A configuration with the generation service `reports`, the plain service `notes` with the operations
 * `issue` (not idempotent) and `status` (idempotent), and the client accounts `acme` and `other`.
 */
export const createConfiguration = (
  upstreams: readonly Upstream[],
  dataCentres: readonly string[] = ['dc1'],
): Configuration => ({
  revision: 1,
  dataCentres: Object.fromEntries(
    dataCentres.map((id) => [id, { id, region: 'r', state: 'in-service' }]),
  ),
  services: {
    reports: {
      id: 'reports',
      kind: 'generation',
      class: 'long-generation',
      model: 'm',
      version: 'r1',
      operations: [],
      firstAnswerDeadlineMs: 1_600,
    },
    notes: {
      id: 'notes',
      kind: 'plain',
      class: 'call',
      version: 'n1',
      operations: [
        { name: 'issue', idempotent: false },
        { name: 'status', idempotent: true },
      ],
      firstAnswerDeadlineMs: 1_000,
    },
  },
  versions: { r1: { id: 'r1', service: 'reports' }, n1: { id: 'n1', service: 'notes' } },
  upstreams: Object.fromEntries(upstreams.map((upstream) => [upstream.id, upstream])),
  moves: {},
  clientAccounts: { acme: createAccount('acme'), other: createAccount('other') },
});
