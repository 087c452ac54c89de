import type {
  HeldSubject,
  HoldingAction,
  HoldingSettings,
  HoldingState,
  Lease,
} from './holding-state.js';

/** The next state of a node while one event is applied, and the actions that follow from it. */
export interface HoldingDraft {
  readonly state: () => HoldingState;
  readonly actions: () => readonly HoldingAction[];
  readonly update: (change: Partial<HoldingState>) => void;
  readonly subjects: () => readonly string[];
  readonly subject: (name: string) => HeldSubject;
  readonly change: (name: string, change: Partial<HeldSubject>) => void;
  readonly act: (action: HoldingAction) => void;
  readonly wakeAt: (atMs: number) => void;
  readonly holdsAny: () => boolean;
  readonly claim: (name: string) => void;
  readonly grantLease: () => void;
  readonly renewLease: (lease: Lease) => void;
  readonly gain: (name: string, token: number) => void;
  readonly lose: (name: string, reason: string) => void;
  /** Forgets the lease, and with it all claims and tokens. */
  readonly dropLease: (reason: string) => void;
  /** Has the key of a token removed that this node no longer acts under. */
  readonly release: (name: string, token: number) => void;
  readonly endRelease: (name: string, releasedToken: number) => void;
}

const unknownSubject: HeldSubject = {
  offered: false,
  isTaken: false,
  freeSinceMs: -Infinity,
  claimNotBeforeMs: -Infinity,
  actingUntilMs: -Infinity,
  failures: 0,
  releasedToken: 0,
};

const without = <Value extends object>(value: Value, key: keyof Value): Value =>
  Object.fromEntries(Object.entries(value).filter(([name]) => name !== key)) as Value;

export const HoldingDraft = {
  create: (settings: HoldingSettings, before: HoldingState): HoldingDraft => {
    let state = before;
    const actions: HoldingAction[] = [];
    let wakeAtMs = Infinity;

    const update = (change: Partial<HoldingState>): void => {
      state = { ...state, ...change };
    };
    const subject = (name: string): HeldSubject => state.subjects.get(name) ?? unknownSubject;
    const set = (name: string, held: HeldSubject): void => {
      update({ subjects: new Map(state.subjects).set(name, held) });
    };
    const change = (name: string, changes: Partial<HeldSubject>): void => {
      set(name, { ...subject(name), ...changes });
    };
    const subjects = (): readonly string[] => [...state.subjects.keys()];

    const lose = (name: string, reason: string): void => {
      const held = subject(name);
      if (held.token === undefined) {
        return;
      }
      set(name, {
        ...without(held, 'token'),
        failures: 0,
        // Another node that acts in between must not be followed by this one within a lease.
        claimNotBeforeMs: Math.max(held.claimNotBeforeMs, held.actingUntilMs + settings.leaseMs),
      });
      actions.push({ kind: 'lost', subject: name, token: held.token, reason });
    };

    return {
      state: () => state,
      actions: () =>
        wakeAtMs === Infinity ? actions : [...actions, { kind: 'wake-at', atMs: wakeAtMs }],
      update,
      subjects,
      subject,
      change,
      act: (action) => {
        actions.push(action);
      },
      wakeAt: (atMs) => {
        wakeAtMs = Math.min(wakeAtMs, atMs);
      },
      holdsAny: () => subjects().some((name) => subject(name).token !== undefined),
      claim: (name) => {
        const { lease, claimCount } = state;
        if (lease === undefined) {
          return;
        }
        // A claim that may yet be applied is repeated under its id: only one of both can succeed.
        const id = subject(name).claim?.id ?? String(claimCount + 1);
        update({ claimCount: claimCount + 1 });
        change(name, { claim: { id, isInFlight: true, retryAtMs: 0 } });
        actions.push({ kind: 'claim', subject: name, claim: id, lease: lease.id });
      },
      grantLease: () => {
        update({ isLeaseCallInFlight: true });
        actions.push({ kind: 'grant-lease' });
      },
      renewLease: ({ id }) => {
        update({ isLeaseCallInFlight: true });
        actions.push({ kind: 'renew-lease', lease: id });
      },
      gain: (name, token) => {
        set(name, { ...without(subject(name), 'claim'), token, failures: 0 });
        actions.push({ kind: 'gained', subject: name, token });
      },
      lose,
      dropLease: (reason) => {
        state = without(state, 'lease');
        for (const name of subjects()) {
          lose(name, reason);
          // A claim must not be adopted under another lease than the one that its key has.
          set(name, without(subject(name), 'claim'));
        }
      },
      release: (name, token) => {
        const { release, releasedToken } = subject(name);
        if (token > releasedToken && token > (release?.token ?? 0)) {
          change(name, { release: { token, isInFlight: false, retryAtMs: -Infinity } });
        }
      },
      endRelease: (name, releasedToken) => {
        set(name, { ...without(subject(name), 'release'), releasedToken });
      },
    };
  },
};
