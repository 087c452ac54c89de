import type { UpstreamClient } from './upstream-client.js';

/** What a node's own exchanges show of its connections to the upstreams of a service. */
export interface UpstreamObserver {
  /** A request is being sent. Returns a call for its end, whatever ends it. */
  readonly onSend: (service: string) => () => void;
  /** Bytes have arrived from an upstream. */
  readonly onContact: (service: string) => void;
  /** A connection failed or was lost, or a load could not be read. */
  readonly onFailure: (service: string) => void;
}

/** Wraps a client so that the observer learns of all requests and load reports. */
export const observeUpstreams = (
  client: UpstreamClient,
  observer: UpstreamObserver,
): UpstreamClient => ({
  ...client,
  send: (outgoing, events) => {
    const { service } = outgoing.upstream;
    const end = observer.onSend(service);
    const exchange = client.send(outgoing, {
      onHead: (head) => {
        observer.onContact(service);
        events.onHead(head);
      },
      onData: (bytes) => {
        observer.onContact(service);
        events.onData(bytes);
      },
      onEnd: () => {
        end();
        events.onEnd();
      },
      onFailure: (failure) => {
        end();
        observer.onFailure(service);
        events.onFailure(failure);
      },
    });
    return {
      abort: () => {
        end();
        exchange.abort();
      },
    };
  },
  readEngineLoad: async (upstream) => {
    const load = await client.readEngineLoad(upstream);
    const { service } = upstream;
    load.caseOf({
      Left: ({ kind }) => {
        // An invalid report shows that the connection works.
        (kind === 'upstream-unreachable' ? observer.onFailure : observer.onContact)(service);
      },
      Right: () => {
        observer.onContact(service);
      },
    });
    return load;
  },
});
