package poppynotch.wire;

/**
 * A segment of a prompt, as stated by a request.
 *
 * @param id identifies the segment across the requests that share it
 * @param tokens length of the segment in tokens
 */
public record PromptSegment(long id, int tokens) {}
