import { fork } from 'node:child_process';

/** A child process of the measurement, controlled over its IPC channel. */
export interface Child<Ready, Result> {
  readonly ready: Ready;
  readonly begin: () => void;
  /** Returns what the process measured since `begin`; the process keeps running. */
  readonly finish: () => Promise<Result>;
  readonly stop: () => Promise<void>;
}

const messageTimeoutMs = 10_000;

const nextMessage = <Message>(child: ReturnType<typeof fork>): Promise<Message> =>
  new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      reject(new Error(`child process sent no message within ${messageTimeoutMs} ms`));
    }, messageTimeoutMs);
    child.once('message', (message) => {
      clearTimeout(timer);
      resolve(message as Message);
    });
    child.once('exit', (code) => {
      clearTimeout(timer);
      reject(
        new Error(
          `child process exited before it sent a message (exit code ${code ?? 'none: ended by a signal'})`,
        ),
      );
    });
  });

/** Starts the module as a child process and waits until it is ready. */
export const startChild = async <Ready, Result>(
  module: URL,
  settings: unknown,
  execArgv: readonly string[] = [],
): Promise<Child<Ready, Result>> => {
  const child = fork(module, [JSON.stringify(settings)], {
    execArgv: [...execArgv],
    serialization: 'advanced',
  });
  const ready = await nextMessage<Ready>(child);
  return {
    ready,
    begin: () => {
      child.send('begin');
    },
    finish: () => {
      const result = nextMessage<Result>(child);
      child.send('finish');
      return result;
    },
    stop: async () => {
      child.removeAllListeners('exit');
      const exited = new Promise((resolve) => child.once('exit', resolve));
      child.disconnect();
      await exited;
    },
  };
};

/** The settings that the parent process passed to this process. */
export const childSettings = (): unknown => JSON.parse(process.argv[2] ?? '{}');

/** Serves the parent's messages: `begin` starts the measured window, `finish` returns its figures. */
export const runChild = (ready: unknown, begin: () => void, finish: () => unknown): void => {
  process.on('message', (message) => {
    if (message === 'begin') {
      begin();
    } else {
      process.send?.(finish());
    }
  });
  // The channel closes when the parent has the figures, or when the parent has died.
  process.on('disconnect', () => {
    process.exit(0);
  });
  process.send?.(ready);
};
