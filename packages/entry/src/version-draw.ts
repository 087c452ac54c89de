import type { Clock, Random } from '@zinniagrade/clock';
import { VersionPacer } from '@zinniagrade/moves';
import { newVersionShare } from '@zinniagrade/routing';
import type { NodeView, Service, ServiceId } from '@zinniagrade/types';

/** Whether the next request of a service is meant for the new version of a running move. */
export type VersionDraw = (service: Service) => boolean;

/**
 * Draws once per request, when it arrives. A draw at each attempt to place a request that waits would
 * send more requests to the new version than its share.
 */
export const createVersionDraw = (
  view: () => NodeView,
  clock: Clock,
  random: Random,
): VersionDraw => {
  const pacers = new Map<ServiceId, VersionPacer>();
  return (service) => {
    const context = { view: view(), now: clock.monotonicMs(), wallNow: clock.wallMs() };
    const share = newVersionShare(context, service);
    if (share <= 0) {
      pacers.delete(service.id);
      return false;
    }
    const pacer = pacers.get(service.id) ?? VersionPacer.create();
    const choice = VersionPacer.choose(pacer, share, random);
    pacers.set(service.id, choice.pacer);
    return choice.useNew;
  };
};
