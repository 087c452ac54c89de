/** What a naive relay receives from its engine. */
export type NaiveRelayEvent =
  | { readonly kind: 'chunk'; readonly index: number; readonly text: string }
  | { readonly kind: 'end' }
  | { readonly kind: 'cut' | 'engine-lost' };

export type NaiveRelayAction =
  | { readonly kind: 'forward'; readonly index: number; readonly text: string }
  /** Read the same generation again from its first token. */
  | { readonly kind: 'reconnect' }
  /** Send the request to another engine and continue with its tokens. */
  | { readonly kind: 'start-again' }
  | { readonly kind: 'end' };

/** Forwards every chunk unchecked, and starts from the first token after every failure. */
export const stepNaiveRelay = (event: NaiveRelayEvent): NaiveRelayAction => {
  switch (event.kind) {
    case 'chunk':
      return { kind: 'forward', index: event.index, text: event.text };
    case 'end':
      return { kind: 'end' };
    case 'cut':
      return { kind: 'reconnect' };
    case 'engine-lost':
      return { kind: 'start-again' };
  }
};
