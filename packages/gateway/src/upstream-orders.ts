import type { Clock } from '@zinniagrade/clock';
import {
  decideOrder,
  observeScaling,
  orderedCount,
  recordOrder,
  type LoadSharing,
  type ScalingSample,
  type ScalingState,
} from '@zinniagrade/duties';
import { demandOf, type Scaling, type Service } from '@zinniagrade/serving';
import type { ClusterState } from './cluster-state.js';
import { scaleSubject } from './duty-acts.js';
import type { DutyClient, DutyGrant, DutyHolder, DutyOutcome } from './duty-holder.js';
import type { Log } from './log.js';
import { KnownOrders, type KnownOrder } from './known-orders.js';
import type { NodePeers } from './node-peers.js';
import type { ScalingMetrics } from './scaling-metrics.js';
import { createSubject, type ScalingSubject } from './scaling-subject.js';

export interface UpstreamOrdersOptions {
  readonly node: string;
  readonly holder: Pick<DutyHolder, 'offer' | 'withdraw' | 'grantOf'>;
  readonly client: Pick<DutyClient, 'orderUpstreams'>;
  readonly peers: Pick<NodePeers, 'peerUse' | 'openTopic' | 'aliveNodes'>;
  /** Calls for duties that the platform takes in a second from all nodes together. */
  readonly maxCallsPerSecond: number;
  /** Tokens of generations that wait or were refused lately; undefined if nodes don't tell. */
  readonly waitingTokens: (service: string) => number | undefined;
  /** Share of the capacity of a service with this many upstreams that new requests leave free. */
  readonly reserveShare: (service: string, upstreamCount: number) => number;
}

/** Orders as many upstreams as services need, for the subjects that this node holds. */
export interface UpstreamOrders {
  readonly stop: () => void;
}

const observationIntervalMs = 500;
/** Part of the permitted calls that orders may take; the rest is for usage reports. */
const orderShare = 0.8;
/** A data centre without any upstream of a service for this time is out of use for it. */
const unusedAfterMs = 60_000;
/** Below this share of the registered nodes, others know more of the load than this one. */
const minLinkedShare = 0.5;
/** Below this share, too little of the load is known to give upstreams back. */
const minKnownShare = 0.9;
const minRetryMs = 500;
const maxRetryMs = 8000;

const round = (value: number): number => Math.round(value * 100) / 100;

