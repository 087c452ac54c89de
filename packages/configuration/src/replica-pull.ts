import type { ConfigurationState, Milliseconds, NodeId, Revision } from '@zinniagrade/types';
import { splitConfiguration, joinFragments } from './head.js';
import {
  type ReplicaState,
  type ReplicaStep,
  adoptConfiguration,
  changeMessages,
  withoutActions,
} from './replica-state.js';

/** Maximum number of parts of a full configuration: 16 MB in all. */
const maxStateParts = 128;
const maxStatePartBytes = 128 * 1024;

/** Answers with the missing change sets, or with the full configuration if the log is too short. */
export const answerPull = (
  state: ReplicaState,
  to: NodeId,
  haveRevision: Revision,
): ReplicaStep => {
  const { configuration, log } = state;
  if (haveRevision >= configuration.revision) {
    return withoutActions(state);
  }
  const first = log[0];
  if (first !== undefined && first.revision <= haveRevision + 1) {
    const missing = log.filter(({ revision }) => revision > haveRevision);
    return {
      state,
      actions: changeMessages(missing).map((message) => ({ kind: 'send', to, message })),
    };
  }
  const fragments = splitConfiguration(configuration, maxStatePartBytes);
  return {
    state,
    actions: fragments.map((fragment, part) => ({
      kind: 'send',
      to,
      message: {
        kind: 'configuration-state',
        revision: configuration.revision,
        part,
        parts: fragments.length,
        fragment,
      },
    })),
  };
};

/** Collects the parts of a newer configuration and adopts it once all have arrived. */
export const onStatePart = (
  state: ReplicaState,
  { revision, part, parts, fragment }: ConfigurationState,
  now: Milliseconds,
): ReplicaStep => {
  const { partialConfiguration } = state;
  if (
    revision <= state.configuration.revision ||
    parts > maxStateParts ||
    part >= parts ||
    revision < (partialConfiguration?.revision ?? 0)
  ) {
    return withoutActions(state);
  }
  const receivedParts =
    partialConfiguration?.revision === revision ? partialConfiguration.parts : {};
  const allParts = { ...receivedParts, [part]: fragment };
  const fragments = Object.values(allParts);
  return fragments.length < parts
    ? withoutActions({
        ...state,
        lastPullAt: now,
        partialConfiguration: { revision, parts: allParts },
      })
    : adoptConfiguration(state, joinFragments(revision, fragments), [], now);
};
