import type { Random } from '@zinniagrade/clock';

/** Listen addresses of a gateway that another socket may hold when it starts. */
export type TakenAddress = (typeof takenAddresses)[number];
/** State of the settings file when a signal asks the gateway to read it. */
export type SettingsAtReload = (typeof settingsAtReload)[number];

/** A fault around the start of one gateway's process. Delays are from the start or first signal. */
export type StartFault = {
  readonly atMs: number;
  readonly forMs: number;
  readonly gateway: number;
} & (
  | {
      readonly kind: 'reload-in-start';
      readonly signalAfterMs: number;
      readonly settings: SettingsAtReload;
    }
  | { readonly kind: 'terminate-in-start'; readonly signalAfterMs: number }
  | { readonly kind: 'terminate-repeatedly'; readonly signalsAfterMs: readonly number[] }
  | { readonly kind: 'start-beside'; readonly startAfterMs: number }
  | { readonly kind: 'address-taken'; readonly address: TakenAddress }
  | { readonly kind: 'kill-repeatedly'; readonly intervalsMs: readonly number[] }
);

export interface StartFaultPlanOptions {
  readonly gatewayCount: number;
  /** All faults begin within this period. */
  readonly faultPeriodMs: number;
  /** Time that a process has from SIGTERM until it is killed. */
  readonly graceMs: number;
}

const takenAddresses = ['caller', 'ready', 'directory', 'metrics'] as const;
const settingsAtReload = ['unchanged', 'changed', 'half-written'] as const;
const kinds = [
  'reload-in-start',
  'reload-in-start',
  'terminate-in-start',
  'terminate-repeatedly',
  'start-beside',
  'address-taken',
  'kill-repeatedly',
] as const;
const meanIntervalMs = 1200;
/** A process has registered its signal handlers and listens by then, also on a busy machine. */
const startMs = 600;
const maxTakenMs = 2000;
const maxHalfWrittenMs = 300;
const maxRepeats = 4;
const maxKillIntervalMs = 400;

/** Draws faults around starts. The same random sequence gives the same plan. */
export const planStartFaults = (
  random: Random,
  { gatewayCount, faultPeriodMs, graceMs }: StartFaultPlanOptions,
): readonly StartFault[] => {
  const pick = <Value>(values: readonly [Value, ...Value[]]): Value =>
    values[Math.floor(random() * values.length)] ?? values[0];
  const drawDelays = (maxMs: number): readonly number[] =>
    Array.from({ length: 1 + Math.floor(random() * maxRepeats) }, () => random() * maxMs);

  const drawFault = (atMs: number): StartFault => {
    const gateway = Math.floor(random() * gatewayCount);
    const kind = pick(kinds);
    switch (kind) {
      case 'reload-in-start': {
        const signalAfterMs = random() * startMs;
        const settings = pick(settingsAtReload);
        return { kind, atMs, gateway, forMs: random() * maxHalfWrittenMs, signalAfterMs, settings };
      }
      case 'terminate-in-start':
        return { kind, atMs, gateway, forMs: startMs, signalAfterMs: random() * startMs };
      case 'terminate-repeatedly': {
        const signalsAfterMs = drawDelays(graceMs);
        return { kind, atMs, gateway, forMs: graceMs, signalsAfterMs };
      }
      case 'start-beside':
        return { kind, atMs, gateway, forMs: graceMs, startAfterMs: random() * graceMs };
      case 'address-taken': {
        const address = pick(takenAddresses);
        return { kind, atMs, gateway, forMs: random() * maxTakenMs, address };
      }
      case 'kill-repeatedly': {
        const intervalsMs = drawDelays(maxKillIntervalMs);
        return { kind, atMs, gateway, forMs: maxRepeats * maxKillIntervalMs, intervalsMs };
      }
    }
  };

  const faults: StartFault[] = [];
  let atMs = random() * meanIntervalMs;
  while (atMs < faultPeriodMs) {
    faults.push(drawFault(atMs));
    atMs += random() * 2 * meanIntervalMs;
  }
  return faults;
};
