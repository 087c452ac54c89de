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

  describe('priority at an engine', () => {
    const long = { ...createRoute('long', 'a.example', '/long/'), priority: 5 };
    const short = { ...createRoute('short', 'a.example', '/short/'), priority: 1 };

    it('is stated where routes of a service differ', () => {
      // Without it a short urgent generation waits behind the prompts of long ones.
      const routes = RouteTable.create(createConfiguration([long, short]));
      expect(routes.enginePriority('app', long, undefined)).to.equal(5);
      expect(routes.enginePriority('app', short, undefined)).to.equal(1);
    });

    it('is not stated where all requests of a service have the same one', () => {
      // Deployments without priorities send what they sent before.
      const other = { ...long, targets: [{ service: 'other', weight: 1 }] };
      const routes = RouteTable.create(createConfiguration([other, short]));
      expect(routes.enginePriority('app', short, undefined)).to.equal(undefined);
      expect(routes.enginePriority('other', other, undefined)).to.equal(undefined);
    });

    it('is not stated where urgent requests may take longer than others', () => {
      // Guards against short generations that are due soon and wait behind long urgent ones.
      const urgent = { ...long, priority: 0, timeoutMs: 39_000 };
      const due = { ...short, priority: 1, timeoutMs: 6000 };
      const middle = { ...short, name: 'middle', priority: 0, timeoutMs: 3000 };
      for (const order of [
        [urgent, due, middle],
        [due, middle, urgent],
      ]) {
        const routes = RouteTable.create(createConfiguration(order));
        expect(routes.enginePriority('app', urgent, undefined)).to.equal(undefined);
        expect(routes.enginePriority('app', due, undefined)).to.equal(undefined);
      }
    });

    it('is that of the client account, within the range of engines', () => {
      const urgent = { name: 'urgent', keys: ['k3'], priority: 0 };
      const slow = { name: 'slow', keys: ['k4'], priority: 12 };
      const configuration = createConfiguration([long]);
      const routes = RouteTable.create({ ...configuration, clientAccounts: [urgent, slow] });
      expect(routes.enginePriority('app', long, urgent)).to.equal(0);
      expect(routes.enginePriority('app', long, slow)).to.equal(9);
    });
  });
});
