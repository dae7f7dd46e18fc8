/**
 * Versions of the services' servers and gradual rollouts of new versions: the state that the fleet
 * has agreed on, its encoding, and the judgement of a new version by the outcomes of its requests.
 * The classes do no I/O, and callers pass the time.
 */
package poppynotch.rollout;
