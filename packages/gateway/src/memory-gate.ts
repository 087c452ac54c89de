import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';
import { collectGarbage, type HeldBytes } from './memory-use.js';

/** Something that holds memory for peers and can give up part of it. */
export interface MemoryHolder {
  readonly name: string;
  readonly heldBytes: () => number;
  /** Gives up about this many bytes, if it holds as many; returns how many it gave up. */
  readonly shed: (bytes: number) => number;
}

export interface MemoryGateOptions {
  /** Memory above which the process is killed, in bytes. */
  readonly limitBytes: number;
  readonly readResidentBytes: () => number;
  readonly collect?: (kind: 'minor' | 'major') => void;
}

/** Decides by the memory that the process really uses what may be held for peers. */
export interface MemoryGate {
  /** Records bytes that a peer sent, whether they are held or dropped. */
  readonly recordReceived: (bytes: number) => void;
  /** Records bytes of large buffers that were freed. */
  readonly recordFreed: (bytes: number) => void;
  /** Counts connections, whose unread bytes in the system's buffers count as memory too. */
  readonly addConnections: (by: number) => void;
  /** Whether this many more bytes of a large message may be held. */
  readonly allows: (bytes: number) => boolean;
  /** Holders are asked to shed in the order in which they were added. */
  readonly addHolder: (holder: MemoryHolder) => void;
  readonly held: () => HeldBytes;
  readonly stop: () => void;
}

const checkIntervalMs = 50;
/** Bytes received after which the memory in use is read again, without waiting for the timer. */
const readAfterBytes = 1024 * 1024;
/** Bytes received after which buffers that were dropped are freed; V8 waits for 64 MB. */
const collectAfterBytes = 4 * 1024 * 1024;
const minMajorIntervalMs = 1000;
/** Growth of the memory in use, as a share of the limit, without which a collection is not repeated. */
const minGrowthShare = 0.02;
/** Bytes freed after which a full collection does not wait for the interval. */
const collectAfterFreedBytes = 16 * 1024 * 1024;
const minLogIntervalMs = 1000;
/** Share of the limit above which no more is held. The rest is for what arrives meanwhile. */
const fullShare = 0.8;
/** Share of the limit above which holders give up what they hold. */
const shedShare = 0.87;
/** Kept free for each connection, for bytes that the system receives before they are read. */
const connectionReserveBytes = 64 * 1024;
const maxReserveShare = 0.3;
/**
 * Share of the limit that holders may always hold together: freed memory isn't always returned to
 * the system, so that the memory in use can stay high while little is held.
 */
const floorShare = 0.04;

export const MemoryGate = {
  create: (clock: Clock, log: Log, options: MemoryGateOptions): MemoryGate => {
    const { limitBytes, readResidentBytes, collect = collectGarbage } = options;
    const maxReserveBytes = limitBytes * maxReserveShare;
    const shedBytes = limitBytes * shedShare;
    const floorBytes = limitBytes * floorShare;
    const holders: MemoryHolder[] = [];
    let connections = 0;
    let residentBytes = readResidentBytes();
    let receivedSinceRead = 0;
    let receivedSinceCollect = 0;
    let receivedSinceMajor = 0;
    let freedSinceMajor = 0;
    let majorAtMs = -Infinity;
    let residentAfterMajor = -Infinity;
    let loggedAtMs = -Infinity;

    const held = (): HeldBytes =>
      Object.fromEntries(holders.map(({ name, heldBytes }) => [name, heldBytes()]));

    const heldTotal = (): number =>
      holders.reduce((total, { heldBytes }) => total + heldBytes(), 0);

    /** Memory in use above which no more is held. */
    const fullBytes = (): number =>
      limitBytes * fullShare - Math.min(maxReserveBytes, connections * connectionReserveBytes);

    const readUse = (): void => {
      residentBytes = readResidentBytes();
      receivedSinceRead = 0;
    };

    /**
     * Whether buffers of peers can be a part of the memory in use that is worth a pause. The program
     * itself can fill a small limit, and V8 collects its heap by itself.
     */
    const mayFreeBuffers = (): boolean =>
      receivedSinceMajor + freedSinceMajor >= floorBytes || heldTotal() >= floorBytes;

    /** A collection that freed nothing is not repeated until there is more to free. */
    const isCollectionDue = (nowMs: number): boolean =>
      freedSinceMajor >= collectAfterFreedBytes ||
      (nowMs - majorAtMs >= minMajorIntervalMs &&
        residentBytes >= residentAfterMajor + limitBytes * minGrowthShare &&
        mayFreeBuffers());

    /** Frees buffers that are no longer used, as V8 counts neither them nor the limit. */
    const collectIfFull = (): void => {
      const nowMs = clock.monotonicMs();
      if (residentBytes < fullBytes() || !isCollectionDue(nowMs)) {
        return;
      }
      receivedSinceMajor = 0;
      freedSinceMajor = 0;
      majorAtMs = nowMs;
      collect('major');
      readUse();
      residentAfterMajor = residentBytes;
    };

    const shed = (): void => {
      const beforeBytes = heldTotal();
      let excessBytes = Math.min(residentBytes - fullBytes(), beforeBytes - floorBytes);
      if (residentBytes < shedBytes || excessBytes <= 0) {
        return;
      }
      const heldBefore = held();
      for (const holder of holders) {
        excessBytes -= excessBytes > 0 ? holder.shed(excessBytes) : 0;
      }
      const shedTotal = beforeBytes - heldTotal();
      freedSinceMajor += shedTotal;
      const nowMs = clock.monotonicMs();
      if (shedTotal > 0 && nowMs - loggedAtMs >= minLogIntervalMs) {
        loggedAtMs = nowMs;
        log.event('memory short', { resident: residentBytes, shed: shedTotal, ...heldBefore });
      }
    };

    const check = (): void => {
      readUse();
      collectIfFull();
      shed();
    };
    const stop = clock.every(checkIntervalMs, check);

    return {
      recordReceived: (bytes) => {
        receivedSinceRead += bytes;
        receivedSinceCollect += bytes;
        receivedSinceMajor += bytes;
        if (receivedSinceCollect >= collectAfterBytes) {
          receivedSinceCollect = 0;
          collect('minor');
        }
        if (receivedSinceRead >= readAfterBytes) {
          readUse();
          collectIfFull();
        }
      },
      recordFreed: (bytes) => {
        freedSinceMajor += bytes;
      },
      addConnections: (by) => {
        connections += by;
      },
      allows: (bytes) =>
        residentBytes + receivedSinceRead + bytes <= fullBytes() ||
        heldTotal() + bytes <= floorBytes,
      addHolder: (holder) => {
        holders.push(holder);
      },
      held,
      stop,
    };
  },
};
