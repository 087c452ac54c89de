import type { Clock } from '@zinniagrade/clock';
import { applyChanges } from '@zinniagrade/configuration';
import type { Store, Vm, VmList } from '@zinniagrade/platform';
import {
  type Change,
  type Configuration,
  type DataCentreId,
  type Milliseconds,
  emptyConfiguration,
} from '@zinniagrade/types';

const key = 'configuration/naive';
const watchTimeoutMs: Milliseconds = 500;
const watchRetryDelayMs: Milliseconds = 250;
const vmListIntervalMs: Milliseconds = 2000;
const maxWriteAttempts = 4;

/**
 * Overwrites the whole configuration: the last write wins. A failed write is repeated at the current
 * revision without merging what others wrote meanwhile. False if no write was confirmed.
 */
export const naiveCommit = async (store: Store, changes: readonly Change[]): Promise<boolean> => {
  const read = (await store.get(key)).extract();
  if (read !== undefined && !('revision' in read)) {
    return false;
  }
  const before = (read?.value ?? emptyConfiguration) as Configuration;
  const after = applyChanges(before, changes, before.revision + 1);
  for (let attempt = 0; attempt < maxWriteAttempts; attempt += 1) {
    const currentRevision = (await store.get(key)).orDefault(undefined)?.revision ?? 0;
    if ((await store.put(key, after, currentRevision)).outcome === 'done') {
      return true;
    }
  }
  return false;
};

/** A node that watches the store, and never checks whether its configuration has become stale. */
export interface NaiveConfigurationNode {
  readonly configuration: () => Configuration;
  /**
   * A data centre with VMs in the VM list is withdrawn if all of them are leaving; for others the
   * configuration decides.
   */
  readonly withdrawnDataCentres: () => ReadonlySet<DataCentreId>;
  readonly close: () => void;
}

const withdrawnByVms = (vms: readonly Vm[], id: DataCentreId): boolean | undefined => {
  const own = vms.filter(({ dataCentre }) => dataCentre === id);
  return own.length === 0 ? undefined : own.every(({ state }) => state === 'leaving');
};

export const NaiveConfigurationNode = {
  create: (store: Store, vmList: VmList, clock: Clock): NaiveConfigurationNode => {
    let configuration = emptyConfiguration;
    let vms: readonly Vm[] = [];
    let seenRevision = 0;
    let isClosed = false;

    const watch = async (): Promise<void> => {
      while (!isClosed) {
        const result = await store.watch(key, seenRevision, watchTimeoutMs);
        result.ifRight((stored) => {
          if (stored !== undefined) {
            seenRevision = stored.revision;
            configuration = stored.value as Configuration;
          }
        });
        if (result.isLeft()) {
          await new Promise<void>((resolve) => {
            clock.after(watchRetryDelayMs, resolve);
          });
        }
      }
    };
    const cancel = clock.every(vmListIntervalMs, () => {
      void vmList.list().then((result) => {
        vms = result.orDefault(vms);
      });
    });
    void watch();

    return {
      configuration: () => configuration,
      withdrawnDataCentres: () =>
        new Set(
          Object.values(configuration.dataCentres)
            .filter(({ id, state }) => withdrawnByVms(vms, id) ?? state === 'withdrawn')
            .map(({ id }) => id),
        ),
      close: () => {
        isClosed = true;
        cancel();
      },
    };
  },
};
