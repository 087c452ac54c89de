import { isBehind, withdrawnDataCentres } from '@zinniagrade/configuration';
import { frozenMs, isFresh, isIsolated } from '@zinniagrade/membership';
import type {
  Heartbeat,
  Member,
  Milliseconds,
  NodeId,
  NodeMessage,
  NodeView,
} from '@zinniagrade/types';
import { CallForwards } from './call-forwards.js';
import { ConfigurationPart } from './configuration-part.js';
import type { ControlParts, ControlSettings } from './control-options.js';
import { CreditsPart } from './credits-part.js';
import { MembershipPart } from './membership-part.js';
import { MovesPart } from './moves-part.js';
import type { NodeControl } from './node-control.js';
import { VmPart } from './vm-part.js';

const tickMs: Milliseconds = 100;
const slowTickMs: Milliseconds = 1000;
const readVmsEveryMs: Milliseconds = 2000;
/** After leaving was announced, callers may use an address for `holdMs` and a little more. */
const leavingGraceMs: Milliseconds = 5000;
const maxDialsFromVmList = 8;

export const Control = {
  /** Starts the control part of a node. Rejects when the link's port is taken. */
  create: async (settings: ControlSettings, parts: ControlParts): Promise<NodeControl> => {
    const { clock, logger, event, vms, dataPath } = parts;
    const { nodeId, region } = settings;
    /** Other nodes may connect before the parts below exist. */
    let early: (() => void)[] | undefined = [];
    const whenReady = (run: () => void): void => {
      if (early === undefined) {
        run();
      } else {
        early.push(run);
      }
    };
    const link = await parts.openLink({
      onUp: (node) => {
        whenReady(() => {
          onUp(node);
        });
      },
      onDown: () => undefined,
      onMessage: (node, message) => {
        whenReady(() => {
          onMessage(node, message);
        });
      },
    });
    const processIncarnation = Math.floor(clock.wallMs());
    const self: Member = {
      nodeId,
      incarnation: processIncarnation,
      processIncarnation,
      host: settings.host,
      callerPort: settings.callerPort,
      linkPort: link.port,
      dataCentre: settings.dataCentre,
      region,
      status: 'alive',
    };
    let view: NodeView | undefined;
    let refusesAsLeaving = false;
    let isCutOff = false;
    let isClosed = false;
    let correlations = 0;

    const markChanged = (): void => {
      view = undefined;
    };

    const forwards = CallForwards.create(
      link,
      clock,
      () => `${nodeId}-${processIncarnation}-${(correlations += 1)}`,
      () => {
        members.updateWanted();
      },
    );
    const moves = MovesPart.create(nodeId, processIncarnation, link, parts, markChanged);
    const credits = CreditsPart.create(self, link, parts, markChanged);
    const members = MembershipPart.create(self, settings.knownMembers ?? [], parts, {
      link,
      confirmedAt: () => configuration.state().confirmedAt,
      confirmation: () => configuration.confirmation(),
      moreWanted: () => [...forwards.wanted(), ...moves.wanted(), ...credits.wanted()],
      onChange: () => {
        markChanged();
        moves.onMembers(members.present());
        credits.onChange(configuration.state().configuration, members.present());
      },
      onProcessGone: forwards.onGone,
      onFrozen: () => {
        configuration.step({ kind: 'frozen' });
      },
    });
    const configuration = ConfigurationPart.create(parts, {
      link,
      nodeId,
      dataCentre: settings.dataCentre,
      present: members.present,
      flood: members.flood,
      onChange: () => {
        markChanged();
        moves.onConfiguration(configuration.state().configuration);
        credits.onChange(configuration.state().configuration, members.present());
      },
      onConfirmation: () => {
        updateIsolation();
      },
    });
    const vmList = VmPart.create(vms, clock, link, members.flood, markChanged);

    const buildView = (): NodeView => {
      const present = members.present();
      const spread = configuration.state();
      const reason = refusesAsLeaving ? 'leaving' : isCutOff ? 'isolated' : undefined;
      return {
        configuration: spread.configuration,
        members: present,
        withdrawnDataCentres: withdrawnDataCentres(
          spread.configuration,
          spread.provisionalWithdrawals,
        ),
        leavingUpstreams: vmList.leavingUpstreams(spread.configuration),
        limits: credits.limits(),
        loadReports: credits.loadReports(),
        moveShares: moves.shares(),
        ...(reason === undefined ? {} : { refusesNewWork: reason }),
      };
    };

    /** Whether the node can't tell that its configuration is the one in force. */
    const mustRefuse = (): boolean => {
      const spread = configuration.state();
      const { confirmedAt } = spread;
      const now = clock.monotonicMs();
      return (
        !isFresh(now, confirmedAt) &&
        (spread.configuration.revision === 0 ||
          isBehind(spread) ||
          isIsolated(members.state(), now, confirmedAt))
      );
    };

    const updateIsolation = (): void => {
      const next = mustRefuse();
      if (next !== isCutOff) {
        isCutOff = next;
        markChanged();
        if (next) {
          credits.onIsolated();
        }
        event(next ? 'node-isolated' : 'node-connected', {});
        logger.warn(next ? 'isolated: takes no new work' : 'connected: takes new work');
      }
    };

    const join = async (): Promise<void> => {
      for (const seed of settings.seeds) {
        link.dial(seed);
      }
      const listed = (await vms.list()).orDefault([]);
      const others = listed.filter(({ host }) => host !== settings.host);
      for (const { host } of others.slice(0, maxDialsFromVmList)) {
        link.dial({ host, port: link.port });
      }
    };

    const onUp = (node: NodeId): void => {
      members.step({ kind: 'link-up', from: node });
      configuration.step({ kind: 'link-up', from: node });
      vmList.onUp(node);
      forwards.onUp(node);
    };

    const onHeartbeat = (from: NodeId, message: Heartbeat): void => {
      const wallMs = clock.wallMs();
      const transitMs = Math.max(0, wallMs - (message.sentAt ?? wallMs));
      members.onHeartbeat(from, message, transitMs);
      configuration.onHeartbeat(from, message, transitMs);
    };

    const onMessage = (from: NodeId, message: NodeMessage): void => {
      if (isClosed) {
        return;
      }
      switch (message.kind) {
        case 'heartbeat':
          onHeartbeat(from, message);
          return;
        case 'member-update':
          members.step({ kind: 'update', from, message });
          return;
        case 'configuration-change':
        case 'configuration-pull':
        case 'configuration-state':
        case 'provisional-withdrawal':
          configuration.step({ kind: 'message', from, message });
          return;
        case 'vm-notices':
          vmList.onNotices(message.notices, from);
          return;
        case 'call-forward':
          void dataPath.answerForward(message).then((outcome) => {
            const { correlationId } = message;
            link.send(from, { kind: 'call-answer', correlationId, outcome });
          });
          return;
        case 'call-answer':
          forwards.onAnswer(from, message);
          return;
        case 'move-evidence':
        case 'move-grant':
          moves.onMessage(from, message);
          return;
        case 'credit-demand':
        case 'credit-grant':
          credits.onMessage(from, message);
      }
    };

    const tick = (): void => {
      members.step({ kind: 'tick', confirmedAt: configuration.state().confirmedAt });
      updateIsolation();
      moves.tick();
      credits.tick();
    };

    const slowTick = (): void => {
      if (!members.state().joined || members.present().length === 1) {
        void join();
      }
      configuration.slowTick();
      members.updateWanted();
    };

    const cancels = [
      clock.every(tickMs, tick),
      clock.every(slowTickMs, slowTick),
      clock.every(readVmsEveryMs, () => {
        if (configuration.isWatcher()) {
          void vmList.read();
        }
      }),
    ];
    updateIsolation();
    slowTick();
    const held = early;
    early = undefined;
    for (const run of held) {
      run();
    }

    return {
      view: () => {
        // After a freeze the data path may run before the timers do.
        if (clock.monotonicMs() - members.state().activeAt > frozenMs && !isClosed) {
          tick();
        }
        view ??= buildView();
        return view;
      },
      processIncarnation,
      forwardCall: (node, incarnation, forward) => {
        const member = members.state().members[node]?.member;
        return member === undefined ||
          member.status === 'gone' ||
          member.processIncarnation !== incarnation
          ? Promise.resolve(undefined)
          : forwards.forward(node, forward);
      },
      reportLeavingUpstream: vmList.onLeavingRefusal,
      announceLeaving: () => {
        members.step({ kind: 'leave' });
        cancels.push(
          clock.after(settings.holdMs + leavingGraceMs, () => {
            refusesAsLeaving = true;
            markChanged();
          }),
        );
      },
      close: async () => {
        isClosed = true;
        for (const cancel of cancels) {
          cancel();
        }
        configuration.close();
        await link.close();
      },
    };
  },
};
