package poppynotch.pool;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import poppynotch.wire.PromptSegment;

/**
 * An estimate of the content of one model server's prefix cache (KV cache), derived from the
 * prompts that were sent to it. The least recently used parts of prompts are evicted when the
 * server's memory is full or there are too many parts.
 *
 * <p>Owned by a {@link PooledServer}; confined to the edge's event loop.
 */
final class PrefixCacheModel {

    private static final int MAX_PARTS = 4096;
    private static final float LOAD_FACTOR = 0.75f;

    private final long capacityTokens;

    /** The tokens of each part, by the part's id, in order of access: least recently used first. */
    private final Map<Long, Integer> tokensByPart = new LinkedHashMap<>(16, LOAD_FACTOR, true);

    private long cachedTokens;

    PrefixCacheModel(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** The number of tokens at the beginning of a prompt that are likely to be cached. */
    int cachedPrefixTokens(List<PromptSegment> prompt) {
        int tokens = 0;
        for (PromptSegment part : prompt) {
            if (!tokensByPart.containsKey(part.id())) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Records that the server prefills a prompt, which adds the prompt's parts to the cache. */
    void onPrefill(Iterable<PromptSegment> prompt) {
        for (PromptSegment part : prompt) {
            Integer previousTokens = tokensByPart.put(part.id(), part.tokens());
            cachedTokens += part.tokens() - (previousTokens == null ? 0 : previousTokens);
        }
        evict();
    }

    private void evict() {
        Iterator<Map.Entry<Long, Integer>> leastRecentlyUsed = tokensByPart.entrySet().iterator();
        while (isOverCapacity() && leastRecentlyUsed.hasNext()) {
            cachedTokens -= leastRecentlyUsed.next().getValue();
            leastRecentlyUsed.remove();
        }
    }

    private boolean isOverCapacity() {
        return cachedTokens > capacityTokens || tokensByPart.size() > MAX_PARTS;
    }
}
