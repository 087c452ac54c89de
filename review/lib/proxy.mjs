// A loopback proxy in front of a worker. `silence` makes the connections that are open at that moment
// go silent for good, without a reset: no byte and no close passes any more. New ones work.
import { connect, createServer } from 'node:net';

export const startProxy = async (host, target) => {
  const pairs = new Set();
  const [targetHost, targetPort] = target.split(':');
  const server = createServer({ allowHalfOpen: true }, (client) => {
    const upstream = connect({ host: targetHost, port: Number(targetPort), allowHalfOpen: true });
    const pair = { client, upstream, silent: false };
    pairs.add(pair);
    const pass = (from, to) => {
      from.on('data', (bytes) => {
        if (!pair.silent) {
          to.write(bytes);
        }
      });
      from.on('end', () => {
        if (!pair.silent) {
          to.end();
        }
      });
      from.on('error', () => {
        if (!pair.silent) {
          to.resetAndDestroy();
        }
      });
      from.on('close', () => {
        if (!pair.silent) {
          to.destroy();
          pairs.delete(pair);
        }
      });
    };
    pass(client, upstream);
    pass(upstream, client);
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${String(server.address().port)}`,
    silence: () => {
      for (const pair of pairs) {
        pair.silent = true;
      }
      return pairs.size;
    },
    close: () => {
      server.close();
      for (const { client, upstream } of pairs) {
        client.destroy();
        upstream.destroy();
      }
    },
  };
};
