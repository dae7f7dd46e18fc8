package poppynotch.pool;

import java.util.List;
import poppynotch.wire.PromptSegment;

/**
 * The properties of a request that the choice of a server depends on.
 *
 * @param promptParts the parts of the prompt in order; empty if there is no prompt. The last part
 *     is specific to the request or its session.
 * @param promptTokens the number of tokens in all parts
 * @param maxOutputTokens the maximum number of tokens that the request may generate
 */
public record RequestProfile(
        List<PromptSegment> promptParts, int promptTokens, int maxOutputTokens) {

    /** A request without a prompt. */
    public static final RequestProfile NO_PROMPT = new RequestProfile(List.of(), 0, 0);

    /**
     * The key shared by requests that have a large part of the prompt in common: the id of the last
     * part but one, which identifies the longest shared chain of parts. 0 without a prompt.
     */
    public long affinityKey() {
        return promptParts.isEmpty()
                ? 0
                : promptParts.get(Math.max(0, promptParts.size() - 2)).id();
    }
}
