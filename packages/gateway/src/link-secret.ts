import { randomBytes } from 'node:crypto';
import type { MetadataStore } from './metadata-store.js';

/**
 * Nodes may start together: a random delay up to this lets one write the secret and the others read
 * it.
 */
export const maxSecretDelayMs = 300;
const linkSecretBytes = 16;

/**
 * Stores a new secret with which nodes authenticate each other. The commit requires that the key
 * doesn't exist, so only the first node's secret is stored.
 */
export const createLinkSecret = (store: MetadataStore, key: string): void => {
  void store.commit({
    expected: new Map([[key, 0]]),
    writes: [{ key, value: randomBytes(linkSecretBytes) }],
    removals: [],
  });
};
