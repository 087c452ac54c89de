import { createServer } from 'node:net';

/** A socket that listens on an address, so that nothing else can. */
export interface AddressHolder {
  readonly release: () => Promise<void>;
}

export const AddressHolder = {
  /** Listens on an address, as IP:PORT; resolves with undefined if it is in use already. */
  create: (address: string): Promise<AddressHolder | undefined> =>
    new Promise((resolve) => {
      const [host, port] = address.split(':');
      const server = createServer((socket) => {
        socket.resetAndDestroy();
      });
      server.once('error', () => {
        resolve(undefined);
      });
      server.listen({ host, port: Number(port) }, () => {
        resolve({
          release: () =>
            new Promise((released) => {
              server.close(() => {
                released();
              });
            }),
        });
      });
    }),
};
