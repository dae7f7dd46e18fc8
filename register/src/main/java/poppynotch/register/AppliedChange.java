package poppynotch.register;

/**
 * A change that is part of a value, kept so that it is known when it is sent again.
 *
 * @param digest of its content
 * @param generation the version of the configuration that it made
 */
public record AppliedChange(long digest, long generation) {}
