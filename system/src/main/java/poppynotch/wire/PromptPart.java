package poppynotch.wire;

/**
 * A part of a prompt, as a request names it.
 *
 * @param id the same for all requests that share the part
 */
public record PromptPart(long id, int tokens) {}
