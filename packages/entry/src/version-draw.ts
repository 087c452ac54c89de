import type { Clock, Random } from '@zinniagrade/clock';
import { VersionPacer } from '@zinniagrade/moves';
import { newVersionShare } from '@zinniagrade/routing';
import type { NodeView, Service, ServiceId } from '@zinniagrade/types';

/** Decides whether the next request of a service goes to the new version of a running move. */
export type VersionDraw = (service: Service) => boolean;

/**
 * To be called once per request, on arrival. A new draw at each placement attempt of a waiting
 * request would send more requests to the new version than its share.
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
