package poppynotch.balancer;

import java.util.LinkedHashSet;
import java.util.Set;

/** The names of servers that were ever listed; the oldest are dropped first. */
final class ServerNameMemory {

    /** More names than a fleet uses in several days. */
    private static final int MAX_NAMES = 4096;

    private final Set<String> names = new LinkedHashSet<>();

    void add(String name) {
        if (names.add(name) && names.size() > MAX_NAMES) {
            names.remove(names.iterator().next());
        }
    }

    boolean contains(String name) {
        return names.contains(name);
    }
}
