/** Scripts of targets of a gate that is stopped. */
import {buildSignedHead, formatEvents} from './fake-target.js';
import type {TargetScript} from './fake-target.js';

/** Target that never answers. */
export const holdAnswer: TargetScript = () => undefined;

/** Answers a whole stream. */
export const answerStream: TargetScript = (req, res) => {
  res.writeHead(200, buildSignedHead(req));
  res.end(formatEvents(1, 2));
};

/** Lets a target answer after some time. */
export function runLater(ms: number, script: TargetScript): TargetScript {
  return (req, res) => void setTimeout(() => script(req, res), ms);
}
