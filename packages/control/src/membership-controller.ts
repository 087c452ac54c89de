import {
  type MembershipAction,
  type MembershipEvent,
  MembershipState,
  allMembers,
  putMembers,
  stepMembership,
} from '@zinniagrade/membership';
import type { LinkAddress, NodeLink } from '@zinniagrade/node-link';
import type { Heartbeat, Member, Milliseconds, NodeId, NodeMessage } from '@zinniagrade/types';
import type { ControlDependencies } from './control-dependencies.js';

/** What the membership controller needs of the rest of the control plane. */
export interface MembershipHooks {
  readonly link: NodeLink;
  readonly confirmedAt: () => Milliseconds | undefined;
  /** The fields of a heartbeat that concern the configuration. */
  readonly confirmation: () => Pick<Heartbeat, 'revision' | 'newestRevision' | 'confirmationAgeMs'>;
  /** Nodes other than the overlay neighbours to which a link is wanted. */
  readonly extraWantedNodes: () => Iterable<NodeId>;
  readonly onChange: () => void;
  /** Called when the process of a member has ended. */
  readonly onProcessGone: (node: NodeId) => void;
  readonly onFrozen: () => void;
}

/** Tracks the members of the cluster on one node, and maintains its links. */
export interface MembershipController {
  readonly state: () => MembershipState;
  /** Members that are not gone, including this node. */
  readonly presentMembers: () => readonly Member[];
  readonly step: (event: MembershipEvent) => void;
  readonly onHeartbeat: (from: NodeId, message: Heartbeat, transitMs: Milliseconds) => void;
  /** Sends a message to all neighbours except one. */
  readonly flood: (message: NodeMessage, except?: NodeId) => void;
  readonly updateWantedLinks: () => void;
}

type Dependencies = Pick<ControlDependencies, 'clock' | 'random' | 'counters' | 'logger' | 'event'>;

export const MembershipController = {
  create: (
    self: Member,
    knownMembers: readonly Member[],
    dependencies: Dependencies,
    hooks: MembershipHooks,
  ): MembershipController => {
    const { clock, random, counters, logger, event } = dependencies;
    const { link } = hooks;
    let state = MembershipState.create(self, clock.monotonicMs());
    if (knownMembers.length > 0) {
      state = { ...putMembers(state, knownMembers, clock.monotonicMs()), joined: true };
    }
    let present: readonly Member[] | undefined;

    const createHeartbeat = (heard: Uint8Array | undefined, membersHash: string): Heartbeat => ({
      kind: 'heartbeat',
      incarnation: state.self.incarnation,
      membersHash,
      sentAt: clock.wallMs(),
      ...hooks.confirmation(),
      ...(heard === undefined ? {} : { heard }),
    });

    const onMemberChange = (member: Member, before: Member | undefined): void => {
      const isNewProcess = before?.processIncarnation !== member.processIncarnation;
      if (isNewProcess || before.status !== member.status) {
        event(`member-${member.status}`, {
          member: member.nodeId,
          incarnation: member.incarnation,
        });
      }
      if (member.status === 'gone' || (before !== undefined && isNewProcess)) {
        hooks.onProcessGone(member.nodeId);
      }
    };

    const apply = (action: MembershipAction): void => {
      switch (action.kind) {
        case 'send':
          link.send(action.to, action.message);
          return;
        case 'heartbeat': {
          const message = createHeartbeat(action.heard, action.membersHash);
          for (const node of action.to) {
            link.send(node, message);
          }
          return;
        }
        case 'probe':
          link.dial({ host: action.member.host, port: action.member.linkPort });
          return;
        case 'changed':
          onMemberChange(action.member, action.before);
          return;
        case 'frozen':
          counters.increment('freezes');
          event('process-frozen', { gapMs: Math.round(action.gapMs) });
          logger.warn('process was frozen', { gapMs: Math.round(action.gapMs) });
          hooks.onFrozen();
      }
    };

    const updateWanted = (): void => {
      const wanted = new Map<NodeId, LinkAddress>();
      for (const id of [...state.neighbours, ...hooks.extraWantedNodes()]) {
        const member = state.members[id]?.member;
        if (member !== undefined && id !== state.self.nodeId) {
          wanted.set(id, { host: member.host, port: member.linkPort });
        }
      }
      link.setWanted(wanted);
    };

    const step = (membershipEvent: MembershipEvent): void => {
      const before = state;
      const next = stepMembership(state, membershipEvent, clock.monotonicMs(), random);
      state = next.state;
      if (before.members !== state.members) {
        present = undefined;
      }
      for (const action of next.actions) {
        apply(action);
      }
      if (before.members !== state.members) {
        hooks.onChange();
      }
      if (before.neighbours !== state.neighbours) {
        updateWanted();
      }
    };

    return {
      state: () => state,
      presentMembers: () => {
        present ??= allMembers(state).filter(({ status }) => status !== 'gone');
        return present;
      },
      step,
      onHeartbeat: (from, message, transitMs) => {
        step({ kind: 'heartbeat', from, message, transitMs });
      },
      flood: (message, except) => {
        for (const node of state.neighbours) {
          if (node !== except) {
            link.send(node, message);
          }
        }
      },
      updateWantedLinks: updateWanted,
    };
  },
};
