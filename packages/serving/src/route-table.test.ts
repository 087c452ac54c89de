import { expect } from 'chai';
import type { Configuration, Route } from './configuration.js';
import { RouteTable } from './route-table.js';

const createRoute = (name: string, host: string, pathPrefix: string): Route => ({
  name,
  host,
  pathPrefix,
  kind: 'idempotent',
  timeoutMs: 1000,
  goalMs: 100,
  gapGoalMs: 0,
  priority: 0,
  targets: [{ service: 'app', weight: 1 }],
  maxAttempts: 1,
  anonymous: false,
  resumable: false,
});

const createConfiguration = (routes: readonly Route[]): Configuration => ({
  version: 1,
  routes,
  services: new Map(),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  clientAccounts: [{ name: 'shop', keys: ['k1', 'k2'] }],
});

describe('route table', () => {
  const table = RouteTable.create(
    createConfiguration([
      createRoute('all', 'a.example', '/x/'),
      createRoute('part', 'a.example', '/x/y/'),
      createRoute('other', 'b.example', '/x/'),
    ]),
  );

  it('selects the longest matching path prefix of the host', () => {
    expect(table.find('a.example', '/x/y/1')?.name).to.equal('part');
    expect(table.find('a.example', '/x/z')?.name).to.equal('all');
    expect(table.find('b.example', '/x/y/1')?.name).to.equal('other');
  });

  it('ignores the case and port of host names and the query of paths', () => {
    expect(table.find('A.Example:8080', '/x/z')?.name).to.equal('all');
    expect(table.find('a.example', '/z?/x/')).to.equal(undefined);
    expect(table.find('a.example', '/x')).to.equal(undefined);
  });

  it('finds a client account by each of its keys and by no other key', () => {
    expect(table.accountOf('k2')?.name).to.equal('shop');
    expect(table.accountOf('k3')).to.equal(undefined);
  });
});
