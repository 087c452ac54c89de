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

/** Owners of the upstreams of one service version with which a node exchanges credits. */
export const maxOwnersPerVersion = 8;

/**
 * The upstreams that one node may use, by service and version. Rebuilt when configuration or
 * members change.
 */
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
  /** Owner of every upstream of the region. */
  readonly regionOwners: ReadonlyMap<UpstreamId, NodeId>;
  /** The nodes among which owners are chosen. */
  readonly ownerCandidates: OwnerCandidates;
}

type TableInputs = Pick<NodeView, 'configuration' | 'members'>;

/**
 * Prefers owners in the node's data centre, then ranks by hash, so that the nodes spread evenly
 * over the owners.
 */
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
 * Finds the owner of every upstream of the node's region. Hashing every upstream with every node
 * would stall the streams of a node in a large fleet for tens of milliseconds, so owners are taken
 * from the previous table wherever the nodes of the data centre have not changed.
 */
const findOwners = (
  { configuration }: TableInputs,
  dataCentre: DataCentreId,
  candidates: OwnerCandidates,
  previous: RoutingTable | undefined,
): ReadonlyMap<UpstreamId, NodeId> => {
  const region = configuration.dataCentres[dataCentre]?.region;
  const unchanged = new Map(
    Object.keys(configuration.dataCentres).map((id) => {
      const nodes = candidates.byDataCentre.get(id);
      const previousNodes = previous?.ownerCandidates.byDataCentre.get(id);
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
      previous?.configuration.upstreams[upstream.id]?.dataCentre === upstream.dataCentre;
    const previousOwner =
      sameDataCentre && unchanged.get(upstream.dataCentre) === true
        ? previous.regionOwners.get(upstream.id)
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
  /**
   * `previous` is an earlier table of the same node, from which owners are reused where they still
   * hold.
   */
  create: (
    nodeId: NodeId,
    dataCentre: DataCentreId,
    inputs: TableInputs,
    previous?: RoutingTable,
  ): RoutingTable => {
    const { configuration, members } = inputs;
    const ownerCandidates = OwnerCandidates.create(members);
    const allOwners = findOwners(inputs, dataCentre, ownerCandidates, previous);
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

  /** Returns the same table while configuration and members are the same objects. */
  update: (table: RoutingTable, inputs: TableInputs): RoutingTable =>
    table.configuration === inputs.configuration && table.members === inputs.members
      ? table
      : RoutingTable.create(table.nodeId, table.dataCentre, inputs, table),
};
