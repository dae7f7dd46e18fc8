package poppynotch.register;

/**
 * A change that a value includes. It is recorded so that a retry of the change is recognised.
 *
 * @param digest the digest of the change's content
 * @param generation the version of the configuration that the change made
 */
public record AppliedChange(long digest, long generation) {}
