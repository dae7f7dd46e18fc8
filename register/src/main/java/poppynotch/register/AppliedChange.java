package poppynotch.register;

/**
 * A change that is part of a value. It is remembered so that a retry of the change is recognised.
 *
 * @param digest of the change's content
 * @param generation the version of the configuration that the change made
 */
public record AppliedChange(long digest, long generation) {}
