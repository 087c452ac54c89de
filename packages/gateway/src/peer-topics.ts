import type { SharedRow } from './node-message.js';

/** The fields of a row, in the order that the topic defines. */
export type RowFields = readonly unknown[];

/**
 * One kind of data that nodes share besides their states. Nodes of other versions may lack the topic
 * or send other fields.
 */
export interface PeerTopic {
  readonly name: string;
  /** Called with each row of another node; returns false if its fields are not valid. */
  readonly receive: (node: string, fields: RowFields) => boolean;
  /**
   * Rows for a neighbour that joins. A node behind a relay gets those of the relay only, so that what
   * it needs of other nodes must be among them, or be shared again.
   */
  readonly snapshot: () => readonly RowFields[];
  /** Called for a node from which messages no longer arrive. */
  readonly onNodeLost?: (node: string) => void;
}

/** The topics that this node takes part in. */
export interface PeerTopics {
  readonly open: (topic: PeerTopic) => void;
  readonly names: () => readonly string[];
  /** Passes a row to its topic; rows of unknown topics are for other nodes. */
  readonly receive: (row: SharedRow) => void;
  /** Rows of all topics for a neighbour that joins; `node` is this node. */
  readonly snapshot: (node: string) => readonly SharedRow[];
  readonly onNodeLost: (node: string) => void;
}

export const PeerTopics = {
  /** `onInvalid` is called with each row whose topic can't read it. */
  create: (onInvalid: (row: SharedRow) => void): PeerTopics => {
    const topics = new Map<string, PeerTopic>();
    return {
      open: (topic) => {
        topics.set(topic.name, topic);
      },
      names: () => [...topics.keys()],
      receive: (row) => {
        if (topics.get(row.topic)?.receive(row.node, row.fields) === false) {
          onInvalid(row);
        }
      },
      snapshot: (node) => {
        const rows: SharedRow[] = [];
        for (const topic of topics.values()) {
          for (const fields of topic.snapshot()) {
            rows.push({ node, topic: topic.name, fields });
          }
        }
        return rows;
      },
      onNodeLost: (node) => {
        for (const topic of topics.values()) {
          topic.onNodeLost?.(node);
        }
      },
    };
  },
};
