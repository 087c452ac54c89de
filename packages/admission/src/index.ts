export type {
  AdmissionAction,
  AdmissionEvent,
  AdmissionState,
  AdmittedRequest,
  PendingRequest,
  Placer,
  Pool,
} from './admission-state.js';
export * from './admission.js';
