import { connectionFlags, OperatorCommand } from '../../operator-command.js';

export default class Status extends OperatorCommand {
  static override summary = 'Show the state of the operator process and the moves under way.';
  static override flags = connectionFlags;

  async run(): Promise<object> {
    const { flags } = await this.parse(Status);
    const client = this.connect(flags);
    const status = this.resultOrExit(await client.status());
    client.close();
    this.log(`process ${status.process}, revision ${status.revision}`);
    this.log(
      `store ${status.storeReachable ? 'reachable' : 'not reachable'}, ` +
        `revision confirmed ${status.confirmedMsAgo} ms ago`,
    );
    for (const id of status.provisionalWithdrawals) {
      this.log(`data centre ${id} withdrawn provisionally`);
    }
    for (const { move, phase } of status.runningMoves) {
      this.log(`move ${move.id} of ${move.service} to ${move.toVersion}: ${phase}`);
    }
    return status;
  }
}
