import { isBehind, withdrawnDataCentres } from '@zinniagrade/configuration';
import { freezeThresholdMs, isConfirmationFresh, isIsolated } from '@zinniagrade/membership';
import type {
  Heartbeat,
  Member,
  Milliseconds,
  NodeId,
  NodeMessage,
  NodeView,
} from '@zinniagrade/types';
import { CallForwards } from './call-forwards.js';
import { ConfigurationController } from './configuration-controller.js';
import type { ControlDependencies, ControlSettings } from './control-dependencies.js';
import { CreditsController } from './credits-controller.js';
import { MembershipController } from './membership-controller.js';
import { MovesController } from './moves-controller.js';
import type { NodeControl } from './node-control.js';
import { VmListController } from './vm-list-controller.js';

const tickIntervalMs: Milliseconds = 100;
const slowTickIntervalMs: Milliseconds = 1000;
const vmListIntervalMs: Milliseconds = 2000;
/**
 * Time beyond `holdMs` for which a leaving node still accepts work from callers that use its
 * address.
 */
const leavingGraceMs: Milliseconds = 5000;
const maxDialsFromVmList = 8;

export const Control = {
  /** Starts the control plane of a node. Rejects if the port of its link is in use. */
  create: async (
    settings: ControlSettings,
    dependencies: ControlDependencies,
  ): Promise<NodeControl> => {
    const { clock, logger, event, vms, dataPath } = dependencies;
    const { nodeId, region } = settings;
    /** Events of other nodes that connect before the controllers below exist. */
    let queuedUntilReady: (() => void)[] | undefined = [];
    const whenReady = (run: () => void): void => {
      if (queuedUntilReady === undefined) {
        run();
      } else {
        queuedUntilReady.push(run);
      }
    };
    const link = await dependencies.openLink({
      onUp: (node) => {
        whenReady(() => {
          onLinkUp(node);
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
    let refusesAsIsolated = false;
    let isClosed = false;
    let correlationCount = 0;

    const invalidateView = (): void => {
      view = undefined;
    };

    const callForwards = CallForwards.create(
      link,
      clock,
      () => `${nodeId}-${processIncarnation}-${(correlationCount += 1)}`,
      () => {
        members.updateWantedLinks();
      },
    );
    const moves = MovesController.create(
      nodeId,
      processIncarnation,
      link,
      dependencies,
      invalidateView,
    );
    const credits = CreditsController.create(self, link, dependencies, invalidateView);
    const members = MembershipController.create(self, settings.knownMembers ?? [], dependencies, {
      link,
      confirmedAt: () => configuration.state().confirmedAt,
      confirmation: () => configuration.confirmation(),
      extraWantedNodes: () => [
        ...callForwards.wantedNodes(),
        ...moves.wantedNodes(),
        ...credits.wantedNodes(),
      ],
      onChange: () => {
        invalidateView();
        moves.onMembersChange(members.presentMembers());
        credits.onChange(configuration.state().configuration, members.presentMembers());
      },
      onProcessGone: callForwards.onProcessGone,
      onFrozen: () => {
        configuration.step({ kind: 'frozen' });
      },
    });
    const configuration = ConfigurationController.create(dependencies, {
      link,
      nodeId,
      dataCentre: settings.dataCentre,
      presentMembers: members.presentMembers,
      flood: members.flood,
      onChange: () => {
        invalidateView();
        moves.onConfigurationChange(configuration.state().configuration);
        credits.onChange(configuration.state().configuration, members.presentMembers());
      },
      onConfirmation: () => {
        updateIsolation();
      },
    });
    const vmListController = VmListController.create(
      vms,
      clock,
      link,
      members.flood,
      invalidateView,
    );

    const buildView = (): NodeView => {
      const present = members.presentMembers();
      const configurationState = configuration.state();
      const reason = refusesAsLeaving ? 'leaving' : refusesAsIsolated ? 'isolated' : undefined;
      return {
        configuration: configurationState.configuration,
        members: present,
        withdrawnDataCentres: withdrawnDataCentres(
          configurationState.configuration,
          configurationState.provisionalWithdrawals,
        ),
        leavingUpstreams: vmListController.leavingUpstreams(configurationState.configuration),
        limits: credits.limits(),
        loadReports: credits.loadReports(),
        moveShares: moves.moveShares(),
        ...(reason === undefined ? {} : { refusesNewWork: reason }),
      };
    };

    /** Whether the node cannot be sure that its configuration is the one in force. */
    const mustIsolate = (): boolean => {
      const configurationState = configuration.state();
      const { confirmedAt } = configurationState;
      const now = clock.monotonicMs();
      return (
        !isConfirmationFresh(now, confirmedAt) &&
        (configurationState.configuration.revision === 0 ||
          isBehind(configurationState) ||
          isIsolated(members.state(), now, confirmedAt))
      );
    };

    const updateIsolation = (): void => {
      const next = mustIsolate();
      if (next !== refusesAsIsolated) {
        refusesAsIsolated = next;
        invalidateView();
        if (next) {
          credits.onIsolated();
        }
        event(next ? 'node-isolated' : 'node-connected', {});
        logger.warn(
          next ? 'node isolated: refusing new work' : 'node connected: accepting new work',
        );
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

    const onLinkUp = (node: NodeId): void => {
      members.step({ kind: 'link-up', from: node });
      configuration.step({ kind: 'link-up', from: node });
      vmListController.onLinkUp(node);
      callForwards.onLinkUp(node);
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
          vmListController.onNotices(message.notices, from);
          return;
        case 'call-forward':
          void dataPath.answerForward(message).then((outcome) => {
            const { correlationId } = message;
            link.send(from, { kind: 'call-answer', correlationId, outcome });
          });
          return;
        case 'call-answer':
          callForwards.onAnswer(from, message);
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
      if (!members.state().joined || members.presentMembers().length === 1) {
        void join();
      }
      configuration.slowTick();
      members.updateWantedLinks();
    };

    const cancels = [
      clock.every(tickIntervalMs, tick),
      clock.every(slowTickIntervalMs, slowTick),
      clock.every(vmListIntervalMs, () => {
        if (configuration.isWatcher()) {
          void vmListController.readList();
        }
      }),
    ];
    updateIsolation();
    slowTick();
    const queuedWork = queuedUntilReady;
    queuedUntilReady = undefined;
    for (const run of queuedWork) {
      run();
    }

    return {
      view: () => {
        // After a freeze, the data path may run before the timers.
        if (clock.monotonicMs() - members.state().lastEventAt > freezeThresholdMs && !isClosed) {
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
          : callForwards.forward(node, forward);
      },
      reportLeavingUpstream: vmListController.onLeavingRefusal,
      announceLeaving: () => {
        members.step({ kind: 'leave' });
        cancels.push(
          clock.after(settings.holdMs + leavingGraceMs, () => {
            refusesAsLeaving = true;
            invalidateView();
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
