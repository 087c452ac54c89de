import type { DataCentreId, Milliseconds } from '@zinniagrade/types';
import type { ConfigurationSystem, SystemNode } from './configuration-system.js';

/** Limit of both promises: a change or a withdrawal must be in force at every node after this time. */
export const inForceWithinMs: Milliseconds = 3000;

interface AcceptedChange {
  readonly marker: DataCentreId;
  readonly at: Milliseconds;
}

/** Checks every node after each step of a scenario, and records the first violation of a promise. */
export interface PromiseMonitor {
  /** Records that a change which adds the data centre `marker` has just been accepted. */
  readonly recordAccepted: (marker: DataCentreId) => void;
  /**
   * Records that the operator has just requested the withdrawal, or the return, of this data
   * centre.
   */
  readonly recordWithdrawn: (dataCentre: DataCentreId) => void;
  readonly recordReturned: (dataCentre: DataCentreId) => void;
  readonly checkNodes: () => void;
  readonly violation: () => string | undefined;
  readonly acceptedCount: () => number;
}

export const PromiseMonitor = {
  create: (system: ConfigurationSystem): PromiseMonitor => {
    const accepted: AcceptedChange[] = [];
    const withdrawnAt = new Map<DataCentreId, Milliseconds>();
    /** Markers and highest revision observed in force, by process. */
    const observations = new Map<string, { markers: Set<DataCentreId>; revision: number }>();
    let violation: string | undefined;

    const recordViolation = (text: string): void => {
      violation ??= `at ${Math.round(system.now())} ms: ${text}`;
    };

    const checkMarkers = (node: SystemNode): void => {
      const key = `${node.nodeId}#${node.startNumber}`;
      const observed = observations.get(key) ?? { markers: new Set<DataCentreId>(), revision: 0 };
      observations.set(key, observed);
      const acceptsWork = node.acceptsWork();
      const revision = node.revision();
      if (revision < observed.revision) {
        recordViolation(
          `${node.nodeId} went back from revision ${observed.revision} to ${revision}`,
        );
      }
      observed.revision = Math.max(observed.revision, revision);
      for (const { marker, at } of accepted) {
        if (node.hasDataCentre(marker)) {
          observed.markers.add(marker);
        } else if (observed.markers.has(marker)) {
          recordViolation(`${node.nodeId} lost the accepted change ${marker}`);
        } else if (acceptsWork && system.now() - at > inForceWithinMs) {
          recordViolation(
            `${node.nodeId} accepts work without the change ${marker}, accepted ${system.now() - at} ms ago`,
          );
        }
      }
    };

    return {
      recordAccepted: (marker) => {
        accepted.push({ marker, at: system.now() });
      },
      recordWithdrawn: (dataCentre) => {
        withdrawnAt.set(dataCentre, system.now());
      },
      recordReturned: (dataCentre) => {
        withdrawnAt.delete(dataCentre);
      },
      checkNodes: () => {
        for (const node of system.nodes()) {
          if (node.isFrozen()) {
            continue;
          }
          checkMarkers(node);
          for (const [dataCentre, at] of withdrawnAt) {
            if (system.now() - at > inForceWithinMs && node.routesTo(dataCentre)) {
              recordViolation(
                `${node.nodeId} sends work to ${dataCentre}, withdrawn ${system.now() - at} ms ago`,
              );
            }
          }
        }
      },
      violation: () => violation,
      acceptedCount: () => accepted.length,
    };
  },
};
