import type { SharedUpdates } from './node-message.js';

export const noUpdates: SharedUpdates = {
  loads: [],
  reports: [],
  findings: [],
  limits: [],
  rows: [],
};

/** Number of updates of all kinds. */
export const countUpdates = ({ loads, reports, findings, limits, rows }: SharedUpdates): number =>
  loads.length + reports.length + findings.length + limits.length + rows.length;

/** The updates of those nodes for which `wants` is true. */
export const updatesFrom = (
  updates: SharedUpdates,
  wants: (node: string) => boolean,
): SharedUpdates => ({
  loads: updates.loads.filter(({ node }) => wants(node)),
  reports: updates.reports.filter(({ node }) => wants(node)),
  findings: updates.findings.filter(({ node }) => wants(node)),
  limits: updates.limits.filter(({ node }) => wants(node)),
  rows: updates.rows.filter(({ node }) => wants(node)),
});

export const mergeUpdates = (first: SharedUpdates, second: SharedUpdates): SharedUpdates => ({
  loads: [...first.loads, ...second.loads],
  reports: [...first.reports, ...second.reports],
  findings: [...first.findings, ...second.findings],
  limits: [...first.limits, ...second.limits],
  rows: [...first.rows, ...second.rows],
});
