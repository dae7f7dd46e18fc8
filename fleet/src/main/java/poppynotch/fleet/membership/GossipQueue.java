package poppynotch.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** News to be told on, each so many times; what was told least goes first (SWIM, section 4.1). */
final class GossipQueue {

    private static final class Rumour {
        MemberUpdate update;
        int told;
        long order;
    }

    private static final Comparator<Rumour> NEXT =
            Comparator.<Rumour>comparingInt(each -> each.told)
                    .thenComparing(
                            Comparator.comparingLong((Rumour each) -> each.order).reversed());

    private final Map<String, Rumour> about = new HashMap<>();
    private final double spread;
    private long orders;

    GossipQueue(double spread) {
        this.spread = spread;
    }

    /** Has it told on; what was to be told of the same member before is out of date. */
    void tell(MemberUpdate update) {
        Rumour rumour = new Rumour();
        rumour.update = update.brief();
        rumour.order = orders++;
        about.put(update.name(), rumour);
    }

    void forget(String name) {
        about.remove(name);
    }

    boolean isEmpty() {
        return about.isEmpty();
    }

    /**
     * What the next message takes along.
     *
     * @param bytes how much there is room for
     * @param members the fleet's size, which says how often each is told
     * @param but nothing about this member, as the message has it already; or null
     */
    List<MemberUpdate> next(int bytes, int members, String but) {
        if (about.isEmpty()) {
            return new ArrayList<>();
        }
        int most = (int) Math.ceil(spread * Math.log10(members + 9));
        List<Rumour> waiting = new ArrayList<>(about.values());
        waiting.sort(NEXT);
        List<MemberUpdate> chosen = new ArrayList<>();
        int room = bytes;
        for (Rumour rumour : waiting) {
            int weight = rumour.update.weight();
            if (weight > room || rumour.update.name().equals(but)) {
                continue;
            }
            room -= weight;
            chosen.add(rumour.update);
            if (++rumour.told >= most) {
                about.remove(rumour.update.name());
            }
        }
        return chosen;
    }
}
