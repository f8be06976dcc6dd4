/** The causes by which a request loses worth. */

/** Causes by which worth is lost, in the order of the tables. */
export const CAUSES = [
  'late-mispredicted',
  'late-predicted',
  'late-unpredicted',
  'late-itl',
  'refused',
  'cut',
  'caller-left',
  'gate-ended',
] as const;

export type Cause = (typeof CAUSES)[number];

/** What the tables call the causes. */
export const CAUSE_NAMES: Readonly<Record<Cause, string>> = {
  'late-mispredicted': 'late, predicted in time',
  'late-predicted': 'predicted late',
  'late-unpredicted': 'late, nothing predicted',
  'late-itl': 'late by inter-token latency',
  refused: 'refused',
  cut: 'cut or failed',
  'caller-left': 'caller left',
  'gate-ended': 'its gate ended',
};
