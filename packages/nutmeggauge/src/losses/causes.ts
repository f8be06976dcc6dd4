/** Causes by which a request loses part or all of its worth. */

/** Causes of lost worth, in the column order of the tables. */
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

/** Labels of the causes in the tables and on the page. */
export const CAUSE_NAMES: Readonly<Record<Cause, string>> = {
  'late-mispredicted': 'late, predicted in time',
  'late-predicted': 'late, predicted late',
  'late-unpredicted': 'late, no prediction',
  'late-itl': 'late by inter-token latency',
  refused: 'refused',
  cut: 'cut or failed',
  'caller-left': 'caller disconnected',
  'gate-ended': 'gate process ended',
};
