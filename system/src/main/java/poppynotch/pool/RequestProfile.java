package poppynotch.pool;

import java.util.List;
import poppynotch.wire.PromptSegment;

/**
 * The properties of a request that the choice of a server depends on.
 *
 * @param promptParts the parts of the prompt in order; the last one belongs to the request alone or
 *     to its session; empty if there is no prompt
 * @param promptTokens tokens in all parts
 * @param maxOutputTokens the most tokens that the request may generate
 */
public record RequestProfile(
        List<PromptSegment> promptParts, int promptTokens, int maxOutputTokens) {

    /** A request without a prompt. */
    public static final RequestProfile NO_PROMPT = new RequestProfile(List.of(), 0, 0);

    /**
     * The key that requests with much of the prompt in common share: the id of the part before the
     * last, which stands for the longest shared chain of parts. 0 without a prompt.
     */
    public long affinityKey() {
        return promptParts.isEmpty()
                ? 0
                : promptParts.get(Math.max(0, promptParts.size() - 2)).id();
    }
}
