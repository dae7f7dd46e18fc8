package poppynotch.wire;

/**
 * A segment of a prompt, as a request names it.
 *
 * @param id the same for all requests that share the segment
 * @param tokens length of the segment
 */
public record PromptSegment(long id, int tokens) {}
