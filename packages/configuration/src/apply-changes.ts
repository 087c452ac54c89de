import type { Change, CommittedChangeSet, Configuration } from '@zinniagrade/types';

type Section = keyof Omit<Configuration, 'revision'>;
type SectionEntries = Record<string, unknown>;

/** A copy-on-write configuration: each section is copied at its first change. */
interface Draft {
  readonly put: (section: Section, id: string, value: unknown) => void;
  readonly remove: (section: Section, id: string) => void;
  /** The entry with this id; `undefined` for names of built-in properties. */
  readonly get: <S extends Section>(section: S, id: string) => Configuration[S][string] | undefined;
  readonly finish: (revision: number) => Configuration;
}

/** The entry with this id; `undefined` for names of built-in properties, such as `toString`. */
export const ownEntry = <T>(record: Readonly<Record<string, T>>, id: string): T | undefined =>
  Object.hasOwn(record, id) ? record[id] : undefined;

const createDraft = (configuration: Configuration): Draft => {
  const copies = new Map<Section, SectionEntries>();
  const writableSection = (section: Section): SectionEntries => {
    const copy = copies.get(section) ?? { ...configuration[section] };
    copies.set(section, copy);
    return copy;
  };
  return {
    put: (section, id, value) => {
      writableSection(section)[id] = value;
    },
    remove: (section, id) => {
      // Safe because the copy is private to this draft. A Map would change the type of the
      // configuration.
      // eslint-disable-next-line @typescript-eslint/no-dynamic-delete
      delete writableSection(section)[id];
    },
    get: <S extends Section>(section: S, id: string) =>
      ownEntry<unknown>(copies.get(section) ?? configuration[section], id) as
        Configuration[S][string] | undefined,
    finish: (revision) => ({ ...configuration, ...Object.fromEntries(copies), revision }),
  };
};

const endMove = (draft: Draft, change: Extract<Change, { kind: 'end-move' }>): void => {
  const move = draft.get('moves', change.id);
  if (move?.state !== 'planned') {
    return;
  }
  draft.put('moves', change.id, { ...move, state: change.outcome, reason: change.reason });
  const service = draft.get('services', move.service);
  if (change.outcome === 'done' && service !== undefined) {
    draft.put('services', service.id, { ...service, version: move.toVersion });
  }
};

const setDataCentre = (draft: Draft, id: string, state: 'in-service' | 'withdrawn'): void => {
  const dataCentre = draft.get('dataCentres', id);
  if (dataCentre !== undefined) {
    draft.put('dataCentres', id, { ...dataCentre, state });
  }
};

const applyChange = (draft: Draft, change: Change): void => {
  switch (change.kind) {
    case 'put-data-centre':
      draft.put('dataCentres', change.dataCentre.id, change.dataCentre);
      return;
    case 'withdraw-data-centre':
      setDataCentre(draft, change.id, 'withdrawn');
      return;
    case 'return-data-centre':
      setDataCentre(draft, change.id, 'in-service');
      return;
    case 'put-service':
      draft.put('services', change.service.id, change.service);
      return;
    case 'put-version':
      draft.put('versions', change.version.id, change.version);
      return;
    case 'put-upstream':
      draft.put('upstreams', change.upstream.id, change.upstream);
      return;
    case 'remove-upstream':
      draft.remove('upstreams', change.id);
      return;
    case 'put-client-account':
      draft.put('clientAccounts', change.clientAccount.id, change.clientAccount);
      return;
    case 'start-move':
      draft.put('moves', change.move.id, change.move);
      return;
    case 'end-move':
      endMove(draft, change);
  }
};

/** Applies changes to a configuration. Never fails, so that every node gets the same result. */
export const applyChanges = (
  configuration: Configuration,
  changes: readonly Change[],
  revision: number,
): Configuration => {
  const draft = createDraft(configuration);
  for (const change of changes) {
    applyChange(draft, change);
  }
  return draft.finish(revision);
};

/**
 * Applies the change sets of a log that follow the configuration without a gap; skips all others.
 */
export const applyLog = (
  configuration: Configuration,
  log: readonly CommittedChangeSet[],
): Configuration => {
  let result = configuration;
  for (const { revision, changes } of [...log].sort((a, b) => a.revision - b.revision)) {
    if (revision === result.revision + 1) {
      result = applyChanges(result, changes, revision);
    }
  }
  return result;
};
