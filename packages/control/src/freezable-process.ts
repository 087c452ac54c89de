import type { Clock } from '@zinniagrade/clock';
import type { Store, VmList } from '@zinniagrade/platform';

/** A simulated process that can be frozen: none of its work runs until it is woken. */
export interface FreezableProcess {
  readonly clock: Clock;
  /** Runs the work at once, or after waking if the process is frozen. */
  readonly run: (work: () => void) => void;
  /** Wraps a store so that its replies reach the process only while it runs. */
  readonly gateStore: (store: Store) => Store;
  readonly gateVmList: (vms: VmList) => VmList;
  readonly freeze: () => void;
  readonly wake: () => void;
  /** Stops the process for good and discards its pending work. */
  readonly kill: () => void;
  readonly isFrozen: () => boolean;
}

export const FreezableProcess = {
  create: (clock: Clock): FreezableProcess => {
    let frozen = false;
    let killed = false;
    let queuedWork: (() => void)[] = [];

    const run = (work: () => void): void => {
      if (killed) {
        return;
      }
      if (frozen) {
        queuedWork.push(work);
      } else {
        work();
      }
    };

    const gate = <T>(promise: Promise<T>): Promise<T> =>
      new Promise((resolve, reject) => {
        promise.then(
          (value) => {
            run(() => {
              resolve(value);
            });
          },
          (error: unknown) => {
            reject(error instanceof Error ? error : new Error(String(error)));
          },
        );
      });

    return {
      clock: {
        monotonicMs: clock.monotonicMs,
        wallMs: clock.wallMs,
        after: (delayMs, work) =>
          clock.after(delayMs, () => {
            run(work);
          }),
        every: (intervalMs, work) => {
          let isHeld = false;
          return clock.every(intervalMs, () => {
            if (!isHeld) {
              isHeld = true;
              run(() => {
                isHeld = false;
                work();
              });
            }
          });
        },
      },
      run,
      gateStore: (store) => ({
        get: (key) => gate(store.get(key)),
        put: (key, value, ifRevision, leaseId) => gate(store.put(key, value, ifRevision, leaseId)),
        delete: (key, ifRevision) => gate(store.delete(key, ifRevision)),
        list: (prefix) => gate(store.list(prefix)),
        watch: (key, after, waitMs) => gate(store.watch(key, after, waitMs)),
        grantLease: (ttlMs) => gate(store.grantLease(ttlMs)),
        renewLease: (leaseId) => gate(store.renewLease(leaseId)),
        revokeLease: (leaseId) => gate(store.revokeLease(leaseId)),
      }),
      gateVmList: (vms) => ({ list: () => gate(vms.list()) }),
      freeze: () => {
        frozen = true;
      },
      wake: () => {
        frozen = false;
        const work = queuedWork;
        queuedWork = [];
        for (const item of work) {
          run(item);
        }
      },
      kill: () => {
        killed = true;
        queuedWork = [];
      },
      isFrozen: () => frozen,
    };
  },
};
