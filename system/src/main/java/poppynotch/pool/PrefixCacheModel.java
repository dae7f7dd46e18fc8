package poppynotch.pool;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import poppynotch.wire.PromptSegment;

/**
 * An estimate of what one model server has in its prefix cache (KV cache), derived from the prompts
 * that were sent to it. Parts of prompts are evicted in the order of their least recent use, when
 * the server's memory is full or the model has too many parts.
 *
 * <p>Owned by a {@link PooledServer}; used on the edge's event loop.
 */
final class PrefixCacheModel {

    private static final int MAX_PARTS = 4096;
    private static final float LOAD_FACTOR = 0.75f;

    private final long capacityTokens;

    /** Tokens of each part by its id, the least recently used part first. */
    private final Map<Long, Integer> tokensByPart = new LinkedHashMap<>(16, LOAD_FACTOR, true);

    private long cachedTokens;

    PrefixCacheModel(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** The number of tokens at the beginning of a prompt that are likely cached. */
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

    /** Records that the server processes a prompt, which adds its parts to the cache. */
    void onPrefill(Iterable<PromptSegment> prompt) {
        for (PromptSegment part : prompt) {
            Integer before = tokensByPart.put(part.id(), part.tokens());
            cachedTokens += part.tokens() - (before == null ? 0 : before);
        }
        evict();
    }

    private void evict() {
        Iterator<Map.Entry<Long, Integer>> leastRecent = tokensByPart.entrySet().iterator();
        while (isOverCapacity() && leastRecent.hasNext()) {
            cachedTokens -= leastRecent.next().getValue();
            leastRecent.remove();
        }
    }

    private boolean isOverCapacity() {
        return cachedTokens > capacityTokens || tokensByPart.size() > MAX_PARTS;
    }
}
