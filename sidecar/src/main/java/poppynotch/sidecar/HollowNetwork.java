package poppynotch.sidecar;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The network between the places of a trial: zones are blocks of addresses, regions are zones, and
 * what goes from one to another takes its time, or is cut, each direction by itself. Asked by all
 * loops; cuts are changed by one thread at a time.
 */
final class HollowNetwork implements FleetMember.Links {

    private static final int MOST_CUTS = 1024;
    private static final Map<String, Double> DELAYS_MS =
            Map.of("zone", 0.1, "region", 0.5, "regions", 30.0);

    /**
     * Addresses that begin alike, as {@code 127.14.} says: up to three numbers and a dot, or all
     * four.
     */
    private record Block(int bits, int mask) {

        /** Reads a block; null if the text is none. */
        static Block of(String text) {
            String[] numbers = text.split("\\.", -1);
            boolean whole = numbers.length == 4 && !numbers[3].isEmpty();
            int given = whole ? 4 : numbers.length - 1;
            if (given < 1 || given > 4 || (!whole && (given > 3 || !numbers[given].isEmpty()))) {
                return null;
            }
            int bits = 0;
            for (int i = 0; i < given; i++) {
                if (!numbers[i].matches("\\d{1,3}") || Integer.parseInt(numbers[i]) > 255) {
                    return null;
                }
                bits |= Integer.parseInt(numbers[i]) << (24 - 8 * i);
            }
            return new Block(bits, given == 4 ? -1 : -1 << (32 - 8 * given));
        }

        boolean has(int address) {
            return (address & mask) == bits;
        }
    }

    private record Zone(String name, String region, Block block) {}

    private record Cut(Block from, Block to) {}

    private final List<Zone> zones;

    /** Where real processes stand, or null: wherever no member of this process does. */
    private final List<Block> real;

    private final Set<InetAddress> members;
    private final double zoneMs;
    private final double regionMs;
    private final double regionsMs;
    private volatile List<Cut> cuts = List.of();

    /**
     * Reads the section {@code network}.
     *
     * @param members the addresses of the members here
     * @throws IllegalArgumentException naming the field that is missing or bad
     */
    HollowNetwork(Map<?, ?> section, Set<InetAddress> members) {
        this.members = members;
        section.keySet()
                .forEach(
                        key -> {
                            if (!Set.of("regions", "zones", "delay_ms", "real").contains(key)) {
                                throw new IllegalArgumentException(
                                        "field network."
                                                + key
                                                + " is none of regions, zones, delay_ms, real");
                            }
                        });
        Map<String, String> regions = new LinkedHashMap<>();
        map("regions", section.get("regions"))
                .forEach(
                        (region, names) -> {
                            if (!(names instanceof List<?> list)) {
                                throw ServerList.invalidField("network.regions." + region, names);
                            }
                            list.forEach(
                                    zone ->
                                            regions.put(
                                                    String.valueOf(zone), String.valueOf(region)));
                        });
        List<Zone> all = new ArrayList<>();
        map("zones", section.get("zones"))
                .forEach(
                        (name, block) -> {
                            String zone = String.valueOf(name);
                            if (!regions.containsKey(zone)) {
                                throw new IllegalArgumentException(
                                        "field network.zones." + zone + " is in no region");
                            }
                            all.add(
                                    new Zone(
                                            zone,
                                            regions.get(zone),
                                            block("network.zones." + zone, block)));
                        });
        zones = List.copyOf(all);
        Map<?, ?> delays =
                section.get("delay_ms") == null
                        ? Map.of()
                        : map("delay_ms", section.get("delay_ms"));
        delays.forEach(
                (key, delay) -> {
                    if (!DELAYS_MS.containsKey(key)
                            || !(delay instanceof Double ms && ms >= 0 && ms <= 10_000)) {
                        throw ServerList.invalidField("network.delay_ms." + key, delay);
                    }
                });
        zoneMs = delay(delays, "zone");
        regionMs = delay(delays, "region");
        regionsMs = delay(delays, "regions");
        if (section.get("real") == null) {
            real = null;
        } else if (section.get("real") instanceof List<?> list) {
            real = list.stream().map(each -> block("network.real[]", each)).toList();
        } else {
            throw ServerList.invalidField("network.real", section.get("real"));
        }
    }

