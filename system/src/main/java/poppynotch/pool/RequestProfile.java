package poppynotch.pool;

import java.util.List;
import poppynotch.wire.PromptPart;

/**
 * What the choice of a server depends on.
 *
 * @param parts of the prompt in order; the last is the request's own or its session's; empty if
 *     there are none
 * @param promptTokens in all parts
 * @param outTokens the most that it puts out
 */
public record RequestProfile(List<PromptPart> parts, int promptTokens, int outTokens) {

    /** A call without a prompt. */
    public static final RequestProfile PLAIN = new RequestProfile(List.of(), 0, 0);

    /** What requests with much in common share: the longest chain of parts before the last. */
    public long affinityKey() {
        return parts.isEmpty() ? 0 : parts.get(Math.max(0, parts.size() - 2)).id();
    }
}
