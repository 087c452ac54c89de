import type { DataCentreId, Member, NodeId, RegionId, UpstreamId } from '@zinniagrade/types';

/** Finalizer of MurmurHash3. */
const mix = (value: number): number => {
  let hash = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/**
 * 32-bit hash of a string: FNV-1a with the finalizer of MurmurHash3. Gives the same result on every
 * node.
 */
export const hash32 = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return mix(hash);
};

/**
 * Score of a candidate for a key. Combines two hashes, so that every pair of a large fleet can be
 * scored cheaply.
 */
export const rendezvousScore = (keyHash: number, candidateHash: number): number =>
  mix(Math.imul(keyHash, 0x9e3779b1) ^ candidateHash);

/** A candidate's id and the hash of it. */
export interface Candidate {
  readonly id: string;
  readonly hash: number;
}

export const Candidate = {
  create: (id: string): Candidate => ({ id, hash: hash32(id) }),
};

/** Chooses the candidate with the highest score for the key; `undefined` if there are no candidates. */
export const rendezvous = (
  keyHash: number,
  candidates: readonly Candidate[],
): string | undefined => {
  let best: string | undefined;
  let bestScore = -1;
  for (const { id, hash } of candidates) {
    const score = rendezvousScore(keyHash, hash);
    if (best === undefined || score > bestScore || (score === bestScore && id < best)) {
      best = id;
      bestScore = score;
    }
  }
  return best;
};

/** Nodes that may own upstreams, by data centre and by region. */
export interface OwnerCandidates {
  readonly byDataCentre: ReadonlyMap<DataCentreId, readonly Candidate[]>;
  readonly byRegion: ReadonlyMap<RegionId, readonly Candidate[]>;
}

const append = (map: Map<string, Candidate[]>, key: string, candidate: Candidate): void => {
  const list = map.get(key);
  if (list === undefined) {
    map.set(key, [candidate]);
  } else {
    list.push(candidate);
  }
};

export const OwnerCandidates = {
  /** Suspect nodes stay candidates until they are gone, so that a false suspicion changes no owner. */
  create: (members: readonly Member[]): OwnerCandidates => {
    const byDataCentre = new Map<DataCentreId, Candidate[]>();
    const byRegion = new Map<RegionId, Candidate[]>();
    for (const member of members) {
      if (member.status === 'alive' || member.status === 'suspect') {
        const candidate = Candidate.create(member.nodeId);
        append(byDataCentre, member.dataCentre, candidate);
        append(byRegion, member.region, candidate);
      }
    }
    return { byDataCentre, byRegion };
  },
};

/**
 * Owner of an upstream: a node of its data centre, or of its region if the data centre has no live node.
 * `undefined` if the region has no live node.
 */
export const ownerOf = (
  upstream: UpstreamId,
  dataCentre: DataCentreId,
  region: RegionId | undefined,
  candidates: OwnerCandidates,
): NodeId | undefined =>
  rendezvous(
    hash32(upstream),
    candidates.byDataCentre.get(dataCentre) ?? candidates.byRegion.get(region ?? '') ?? [],
  );
