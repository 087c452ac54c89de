import type { FixtureNode } from '@zinniagrade/control';

const regionCount = 3;
/** Number of data centres at the size that the system is designed for. */
const largeFleetDataCentres = 7;
const smallFleetDataCentres = 2;
const maxSmallFleetNodes = 16;

/** Spreads nodes over data centres: 2 in one region for up to 16 nodes, otherwise 7 in 3 regions. */
export const createFleet = (count: number): readonly FixtureNode[] =>
  Array.from({ length: count }, (_, index) => {
    const dataCentre =
      index % (count <= maxSmallFleetNodes ? smallFleetDataCentres : largeFleetDataCentres);
    return {
      nodeId: `n${index}`,
      dataCentre: `d${dataCentre}`,
      region: count <= maxSmallFleetNodes ? 'r0' : `r${dataCentre % regionCount}`,
    };
  });

export const dataCentresOf = (
  nodes: readonly FixtureNode[],
): readonly { readonly id: string; readonly region: string }[] => [
  ...new Map(
    nodes.map(({ dataCentre, region }) => [dataCentre, { id: dataCentre, region }]),
  ).values(),
];
