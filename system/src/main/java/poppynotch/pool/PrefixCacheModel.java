package poppynotch.pool;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import poppynotch.wire.PromptPart;

/**
 * What one server is likely to keep of prompts, derived from what this process has sent to it: the
 * least recently used parts give way first. Bounded by the server's memory and by a number of
 * parts.
 */
final class PrefixCacheModel {

    private static final int MOST_PARTS = 4096;

    private final long capacity;
    private final Map<Long, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long tokens;

    PrefixCacheModel(long capacityTokens) {
        capacity = capacityTokens;
    }

    /** Tokens at the beginning of a prompt that are likely kept. */
    int keptTokens(List<PromptPart> prompt) {
        int kept = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(part.id())) {
                break;
            }
            kept += part.tokens();
        }
        return kept;
    }

    /** A prompt was read. */
    void read(Iterable<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            Integer before = parts.put(part.id(), part.tokens());
            tokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Map.Entry<Long, Integer>> oldest = parts.entrySet().iterator();
        while ((tokens > capacity || parts.size() > MOST_PARTS) && oldest.hasNext()) {
            tokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    void clear() {
        parts.clear();
        tokens = 0;
    }
}
