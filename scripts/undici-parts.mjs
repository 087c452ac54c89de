// The parts of undici that the gateway uses. The package's index also loads fetch, WebSocket and
// mocks, which take a third of the time that a start spends loading code.
import api from 'undici/lib/api/index.js';
import buildConnector from 'undici/lib/core/connect.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

Object.assign(Dispatcher.prototype, api);

export { buildConnector, Client, Pool };