export const UpstreamOrders = {
  create: (
    clock: Clock,
    log: Log,
    metrics: ScalingMetrics,
    cluster: ClusterState,
    options: UpstreamOrdersOptions,
  ): UpstreamOrders => {
    const { holder, client, peers } = options;
    const subjects = new Map<string, ScalingSubject>();
    const now = clock.monotonicMs;
    const callsPerSecond = orderShare * options.maxCallsPerSecond;

    const scalingOf = (service: string): Scaling | undefined => {
      const scaling = cluster.configuration()?.services.get(service)?.scaling;
      return typeof scaling === 'string' ? undefined : scaling;
    };

    /** Share of the other registered nodes from which messages arrive. */
    const linkedShare = (): number => {
      const others = [...cluster.nodes.keys()].filter((node) => node !== options.node);
      const alive = peers.aliveNodes();
      const linked = others.filter((node) => alive.has(node)).length;
      return others.length === 0 ? 1 : linked / others.length;
    };

    const apply = ({ service, dataCentre, count, sentAtMs }: KnownOrder): void => {
      const subject = subjects.get(scaleSubject(service, dataCentre));
      const scaling = scalingOf(service);
      if (subject !== undefined && scaling !== undefined) {
        subject.state = recordOrder(subject.state, { atMs: sentAtMs, count }, scaling);
      }
    };
    const knownOrders = KnownOrders.create(clock, peers.openTopic, apply);

    const subjectFor = (service: string, dataCentre: string): ScalingSubject => {
      const name = scaleSubject(service, dataCentre);
      const known = subjects.get(name);
      if (known !== undefined) {
        return known;
      }
      const subject = createSubject(service, dataCentre, now());
      subjects.set(name, subject);
      const order = knownOrders.lastOf(service, dataCentre);
      if (order !== undefined) {
        apply(order);
      }
      return subject;
    };

    /** Minimum time between two calls for one subject, so that those of all keep within the limit. */
    const callIntervalMs = (): number => (subjects.size * 1000) / callsPerSecond;

    const share = (
      { service, dataCentre }: ScalingSubject,
      { token }: DutyGrant,
      count: number,
      confirmed: boolean,
    ): void => {
      knownOrders.share({ service, dataCentre, count, token, confirmed, sentAtMs: now() });
    };

    const onOutcome = (
      subject: ScalingSubject,
      grant: DutyGrant,
      sent: { readonly count: number; readonly before: ScalingState },
      outcome: DutyOutcome,
    ): void => {
      subject.isSending = false;
      if (outcome === 'done') {
        subject.failures = 0;
        share(subject, grant, sent.count, true);
        return;
      }
      // An earlier call with the same order may have been taken.
      const isRepeat = orderedCount(sent.before) === sent.count;
      if (outcome !== 'unknown' && !isRepeat) {
        subject.state = { ...subject.state, orders: sent.before.orders };
        share(subject, grant, orderedCount(sent.before), true);
      }
      subject.failures += 1;
      const retryMs = Math.min(maxRetryMs, minRetryMs * 2 ** subject.failures);
      subject.nextCallAtMs = Math.max(subject.nextCallAtMs, now() + retryMs);
    };

    const send = (
      subject: ScalingSubject,
      grant: DutyGrant,
      count: number,
      scaling: Scaling,
    ): void => {
      const { service, dataCentre, state: before } = subject;
      subject.isSending = true;
      subject.nextCallAtMs = now() + callIntervalMs();
      if (orderedCount(before) !== count) {
        subject.state = recordOrder(before, { atMs: now(), count }, scaling);
      }
      // Other nodes learn of it before the platform does: a new holder has to know what may be in force.
      share(subject, grant, count, false);
      client.orderUpstreams(grant, { service, dataCentre, count }).then(
        (outcome) => {
          onOutcome(subject, grant, { count, before }, outcome);
        },
        (error: unknown) => {
          log.event('order of upstreams failed', { subject: subject.name, reason: String(error) });
          onOutcome(subject, grant, { count, before }, 'unknown');
        },
      );
    };

    /** Count of the last order if the platform may not have taken it; it is then sent again. */
    const unconfirmedCount = ({ service, dataCentre }: ScalingSubject): number | undefined => {
      const last = knownOrders.lastOf(service, dataCentre);
      return last?.confirmed === false ? last.count : undefined;
    };

    const act = (
      subject: ScalingSubject,
      sample: ScalingSample,
      scaling: Scaling,
      sharing: LoadSharing,
    ): void => {
      const grant = holder.grantOf(subject.name);
      if (grant === undefined) {
        return;
      }
      const isWithdrawn = !sharing.dataCentres.includes(subject.dataCentre);
      const isDue = !subject.isSending && now() >= subject.nextCallAtMs;
      if (isWithdrawn || !isDue || knownOrders.sentWithinSecond() >= Math.max(1, callsPerSecond)) {
        return;
      }
      const count =
        decideOrder(subject.state, sample, scaling, sharing) ?? unconfirmedCount(subject);
      if (count !== undefined) {
        log.event('upstreams ordered', {
          subject: subject.name,
          token: grant.token,
          count,
          before: orderedCount(subject.state),
          load: round(sample.load),
          waiting: sample.waiting === undefined ? undefined : round(sample.waiting),
          serving: sample.serving,
          availability: round(subject.state.availability),
        });
        send(subject, grant, count, scaling);
      }
    };

    const observe = (service: Service, scaling: Scaling): void => {
      const members = cluster.fleet.ofService(service.name);
      for (const { upstream } of members) {
        subjectFor(service.name, upstream.dataCentre).seenAtMs = now();
      }
      const own = [...subjects.values()].filter((subject) => subject.service === service.name);
      const dataCentres = own
        .map(({ dataCentre }) => dataCentre)
        .filter((dataCentre) => !cluster.withdrawn.has(dataCentre));
      const { load, serving } = demandOf(members, service, peers.peerUse, cluster.withdrawn);
      const reserveShare =
        service.engine === undefined ? 0 : options.reserveShare(service.name, serving);
      const waitingTokens = options.waitingTokens(service.name);
      const memoryTokens = service.engine?.memoryTokens ?? 0;
      const waiting =
        waitingTokens === undefined || memoryTokens <= 0 ? undefined : waitingTokens / memoryTokens;
      for (const subject of own) {
        const { dataCentre } = subject;
        const local = demandOf(
          members.filter(({ upstream }) => upstream.dataCentre === dataCentre),
          service,
          peers.peerUse,
          cluster.withdrawn,
        );
        const sample: ScalingSample = {
          atMs: now(),
          load,
          waiting,
          serving,
          reserveShare,
          localLoad: local.load,
          localServing: local.serving,
          isWhole: linkedShare() >= minKnownShare,
        };
        const sharing = { dataCentre, dataCentres };
        subject.state = observeScaling(subject.state, sample, scaling, sharing);
        act(subject, sample, scaling, sharing);
      }
    };

    const sweep = (): void => {
      for (const [name, subject] of subjects) {
        const isUnused = now() - subject.seenAtMs > unusedAfterMs;
        if (isUnused || scalingOf(subject.service) === undefined) {
          subjects.delete(name);
          holder.withdraw(name);
          continue;
        }
        const takesPart = linkedShare() >= minLinkedShare;
        if (takesPart !== subject.isOffered) {
          subject.isOffered = takesPart;
          (takesPart ? holder.offer : holder.withdraw)(name);
        }
      }
    };

    const stopTicks = clock.every(observationIntervalMs, () => {
      sweep();
      for (const service of cluster.configuration()?.services.values() ?? []) {
        const scaling = scalingOf(service.name);
        if (scaling !== undefined) {
          observe(service, scaling);
        }
      }
    });

    cluster.onChange((change) => {
      if (change.kind !== 'configuration') {
        return;
      }
      for (const { name, scaling } of change.configuration.services.values()) {
        if (typeof scaling === 'string') {
          log.event('scaling of a service is invalid; no upstreams are ordered for it', {
            service: name,
            reason: scaling,
            version: change.configuration.version,
          });
        }
      }
    });

    metrics.export(() => [...subjects.values()]);

    return { stop: stopTicks };
  },
};
