import type {
  Configuration,
  DataCentreId,
  Member,
  NodeId,
  NodeView,
  ServiceId,
  Upstream,
  UpstreamId,
  VersionId,
} from '@zinniagrade/types';
import type { Candidate } from '@zinniagrade/credits';
import { OwnerCandidates, hash32, ownerOf, rendezvousScore } from '@zinniagrade/credits';

/** Owners of one service's upstreams that a node exchanges credits with. */
export const maxOwnersPerVersion = 8;

/** The upstreams that one node may use, by service and version; made anew when its inputs change. */
export interface RoutingTable {
  readonly nodeId: NodeId;
  readonly dataCentre: DataCentreId;
  readonly configuration: Configuration;
  readonly members: readonly Member[];
  readonly candidates: ReadonlyMap<ServiceId, ReadonlyMap<VersionId, readonly Upstream[]>>;
  /** Owner of each upstream in `candidates`. */
  readonly candidateOwners: ReadonlyMap<UpstreamId, NodeId>;
  /** The upstreams of the configuration that this node owns. */
  readonly ownedUpstreams: readonly Upstream[];
  /** Owner of every upstream of the region, and the nodes among which it was chosen. */
  readonly regionOwners: ReadonlyMap<UpstreamId, NodeId>;
  readonly ownerCandidates: OwnerCandidates;
}

type TableInputs = Pick<NodeView, 'configuration' | 'members'>;

/** Nearer owners first, then by a hash, so that the nodes spread over the owners evenly. */
const chooseOwners = (
  table: { readonly nodeId: NodeId; readonly dataCentre: DataCentreId },
  upstreamsByOwner: ReadonlyMap<NodeId, readonly Upstream[]>,
): readonly NodeId[] => {
  const nodeHash = hash32(table.nodeId);
  const rank = (owner: NodeId): number => {
    const [first] = upstreamsByOwner.get(owner) ?? [];
    const near = first?.dataCentre === table.dataCentre ? 2 ** 32 : 0;
    return near + rendezvousScore(nodeHash, hash32(owner));
  };
  return [...upstreamsByOwner.keys()]
    .map((owner) => ({ owner, rank: rank(owner) }))
    .sort((a, b) => b.rank - a.rank)
    .slice(0, maxOwnersPerVersion)
    .map(({ owner }) => owner);
};

const sameCandidates = (
  a: readonly Candidate[] | undefined,
  b: readonly Candidate[] | undefined,
): boolean => a?.length === b?.length && (a ?? []).every(({ id }, index) => id === b?.[index]?.id);

/**
 * Every upstream of the node's region with its owner. Hashing every upstream with every node would stop
 * the streams of a large node for tens of milliseconds, so owners are taken over from the table before
 * wherever the data centre's nodes are the same.
 */
const findOwners = (
  { configuration }: TableInputs,
  dataCentre: DataCentreId,
  candidates: OwnerCandidates,
  before: RoutingTable | undefined,
): ReadonlyMap<UpstreamId, NodeId> => {
  const region = configuration.dataCentres[dataCentre]?.region;
  const unchanged = new Map(
    Object.keys(configuration.dataCentres).map((id) => {
      const nodes = candidates.byDataCentre.get(id);
      const previousNodes = before?.ownerCandidates.byDataCentre.get(id);
      return [id, nodes !== undefined && sameCandidates(nodes, previousNodes)];
    }),
  );
  const owners = new Map<UpstreamId, NodeId>();
  for (const upstream of Object.values(configuration.upstreams)) {
    const upstreamRegion = configuration.dataCentres[upstream.dataCentre]?.region;
    if (region !== undefined && upstreamRegion !== region) {
      continue;
    }
    const sameDataCentre =
      before?.configuration.upstreams[upstream.id]?.dataCentre === upstream.dataCentre;
    const previousOwner =
      sameDataCentre && unchanged.get(upstream.dataCentre) === true
        ? before.regionOwners.get(upstream.id)
        : undefined;
    const owner =
      previousOwner ?? ownerOf(upstream.id, upstream.dataCentre, upstreamRegion, candidates);
    if (owner !== undefined) {
      owners.set(upstream.id, owner);
    }
  }
  return owners;
};

type UpstreamsByOwner = Map<NodeId, Upstream[]>;

const appendUpstream = (byOwner: UpstreamsByOwner, owner: NodeId, upstream: Upstream): void => {
  const list = byOwner.get(owner);
  if (list === undefined) {
    byOwner.set(owner, [upstream]);
  } else {
    list.push(upstream);
  }
};

const groupByVersion = (
  configuration: Configuration,
  owners: ReadonlyMap<UpstreamId, NodeId>,
): Map<ServiceId, Map<VersionId, UpstreamsByOwner>> => {
  const groups = new Map<ServiceId, Map<VersionId, UpstreamsByOwner>>();
  for (const [id, owner] of owners) {
    const upstream = configuration.upstreams[id];
    for (const service of upstream?.services ?? []) {
      const versions = groups.get(service) ?? new Map<VersionId, UpstreamsByOwner>();
      const byOwner: UpstreamsByOwner =
        versions.get(upstream?.version ?? '') ?? new Map<NodeId, Upstream[]>();
      if (upstream !== undefined) {
        appendUpstream(byOwner, owner, upstream);
        versions.set(upstream.version, byOwner);
        groups.set(service, versions);
      }
    }
  }
  return groups;
};

export const RoutingTable = {
  /** `before` is an earlier table of the same node, whose owners are taken over where they still hold. */
  create: (
    nodeId: NodeId,
    dataCentre: DataCentreId,
    inputs: TableInputs,
    before?: RoutingTable,
  ): RoutingTable => {
    const { configuration, members } = inputs;
    const ownerCandidates = OwnerCandidates.create(members);
    const allOwners = findOwners(inputs, dataCentre, ownerCandidates, before);
    const candidates = new Map<ServiceId, Map<VersionId, readonly Upstream[]>>();
    const owners = new Map<UpstreamId, NodeId>();
    for (const [service, versions] of groupByVersion(configuration, allOwners)) {
      const byVersion = new Map<VersionId, readonly Upstream[]>();
      for (const [version, byOwner] of versions) {
        const list: Upstream[] = [];
        for (const owner of chooseOwners({ nodeId, dataCentre }, byOwner)) {
          for (const upstream of byOwner.get(owner) ?? []) {
            list.push(upstream);
            owners.set(upstream.id, owner);
          }
        }
        byVersion.set(version, list);
      }
      candidates.set(service, byVersion);
    }
    const owned: Upstream[] = [];
    for (const [id, owner] of allOwners) {
      const upstream = configuration.upstreams[id];
      if (owner === nodeId && upstream !== undefined) {
        owned.push(upstream);
      }
    }
    return {
      nodeId,
      dataCentre,
      configuration,
      members,
      candidates,
      candidateOwners: owners,
      ownedUpstreams: owned,
      regionOwners: allOwners,
      ownerCandidates,
    };
  },

  /** The same table while configuration and members are the same objects. */
  update: (table: RoutingTable, inputs: TableInputs): RoutingTable =>
    table.configuration === inputs.configuration && table.members === inputs.members
      ? table
      : RoutingTable.create(table.nodeId, table.dataCentre, inputs, table),
};