    private static Map<?, ?> map(String field, Object value) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw ServerList.invalidField("network." + field, value);
    }

    private static double delay(Map<?, ?> delays, String key) {
        return delays.get(key) instanceof Double told ? told : DELAYS_MS.get(key);
    }

    private static Block block(String field, Object value) {
        Block block = value instanceof String text ? Block.of(text) : null;
        if (block == null) {
            throw ServerList.invalidField(field, value);
        }
        return block;
    }

    private static int number(InetAddress address) {
        byte[] bytes = address.getAddress();
        return bytes.length != 4
                ? 0
                : bytes[0] << 24
                        | (bytes[1] & 0xff) << 16
                        | (bytes[2] & 0xff) << 8
                        | (bytes[3] & 0xff);
    }

    private Zone place(int address) {
        for (Zone zone : zones) {
            if (zone.block().has(address)) {
                return zone;
            }
        }
        return null;
    }

    /** The zone that an address stands in, or null for none. */
    String zone(InetAddress address) {
        Zone zone = place(number(address));
        return zone == null ? null : zone.name();
    }

    /**
     * Whether an address is in the block that a text like {@code 127.14.} names; false if it names
     * none.
     */
    static boolean isIn(String block, InetAddress address) {
        Block read = Block.of(block);
        return read != null && read.has(number(address));
    }

    @Override
    public double delayMs(InetAddress from, InetAddress to) {
        int source = number(from);
        int target = number(to);
        for (Cut cut : cuts) {
            if (cut.from().has(source) && cut.to().has(target)) {
                return CUT;
            }
        }
        Zone left = place(source);
        Zone right = place(target);
        return left == null || right == null
                ? 0
                : left == right
                        ? zoneMs
                        : left.region().equals(right.region()) ? regionMs : regionsMs;
    }

    @Override
    public boolean delaysOwnMessages(InetAddress from) {
        if (real == null) {
            return members.contains(from);
        }
        int source = number(from);
        return real.stream().noneMatch(block -> block.has(source));
    }

    @Override
    public boolean isCrossRegion(InetAddress from, InetAddress to) {
        Zone left = place(number(from));
        Zone right = place(number(to));
        return left != null && right != null && !left.region().equals(right.region());
    }

    /**
     * Cuts what goes from one place to another, which are blocks, zones or regions; the other
     * direction stays.
     */
    void cut(String from, String to) {
        List<Cut> next = new ArrayList<>(cuts);
        for (Cut cut : cuts(from, to)) {
            if (!next.contains(cut)) {
                next.add(cut);
            }
        }
        if (next.size() > MOST_CUTS) {
            throw new IllegalArgumentException("more than " + MOST_CUTS + " cuts");
        }
        cuts = List.copyOf(next);
    }

    /** Ends a cut that was made in the same words. */
    void mend(String from, String to) {
        List<Cut> next = new ArrayList<>(cuts);
        next.removeAll(cuts(from, to));
        cuts = List.copyOf(next);
    }

    /** Ends all cuts. */
    void mend() {
        cuts = List.of();
    }

    private List<Cut> cuts(String from, String to) {
        List<Cut> all = new ArrayList<>();
        blocks(from)
                .forEach(source -> blocks(to).forEach(target -> all.add(new Cut(source, target))));
        return all;
    }

    private List<Block> blocks(String place) {
        List<Block> found =
                zones.stream()
                        .filter(zone -> zone.region().equals(place) || zone.name().equals(place))
                        .map(Zone::block)
                        .toList();
        Block block = Block.of(place);
        if (found.isEmpty() && block == null) {
            throw new IllegalArgumentException("no region, zone or block of addresses: " + place);
        }
        return found.isEmpty() ? List.of(block) : found;
    }
}
